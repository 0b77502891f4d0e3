"""Settings, and the folder that shares its name with a standard module."""

import json
import pathlib
import platform
import subprocess
import sys

import msgspec
import pytest
from adapter import boot

SETTINGS = {
    "node": "front-a-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "internalPorts": [7340, 7355],
    "seeds": ["10.1.0.41:8229", "10.2.0.30:8229"],
    "bootstrap": True,
    "dataDir": None,
    "heartbeatMs": 1200,
    "bounds": {"graceS": 8, "stallMs": 4000, "retryBudgetRatio": 0.2},
    "another": {"field": 1},
}


def test_standard_module_comes_first():
    """The folder at the root must not hide the standard library's module."""
    assert platform.python_implementation()
    root = pathlib.Path(__file__).resolve().parents[2]
    ran = subprocess.run(
        [sys.executable, "-c", "import platform; platform.machine()"],
        cwd=root,
        check=False,
    )
    assert ran.returncode == 0
    assert not (root / "platform" / "__init__.py").exists()


def test_gateway_settings_are_translated():
    """Seeds name the voters' addresses on the first internal port."""
    read = msgspec.json.decode(json.dumps(SETTINGS), type=boot.BootSettings)
    settings = boot.gateway_settings(read)
    assert settings.listen == "10.1.0.40:8227"
    assert settings.health_listen == "10.1.0.40:8220"
    assert settings.control == ("10.1.0.41:7340", "10.2.0.30:7340")
    assert settings.budget.ratio == 0.2
    assert settings.grace_s == 8


def test_coordinator_settings_are_translated():
    """A coordinator listens where the platform says."""
    document = {
        **SETTINGS,
        "listen": {"control": "10.1.0.41:8229"},
        "ip": "10.1.0.41",
        "dataDir": "/data/x",
    }
    read = msgspec.json.decode(json.dumps(document), type=boot.BootSettings)
    settings = boot.coordinator_settings(read)
    assert settings.address == "10.1.0.41:7340"
    assert settings.address in settings.seeds
    assert settings.data_folder == "/data/x"
    assert settings.announce_interval_s == 1.2
    assert settings.stall_s == 4.0


def test_unreadable_settings_are_an_error():
    """A field of another type is named."""
    with pytest.raises(msgspec.ValidationError, match="seeds"):
        msgspec.json.decode(
            json.dumps({**SETTINGS, "seeds": 3}), type=boot.BootSettings
        )
