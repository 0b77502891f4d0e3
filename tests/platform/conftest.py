"""Puts the adapter on the import path, as the platform's start script does."""

import pathlib
import sys

ADAPTER = pathlib.Path(__file__).resolve().parents[2] / "platform"
sys.path.append(str(ADAPTER))
