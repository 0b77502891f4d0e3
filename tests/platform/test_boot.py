"""Boot settings, and the folder named like a standard library module."""

import json
import pathlib
import platform
import socket
import subprocess
import sys

import msgspec
import pytest
from adapter import boot
from adapter import early

from examples import local

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


@pytest.fixture
def boot_file(tmp_path, monkeypatch):
    """Return a function that writes the platform's settings file."""

    def write(document):
        path = tmp_path / "boot.json"
        path.write_text(
            document if isinstance(document, str) else json.dumps(document)
        )
        monkeypatch.setenv(early.BOOT_VARIABLE, str(path))

    return write


def test_gateway_listens_before_it_is_loaded(boot_file):
    """Callers who connect meanwhile must not be refused."""
    address = local.free_address()
    boot_file({**SETTINGS, "listen": {"front": address}})
    with early.listen("gateway") as listener:
        host, _, port = address.rpartition(":")
        assert listener.getsockname() == (host, int(port))
        with socket.create_connection((host, int(port)), timeout=1):
            pass


@pytest.mark.parametrize(
    ("program", "document"),
    [
        ("coordinator", {"listen": {"front": "127.0.0.1:1"}}),
        ("", {}),
        ("gateway", {"listen": {}}),
        ("gateway", {"listen": 3}),
        ("gateway", {"listen": {"front": "nonsense"}}),
        ("gateway", {"listen": {"front": "192.0.2.1:80"}}),
        ("gateway", "no json"),
    ],
)
def test_unusable_settings_are_left_to_the_program(
    boot_file, program, document
):
    """It reports them with their field."""
    boot_file(document)
    assert early.listen(program) is None


def test_listening_loads_little(tmp_path):
    """Each module that is loaded before delays the first caller."""
    code = "import sys; from adapter import early; print(len(sys.modules))"
    completed = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={"PYTHONPATH": str(pathlib.Path(early.__file__).parents[1])},
        capture_output=True,
        text=True,
        check=True,
    )
    assert int(completed.stdout) < 90
