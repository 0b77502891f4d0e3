"""The control program starts only with valid settings and data."""

import pytest
import yaml

from flamingocleat.process import control
from tests import voters

_VALID_SETTINGS = {
    "voter": "control-1",
    "data_centre": "praha-a",
    "listen": "127.0.0.1:7001",
    "operators_listen": "127.0.0.1:7101",
    "data_folder": "unset",
    "voters": {"control-1": "127.0.0.1:7001"},
    "bootstrap_key_sha256": voters.key_hash("x"),
}


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Return a function that runs control with changed settings."""
    # A log handler would stay after the test has closed its stderr.
    monkeypatch.setattr(control.logs, "set_up", lambda program, level: None)

    def run_control(*options, **changes) -> int:
        folder = str(tmp_path / "data")
        values = {**_VALID_SETTINGS, "data_folder": folder, **changes}
        path = tmp_path / "control.yaml"
        path.write_text(yaml.safe_dump(values))
        return control.main(["--settings", str(path), *options])

    return run_control


def test_start_without_data_folder_fails(run):
    """A voter must not start without its data folder.

    After a lost disk it would vote twice in one term.
    """
    assert run() == 1
    assert run("--init") == 0
    assert run("--init") == 1
    assert run(voter="control-2", voters={"control-2": "127.0.0.1:7002"}) == 1


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("listen", "control-1:7001", ":4:9: 'control-1:7001'"),
        ("operators_listen", "127.0.0.1:0", ":5:19: '127.0.0.1:0'"),
        ("voters", {"control-2": "127.0.0.1:7002"}, "'control-1' is missing"),
        ("voters", {"control-1": "x"}, "'x' is not an address"),
        ("operators_addresses", {"control-1": "x"}, "'x' is not an address"),
        ("snapshot_interval_entries", 0, "is 0"),
        ("log_memory_bytes", 0, "is 0"),
        ("bootstrap_key_sha256", "12", "not a SHA-256 hash"),
    ],
)
def test_check_finds_faulty_settings(run, capsys, key, value, expected):
    """`--check` must find faulty settings and report their position.

    Otherwise they show only when the process starts.
    """
    assert run("--check", **{key: value}) == 2
    assert expected in capsys.readouterr().err


def test_check_changes_nothing(run, tmp_path):
    """`--check` must not create a data folder.

    It could be run on the wrong VM.
    """
    assert run("--check") == 0
    assert not (tmp_path / "data").exists()


def test_failed_voter_ends_its_program():
    """A failed voter must end its program and fail its health check.

    It would look alive but do nothing.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        voter = cluster.leader
        voter.consensus._fail("disk failed")
        assert voter.shutdown.requested.is_set()
        assert voter.failed
        assert voter.health.page("/livez")[0] == 503

    voters.run(scenario)
