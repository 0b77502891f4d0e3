"""The operator API reports the outcome of a change correctly."""

import asyncio
import json

import msgspec

from flamingocleat import errors
from flamingocleat.process import operators
from tests import voters

_WEIGHT = voters.CONFIGURATION_TEXT.replace(
    "name: skips", "weight: 2\n    name: skips"
)


def test_one_of_several_equal_base_versions_is_accepted():
    """Of concurrent changes with one base version only one is accepted.

    If more were, each operator would believe that theirs is in force.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        replies = await asyncio.gather(
            *(cluster.submit(1, f"change-{n}", _WEIGHT) for n in range(6))
        )
        assert sorted(reply.status for reply in replies) == [200] + [409] * 5
        conflicts = [r.json() for r in replies if r.status == 409]
        assert {problem["present_version"] for problem in conflicts} == {2}
        assert cluster.leader.machine.version == 2

    voters.run(scenario, count=3)


def test_resend_gets_the_first_outcome():
    """A change that is resent must get its first outcome.

    After a lost reply it would be refused as outdated.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        first = await cluster.submit(1, "change-1", _WEIGHT)
        await cluster.submit(2, "change-2")
        again = await cluster.submit(1, "change-1", _WEIGHT)
        assert (again.status, again.data) == (first.status, first.data)
        assert cluster.leader.machine.version == 3

    voters.run(scenario)


def test_first_submission_can_be_resent_with_the_bootstrap_key():
    """The first submission can be resent with the bootstrap key.

    Its acceptance ends the key's authority, so a lost reply could not be
    fetched again.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        await cluster.submit_initial()
        other = await cluster.submit(1, "other", key=voters.BOOTSTRAP_KEY)
        assert other.status == 401
        assert cluster.leader.machine.version == 1

    voters.run(scenario)


def test_faulty_document_is_refused_with_its_findings():
    """A faulty configuration must be refused with its findings.

    If accepted, it would be in force everywhere within seconds.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        text = voters.CONFIGURATION_TEXT.replace("[praha-a]", "[praha-x]")
        reply = await cluster.submit(0, "c", text, voters.BOOTSTRAP_KEY)
        problem = reply.json()
        assert reply.status == 422
        assert reply.headers["Content-Type"] == "application/problem+json"
        assert problem["findings"][0]["line"] == 17
        assert cluster.leader.machine.version == 0

    voters.run(scenario)


def test_wrong_key_is_refused():
    """Each page must refuse a wrong key.

    Otherwise anyone on the network could read or change the configuration.
    """
    pages = [
        ("GET", "/v1/configuration"),
        ("POST", "/v1/configuration"),
        ("GET", "/v1/status"),
        ("GET", "/v1/audit"),
        ("POST", "/v1/vms/vm-1/drain"),
        ("DELETE", "/v1/vms/vm-1/drain"),
        ("POST", "/v1/voters/control-0/replacement"),
    ]

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        headers = {"Base_Version": "1", "Change_Id": "c"}
        for method, path in pages:
            body = voters.CONFIGURATION_TEXT.encode()
            if "voters" in path:
                body = b"{voter: control-9, address: '127.0.0.1:9'}"
            for key in ("wrong", "", voters.BOOTSTRAP_KEY):
                reply = await cluster.request(
                    method, path, key=key, body=body, **headers
                )
                assert reply.status == 401, (path, key)
        assert len(cluster.leader.machine.audit) == 1

    voters.run(scenario)


def test_no_key_is_right_without_a_bootstrap_hash():
    """Without a bootstrap hash no key may submit the first version.

    An unset hash must not match an empty key.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        cluster.leader.operators.settings = msgspec.structs.replace(
            cluster.leader.settings, bootstrap_key_sha256=""
        )
        reply = await cluster.submit(0, "c", key="")
        assert reply.status == 401

    voters.run(scenario)


def test_oversized_or_unbounded_body_is_refused():
    """A body that is too large or has no length must be refused.

    It could take all memory of the voter.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        text = "#" * (operators.MAX_BODY_BYTES + 1)
        reply = await cluster.submit(0, "c", text, voters.BOOTSTRAP_KEY)
        assert reply.status == 413
        reply = await cluster.request(
            "POST",
            "/v1/configuration",
            key=voters.BOOTSTRAP_KEY,
            body=iter([b"operator: x"]),
        )
        assert reply.status == 411

    voters.run(scenario)


def test_malformed_headers_are_refused():
    """A malformed base version or change id must be refused.

    With a default for the base version, a change could undo another one.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        for base_version, change_id in (
            ("", "c"),
            ("-1", "c"),
            ("x", "c"),
            ("0", ""),
            ("0", "a b"),
        ):
            reply = await cluster.request(
                "POST",
                "/v1/configuration",
                key=voters.BOOTSTRAP_KEY,
                body=voters.CONFIGURATION_TEXT.encode(),
                Base_Version=base_version,
                Change_Id=change_id,
            )
            assert reply.status == 400, (base_version, change_id)
        assert cluster.leader.machine.version == 0

    voters.run(scenario)


def test_follower_redirects_to_the_leader():
    """A follower must redirect requests to the leader.

    It cannot accept changes and may have outdated state.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        reply = await cluster.request(
            "GET", "/v1/audit?limit=1", cluster.follower
        )
        leader = cluster.leader.settings.operators_listen
        assert reply.status == 307
        assert reply.headers["Location"] == f"http://{leader}/v1/audit?limit=1"
        cluster.follower.settings.operators_addresses.clear()
        reply = await cluster.request("GET", "/v1/status", cluster.follower)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")

    voters.run(scenario, count=3)


def test_unknown_outcome_is_reported_as_unknown(monkeypatch):
    """A change whose outcome is unknown must be reported as unknown.

    It could still take effect after it was reported as refused.
    """

    async def lose(command):
        raise errors.CommitUnknownError("leadership ended")

    async def hang(command):
        await asyncio.Event().wait()

    async def scenario(cluster: voters.ControlCluster) -> None:
        monkeypatch.setattr(operators, "CHANGE_TIMEOUT_S", 0.05)
        for failure in (lose, hang):
            monkeypatch.setattr(cluster.leader.consensus, "propose", failure)
            reply = await cluster.submit(0, "c", key=voters.BOOTSTRAP_KEY)
            assert reply.status == 504
            assert reply.json()["outcome"] == "unknown"

    voters.run(scenario)


def test_unexpected_error_is_reported_as_unknown(monkeypatch):
    """An unexpected error must be reported as an unknown outcome.

    It may occur after the change was proposed.
    """

    async def fail(command):
        raise ValueError("unforeseen")

    async def scenario(cluster: voters.ControlCluster) -> None:
        monkeypatch.setattr(cluster.leader.consensus, "propose", fail)
        reply = await cluster.submit(0, "c", key=voters.BOOTSTRAP_KEY)
        assert reply.status == 500
        assert reply.json()["outcome"] == "unknown"
        assert b"Traceback" not in reply.data

    voters.run(scenario)


def test_drain_is_recorded_and_ended():
    """A drain and its end must be recorded in the audit trail.

    Otherwise nobody could find out who drained a VM.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        await cluster.submit_initial()
        path = "/v1/vms/vm-1/drain"
        assert (
            await cluster.request("POST", path, Change_Id="d1")
        ).status == 200
        status = (await cluster.request("GET", "/v1/status")).json()
        assert status["drained"] == ["vm-1"]
        assert (
            await cluster.request("DELETE", path, Change_Id="d2")
        ).status == 200
        records = json.loads((await cluster.request("GET", "/v1/audit")).data)
        assert [record["operator"] for record in records] == [
            "(bootstrap)",
            "jana",
            "jana",
        ]
        assert cluster.leader.machine.drained == {}

    voters.run(scenario)


def test_planned_stop_refuses_new_changes_as_not_run():
    """A voter that shuts down must refuse changes as not run.

    A change that it accepted would be aborted.
    """

    async def scenario(cluster: voters.ControlCluster) -> None:
        cluster.leader.shutdown.request("test")
        leader = cluster.leader
        leader.leadership.close()
        ready = await cluster.request("GET", "/readyz", leader)
        assert (ready.status, b"shutdown" in ready.data) == (503, True)
        reply = await cluster.request("GET", "/v1/status", leader)
        assert (reply.status, reply.json()["outcome"]) == (503, "not-run")
        assert reply.json()["detail"] == "this voter is shutting down"

    voters.run(scenario)
