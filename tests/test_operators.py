"""Operators must be told truthfully what became of a change."""

import asyncio
import json

import msgspec

from flamingocleat import errors
from flamingocleat.process import operators
from tests import voters

_WEIGHT = voters.TEXT.replace("name: skips", "weight: 2\n    name: skips")


def test_one_of_several_equal_base_versions_wins():
    """Two operators would each believe that their change is in force."""

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        replies = await asyncio.gather(
            *(site.submit(1, f"change-{n}", _WEIGHT) for n in range(6))
        )
        assert sorted(reply.status for reply in replies) == [200] + [409] * 5
        lost = [r.json() for r in replies if r.status == 409]
        assert {problem["present_version"] for problem in lost} == {2}
        assert site.leader.machine.version == 2

    voters.run(scenario, count=3)


def test_resend_gets_the_first_outcome():
    """A change whose answer was lost would be refused as outdated."""

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        first = await site.submit(1, "change-1", _WEIGHT)
        await site.submit(2, "change-2")
        again = await site.submit(1, "change-1", _WEIGHT)
        assert (again.status, again.data) == (first.status, first.data)
        assert site.leader.machine.version == 3

    voters.run(scenario)


def test_first_submission_can_be_resent_with_the_bootstrap_key():
    """The accepted version takes that key's right, and with it the answer."""

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        await site.submit_first()
        other = await site.submit(1, "other", key=voters.BOOTSTRAP_KEY)
        assert other.status == 401
        assert site.leader.machine.version == 1

    voters.run(scenario)


def test_faulty_document_is_refused_with_its_findings():
    """A faulty configuration would be in force everywhere in seconds."""

    async def scenario(site: voters.Voters) -> None:
        text = voters.TEXT.replace("[praha-a]", "[praha-x]")
        reply = await site.submit(0, "c", text, voters.BOOTSTRAP_KEY)
        problem = reply.json()
        assert reply.status == 422
        assert reply.headers["Content-Type"] == "application/problem+json"
        assert problem["findings"][0]["line"] == 17
        assert site.leader.machine.version == 0

    voters.run(scenario)


def test_wrong_key_is_refused():
    """Anyone on the network could read or change the configuration."""
    pages = [
        ("GET", "/v1/configuration"),
        ("POST", "/v1/configuration"),
        ("GET", "/v1/status"),
        ("GET", "/v1/audit"),
        ("POST", "/v1/vms/vm-1/drain"),
        ("DELETE", "/v1/vms/vm-1/drain"),
        ("POST", "/v1/voters/control-0/replacement"),
    ]

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        headers = {"Base_Version": "1", "Change_Id": "c"}
        for method, path in pages:
            body = voters.TEXT.encode()
            if "voters" in path:
                body = b"{voter: control-9, address: '127.0.0.1:9'}"
            for key in ("wrong", "", voters.BOOTSTRAP_KEY):
                reply = await site.ask(
                    method, path, key=key, body=body, **headers
                )
                assert reply.status == 401, (path, key)
        assert len(site.leader.machine.audit) == 1

    voters.run(scenario)


def test_no_key_is_right_without_a_bootstrap_hash():
    """An unset hash would let anybody submit the first version."""

    async def scenario(site: voters.Voters) -> None:
        site.leader.operators.settings = msgspec.structs.replace(
            site.leader.settings, bootstrap_key_sha256=""
        )
        reply = await site.submit(0, "c", key="")
        assert reply.status == 401

    voters.run(scenario)


def test_oversized_or_unbounded_body_is_refused():
    """A body without a bound would take all memory of the voter."""

    async def scenario(site: voters.Voters) -> None:
        text = "#" * (operators.MAX_BODY_BYTES + 1)
        reply = await site.submit(0, "c", text, voters.BOOTSTRAP_KEY)
        assert reply.status == 413
        reply = await site.ask(
            "POST",
            "/v1/configuration",
            key=voters.BOOTSTRAP_KEY,
            body=iter([b"operator: x"]),
        )
        assert reply.status == 411

    voters.run(scenario)


def test_malformed_headers_are_refused():
    """A change with a guessed base version could undo another's."""

    async def scenario(site: voters.Voters) -> None:
        for base_version, change_id in (
            ("", "c"),
            ("-1", "c"),
            ("x", "c"),
            ("0", ""),
            ("0", "a b"),
        ):
            reply = await site.ask(
                "POST",
                "/v1/configuration",
                key=voters.BOOTSTRAP_KEY,
                body=voters.TEXT.encode(),
                Base_Version=base_version,
                Change_Id=change_id,
            )
            assert reply.status == 400, (base_version, change_id)
        assert site.leader.machine.version == 0

    voters.run(scenario)


def test_follower_redirects_to_the_leader():
    """A change sent to a follower would be refused or, worse, answered."""

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        reply = await site.ask("GET", "/v1/audit?limit=1", site.follower)
        leader = site.leader.settings.operators_listen
        assert reply.status == 307
        assert reply.headers["Location"] == f"http://{leader}/v1/audit?limit=1"
        site.follower.settings.operators_addresses.clear()
        reply = await site.ask("GET", "/v1/status", site.follower)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")

    voters.run(scenario, count=3)


def test_unknown_outcome_is_told_as_unknown(monkeypatch):
    """A change told as refused could still take effect later."""

    async def lose(command):
        raise errors.CommitUnknownError("leadership ended")

    async def hang(command):
        await asyncio.Event().wait()

    async def scenario(site: voters.Voters) -> None:
        monkeypatch.setattr(operators, "CHANGE_TIMEOUT_S", 0.05)
        for failure in (lose, hang):
            monkeypatch.setattr(site.leader.consensus, "propose", failure)
            reply = await site.submit(0, "c", key=voters.BOOTSTRAP_KEY)
            assert reply.status == 504
            assert reply.json()["outcome"] == "unknown"

    voters.run(scenario)


def test_unforeseen_error_is_told_as_unknown(monkeypatch):
    """A fault after the proposal would be told as if nothing was done."""

    async def fail(command):
        raise ValueError("unforeseen")

    async def scenario(site: voters.Voters) -> None:
        monkeypatch.setattr(site.leader.consensus, "propose", fail)
        reply = await site.submit(0, "c", key=voters.BOOTSTRAP_KEY)
        assert reply.status == 500
        assert reply.json()["outcome"] == "unknown"
        assert b"Traceback" not in reply.data

    voters.run(scenario)


def test_drain_is_recorded_and_ended():
    """A VM would be drained with nobody to tell who did it."""

    async def scenario(site: voters.Voters) -> None:
        await site.submit_first()
        path = "/v1/vms/vm-1/drain"
        assert (await site.ask("POST", path, Change_Id="d1")).status == 200
        status = (await site.ask("GET", "/v1/status")).json()
        assert status["drained"] == ["vm-1"]
        assert (await site.ask("DELETE", path, Change_Id="d2")).status == 200
        records = json.loads((await site.ask("GET", "/v1/audit")).data)
        assert [record["operator"] for record in records] == [
            "(bootstrap)",
            "jana",
            "jana",
        ]
        assert site.leader.machine.drained == {}

    voters.run(scenario)


def test_planned_stop_refuses_new_changes_as_not_run():
    """A change taken while stopping would be cut off."""

    async def scenario(site: voters.Voters) -> None:
        site.leader.shutdown.request("test")
        leader = site.leader
        leader.leadership.close()
        ready = await site.ask("GET", "/readyz", leader)
        assert (ready.status, b"shutdown" in ready.data) == (503, True)
        reply = await site.ask("GET", "/v1/status", leader)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")
        assert reply.json()["detail"] == "this voter is shutting down"

    voters.run(scenario)
