"""Tests that entries only get views that a quorum has confirmed."""

import asyncio

import grpclib
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import view
from tests import streams


class _Quorum:
    """Confirms rounds when the test asks for it."""

    def __init__(self) -> None:
        self.rounds: list[asyncio.Future] = []

    async def confirm(self) -> None:
        self.rounds.append(asyncio.get_running_loop().create_future())
        await self.rounds[-1]

    async def answer(self) -> None:
        """Confirm all pending rounds; wait until there is one."""
        while not self.rounds or self.rounds[-1].done():
            await asyncio.sleep(0.01)
        for waiting in self.rounds:
            if not waiting.done():
                waiting.set_result(None)
        await streams.run_ready_tasks()


class _ViewHarness:
    """Runs views of a leader that admits every watch."""

    def __init__(self) -> None:
        self.quorum = _Quorum()
        self.snapshot = view.Snapshot(1, "first", ())
        self.views = view.Views(
            self.admit, self.quorum.confirm, lambda: self.snapshot
        )
        self.tasks = [asyncio.create_task(self.views.run())]

    async def admit(self) -> None:
        return None

    async def watch(self, entry: str = "entry-1") -> streams.FakeStream:
        stream = streams.FakeStream()
        await stream.incoming.put(_status(entry, 0))
        task = asyncio.create_task(self.views.handle(stream))
        self.tasks.append(task)
        await streams.run_ready_tasks()
        return stream

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _status(
    entry: str, version: int, sequence: int = 1
) -> messages.EntryStatus:
    return messages.EntryStatus(entry, "praha-a", version, 0, sequence)


def _run(scenario) -> None:
    async def run() -> None:
        harness = _ViewHarness()
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    asyncio.run(run())


def test_no_view_without_a_quorum():
    """Guards against a leader without a quorum that keeps entries serving.

    The round for a new view is never confirmed.
    """

    async def scenario(harness: _ViewHarness) -> None:
        stream = await harness.watch()
        await harness.quorum.answer()
        assert len(stream.sent) == 1
        harness.snapshot = view.Snapshot(2, "second", ())
        harness.views.notify()
        # Longer than a keepalive; the round is never confirmed.
        await asyncio.sleep(2 * view.KEEPALIVE_S)
        assert len(stream.sent) == 1

    _run(scenario)


def test_failed_round_ends_the_watches():
    """Guards against entries that stay with a deposed leader.

    They would wait until the staleness limit.
    """

    async def scenario(harness: _ViewHarness) -> None:
        await harness.watch()
        while not harness.quorum.rounds:
            await asyncio.sleep(0.01)
        error = errors.NotLeaderError("127.0.0.1:9")
        harness.quorum.rounds[-1].set_exception(error)
        with pytest.raises(grpclib.GRPCError, match="127.0.0.1:9"):
            await asyncio.wait_for(harness.tasks[-1], 10)

    _run(scenario)


def test_round_that_began_before_the_last_view_does_not_count():
    """Guards against a view confirmed by a round that began before it.

    It would confirm a time at which no quorum was asked.
    """

    async def scenario(harness: _ViewHarness) -> None:
        await harness.watch("entry-1")
        while not harness.quorum.rounds:
            await asyncio.sleep(0.01)
        # This watch opens while the first round is under way.
        second = await harness.watch("entry-2")
        await harness.quorum.answer()
        assert second.sent == []
        await harness.quorum.answer()
        assert len(second.sent) == 1

    _run(scenario)


def test_first_view_has_everything_and_later_ones_what_changed():
    """Guards against a reconnected entry with an old list of backend servers.

    Only the first view on a watch holds everything.
    """

    async def scenario(harness: _ViewHarness) -> None:
        first = await harness.watch()
        await harness.quorum.answer()
        await harness.quorum.answer()
        harness.snapshot = view.Snapshot(2, "second", ())
        harness.views.notify()
        await harness.quorum.answer()
        assert [v.configuration for v in first.sent] == [
            "first",
            None,
            "second",
        ]
        assert [v.backends for v in first.sent] == [(), None, None]
        again = await harness.watch()
        while not again.sent:
            await harness.quorum.answer()
        assert again.sent[0].configuration == "second"
        assert again.sent[0].backends == ()

    _run(scenario)


def test_watches_share_rounds():
    """Guards against load on every voter from a round for each entry."""

    async def scenario(harness: _ViewHarness) -> None:
        entries = [await harness.watch(f"entry-{n}") for n in range(5)]
        while not all(stream.sent for stream in entries):
            await harness.quorum.answer()
        assert len(harness.quorum.rounds) <= 2

    _run(scenario)


def test_confirmed_version_is_recorded():
    """Guards against a status that shows a version the entry doesn't use."""

    async def scenario(harness: _ViewHarness) -> None:
        stream = await harness.watch()
        await stream.incoming.put(_status("entry-1", 7))
        await streams.run_ready_tasks()
        status = harness.views.watches["entry-1"].status
        assert status.confirmed_version == 7

    _run(scenario)


def test_view_echoes_the_status_before_its_round():
    """Guards against a delayed view that counts as a fresh confirmation.

    A status that arrives during the round must not be echoed in its view.
    """

    async def scenario(harness: _ViewHarness) -> None:
        stream = await harness.watch()
        while not harness.quorum.rounds:
            await asyncio.sleep(0.01)
        # This status arrives while the round is under way.
        await stream.incoming.put(_status("entry-1", 0, 2))
        await streams.run_ready_tasks()
        await harness.quorum.answer()
        await harness.quorum.answer()
        assert [v.echo for v in stream.sent] == [1, 2]

    _run(scenario)


def _backend(vm: str, kind: messages.BackendKind, **values):
    return messages.AgentStatus(
        vm=vm,
        incarnation="a",
        data_centre="praha-a",
        fabric_domain="praha-a-1",
        kind=kind,
        control_address="127.0.0.1:1",
        data_address="127.0.0.1:2",
        **values,
    )


@pytest.mark.parametrize(
    ("incarnation", "leaving", "drained", "draining", "listed"),
    [
        ("a", False, (), (), True),
        ("b", False, (), (), False),
        ("a", True, (), (), False),
        ("a", False, ("vm-1",), (), False),
        ("a", False, (), ("drafting/0",), False),
    ],
)
def test_groups_that_may_get_no_calls_are_not_listed(
    incarnation, leaving, drained, draining, listed
):
    """Guards against new calls for a group that may get none.

    Its lead was restarted, is leaving or drained, or the group is draining.
    """
    assignment = messages.Assignment(
        group="drafting/0",
        fence=5,
        service="drafting-llm",
        model="drafter",
        model_version="7",
        members=(messages.Member("vm-1", incarnation, "127.0.0.1:1"),),
    )
    lead = _backend("vm-1", messages.BackendKind.ENGINE, leaving=leaving)
    views = view.backends([assignment], [lead], drained, draining)
    assert [v.backend for v in views] == ["drafting/0"] * listed


def test_leaving_plain_service_is_not_listed():
    """Guards against new calls for a plain backend server that is leaving."""
    kind = messages.BackendKind.PLAIN
    agents = [
        _backend("vm-1", kind, service="permit-desk"),
        _backend("vm-2", kind, service="permit-desk", leaving=True),
    ]
    views = view.backends([], agents, (), ())
    assert [(v.backend, v.service) for v in views] == [("vm-1", "permit-desk")]
