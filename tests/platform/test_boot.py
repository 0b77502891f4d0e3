"""Boot settings, and the folder named like a standard library module."""

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
    """Guards against shadowing the standard library's platform module.

    The folder platform at the root hides it if it becomes a package.
    """
    assert platform.python_implementation()
    root = pathlib.Path(__file__).resolve().parents[2]
    completed = subprocess.run(
        [sys.executable, "-c", "import platform; platform.machine()"],
        cwd=root,
        check=False,
    )
    assert completed.returncode == 0
    assert not (root / "platform" / "__init__.py").exists()


def test_gateway_settings_are_translated():
    """Guards against a gateway that connects to wrong addresses.

    Seeds name control ports; voters listen on the first internal port.
    """
    decoded = msgspec.json.decode(json.dumps(SETTINGS), type=boot.BootSettings)
    settings = boot.gateway_settings(decoded)
    assert settings.listen == "10.1.0.40:8227"
    assert settings.health_listen == "10.1.0.40:8220"
    assert settings.control == ("10.1.0.41:7340", "10.2.0.30:7340")
    assert settings.budget.ratio == 0.2
    assert settings.grace_s == 8


def test_coordinator_settings_are_translated():
    """Guards against a coordinator at an address its peers don't use.

    Its address has the first internal port, and is among the seeds.
    """
    document = {
        **SETTINGS,
        "listen": {"control": "10.1.0.41:8229"},
        "ip": "10.1.0.41",
        "dataDir": "/data/x",
    }
    decoded = msgspec.json.decode(json.dumps(document), type=boot.BootSettings)
    settings = boot.coordinator_settings(decoded)
    assert settings.address == "10.1.0.41:7340"
    assert settings.address in settings.seeds
    assert settings.data_folder == "/data/x"
    assert settings.announce_interval_s == 1.2
    assert settings.stall_s == 4.0


def test_unreadable_settings_are_an_error():
    """Guards against an error that doesn't name the field of a wrong type."""
    with pytest.raises(msgspec.ValidationError, match="seeds"):
        msgspec.json.decode(
            json.dumps({**SETTINGS, "seeds": 3}), type=boot.BootSettings
        )
