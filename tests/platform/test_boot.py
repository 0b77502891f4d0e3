"""Boot settings, and the folder named like a standard library module."""

import contextlib
import json
import os
import pathlib
import platform
import signal
import socket
import subprocess
import sys
import time

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
    assert (settings.data_centres, settings.evacuate_s) == ((), 5.0)
    document["zones"] = {"a": "east", "b": "east"}
    document["bounds"] = {"evacuateMs": 4000}
    decoded = msgspec.json.decode(json.dumps(document), type=boot.BootSettings)
    settings = boot.coordinator_settings(decoded)
    assert (settings.data_centres, settings.evacuate_s) == (("a", "b"), 4.0)


def test_bounds_of_cold_servers_are_translated():
    """Both sides of the limit must use the same bound."""
    bounds = {**SETTINGS["bounds"], "coldOvershoot": 1.5, "coldSlack": 5}
    settings = {**SETTINGS, "bounds": bounds, "dataDir": "/data"}
    listen = {**SETTINGS["listen"], "control": "10.1.0.40:8229"}
    settings["listen"] = listen
    read = msgspec.convert(settings, boot.BootSettings)
    for made in (boot.gateway_settings(read), boot.coordinator_settings(read)):
        assert made.cold.per_window(28.0) == 47
    assert boot.HEADER_NAMES.cold == b"x-cold-remaining"


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


START = pathlib.Path(boot.__file__).parents[1] / "start.py"
COORDINATOR = {**SETTINGS, "listen": {"control": "127.0.0.1:1"}}
UNUSABLE = {
    "no variable": ("gateway", None, "FLAMINGOCLEAT_BOOT is not set"),
    "no file": ("gateway", "", "boot.json: No such file"),
    "no JSON": ("gateway", '{"node": "a",\n "ip": }', "boot.json:2: "),
    "cut": ("coordinator", '{"node": "a",\n\n', "boot.json:3: "),
    "no text": ("gateway", b'{\n"node": "\xff"}', "boot.json:2: "),
    "missing field": ("gateway", {"node": "a"}, "field `ip`"),
    "wrong type": ("gateway", {**SETTINGS, "seeds": 3}, "seeds"),
    "no interface": (
        "gateway",
        {**SETTINGS, "listen": {"front": "127.0.0.1:1"}},
        "listen.ready is ''",
    ),
    "no port": (
        "coordinator",
        {**SETTINGS, "listen": {"control": "here"}},
        "listen.control is 'here'",
    ),
    "no folder": ("coordinator", COORDINATOR, "dataDir is not set"),
}


@pytest.mark.parametrize("name", UNUSABLE)
def test_program_says_what_is_wrong_with_its_settings(tmp_path, name):
    """An operator must see the file and the fault, not a traceback."""
    program, document, expected = UNUSABLE[name]
    path = tmp_path / "boot.json"
    environment = dict(os.environ)
    environment.pop(early.BOOT_VARIABLE, None)
    if document is not None:
        environment[early.BOOT_VARIABLE] = str(path)
    if document:
        data = (
            document
            if isinstance(document, bytes | str)
            else (json.dumps(document))
        )
        path.write_bytes(data if isinstance(data, bytes) else data.encode())
    completed = subprocess.run(
        [sys.executable, str(START), program],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"{program}: ")
    assert expected in completed.stderr
    assert "Traceback" not in completed.stderr
    assert completed.stderr.count("\n") == 1


@contextlib.contextmanager
def starting_gateway(tmp_path):
    """Yield a gateway's process, and a connection to it, as it is loaded."""
    path = tmp_path / "boot.json"
    address = local.free_address()
    document = {
        **SETTINGS,
        # Metrics have a fixed port, so each run needs an address of its own.
        "ip": f"127.{60 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1",
        "listen": {"front": address, "ready": local.free_address()},
    }
    path.write_text(json.dumps(document))
    with subprocess.Popen(
        [sys.executable, str(START), "gateway"],
        env={**os.environ, early.BOOT_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        host, _, port = address.rpartition(":")
        deadline_s = time.monotonic() + 20
        while True:
            # From here on the program's own code runs.
            with contextlib.suppress(OSError):
                connection = socket.create_connection((host, int(port)), 1)
                break
            assert time.monotonic() < deadline_s
        with connection:
            yield process, connection


# SIGHUP ended a program in the first quarter of a second.
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.15, 0.3])
def test_reload_during_the_start_does_not_end_a_program(tmp_path, after_s):
    with starting_gateway(tmp_path) as (process, connection):
        connection.close()
        time.sleep(after_s)
        process.send_signal(signal.SIGHUP)
        for line in process.stdout:
            if "gateway_started" in line:
                break
        process.send_signal(signal.SIGTERM)
        output = process.stdout.read()
        assert process.wait(20) == 0
        assert "gateway_stopped" in output


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.15, 0.3])
def test_stop_during_the_start_answers_who_has_connected(tmp_path, after_s):
    """Guards against requests that are reset in the queue of the listener."""
    with starting_gateway(tmp_path) as (process, connection):
        connection.settimeout(20)
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        time.sleep(after_s)
        process.send_signal(signal.SIGTERM)
        assert connection.recv(100).startswith(b"HTTP/1.1 503 ")
        output = process.stdout.read()
        assert process.wait(20) == 0
        assert "gateway_stopped" in output
