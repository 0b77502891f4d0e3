"""Entries must only be told what a quorum has confirmed."""

import asyncio

import grpclib
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import view
from tests import streams


class _Quorum:
    """Confirms rounds by hand."""

    def __init__(self) -> None:
        self.rounds: list[asyncio.Future] = []

    async def confirm(self) -> None:
        self.rounds.append(asyncio.get_running_loop().create_future())
        await self.rounds[-1]

    async def answer(self) -> None:
        """Confirm the rounds that are waiting, at least one."""
        while not self.rounds or self.rounds[-1].done():
            await asyncio.sleep(0.01)
        for waiting in self.rounds:
            if not waiting.done():
                waiting.set_result(None)
        await streams.settle()


class _Site:
    """Views with one leader that always admits."""

    def __init__(self) -> None:
        self.quorum = _Quorum()
        self.snapshot = view.Snapshot(1, "first", ())
        self.views = view.Views(
            self.admit, self.quorum.confirm, lambda: self.snapshot
        )
        self.tasks = [asyncio.create_task(self.views.run())]

    async def admit(self) -> None:
        return None

    async def watch(self, entry: str = "entry-1") -> streams.Stream:
        stream = streams.Stream()
        await stream.incoming.put(_status(entry, 0))
        task = asyncio.create_task(self.views.handle(stream))
        self.tasks.append(task)
        await streams.settle()
        return stream

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _status(entry: str, version: int) -> messages.EntryStatus:
    return messages.EntryStatus(entry, "praha-a", version)


def _run(scenario) -> None:
    async def run() -> None:
        site = _Site()
        try:
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


def test_no_view_without_a_quorum():
    """A leader that lost its quorum would keep an entry admitting work."""

    async def scenario(site: _Site) -> None:
        stream = await site.watch()
        await site.quorum.answer()
        assert len(stream.sent) == 1
        site.snapshot = view.Snapshot(2, "second", ())
        site.views.notify()
        # Longer than a keepalive; the round is never confirmed.
        await asyncio.sleep(2 * view.KEEPALIVE_S)
        assert len(stream.sent) == 1

    _run(scenario)


def test_failed_round_ends_the_watches():
    """Entries would wait at a deposed leader for the staleness limit."""

    async def scenario(site: _Site) -> None:
        await site.watch()
        while not site.quorum.rounds:
            await asyncio.sleep(0.01)
        error = errors.NotLeaderError("127.0.0.1:9")
        site.quorum.rounds[-1].set_exception(error)
        with pytest.raises(grpclib.GRPCError, match="127.0.0.1:9"):
            await asyncio.wait_for(site.tasks[-1], 10)

    _run(scenario)


def test_round_that_began_before_the_last_view_does_not_count():
    """A late view would confirm a time at which no quorum was asked."""

    async def scenario(site: _Site) -> None:
        await site.watch("entry-1")
        while not site.quorum.rounds:
            await asyncio.sleep(0.01)
        # This watch opens while the first round is under way.
        second = await site.watch("entry-2")
        await site.quorum.answer()
        assert second.sent == []
        await site.quorum.answer()
        assert len(second.sent) == 1

    _run(scenario)


def test_first_view_has_everything_and_later_ones_what_changed():
    """A reconnected entry would act on an old list of backends."""

    async def scenario(site: _Site) -> None:
        first = await site.watch()
        await site.quorum.answer()
        await site.quorum.answer()
        site.snapshot = view.Snapshot(2, "second", ())
        site.views.notify()
        await site.quorum.answer()
        assert [v.configuration for v in first.sent] == [
            "first",
            None,
            "second",
        ]
        assert [v.backends for v in first.sent] == [(), None, None]
        again = await site.watch()
        while not again.sent:
            await site.quorum.answer()
        assert again.sent[0].configuration == "second"
        assert again.sent[0].backends == ()

    _run(scenario)


def test_watches_share_rounds():
    """A round for each of many entries would load every voter."""

    async def scenario(site: _Site) -> None:
        entries = [await site.watch(f"entry-{n}") for n in range(5)]
        while not all(stream.sent for stream in entries):
            await site.quorum.answer()
        assert len(site.quorum.rounds) <= 2

    _run(scenario)


def test_confirmed_version_is_recorded():
    """Status would show a version that the entry does not act on."""

    async def scenario(site: _Site) -> None:
        stream = await site.watch()
        await stream.incoming.put(_status("entry-1", 7))
        await streams.settle()
        status = site.views.watches["entry-1"].status
        assert status.confirmed_version == 7

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
def test_groups_that_may_take_no_work_are_not_listed(
    incarnation, leaving, drained, draining, listed
):
    """Entries would send new work to a backend server that is leaving."""
    assignment = messages.Assignment(
        group="drafting/0",
        fence=5,
        service="drafting-llm",
        model="drafter",
        model_version="7",
        members=(messages.Member("vm-1", incarnation, "127.0.0.1:1"),),
    )
    lead = _backend("vm-1", messages.BackendKind.ENGINE, leaving=leaving)
    found = view.backends([assignment], [lead], drained, draining)
    assert [v.backend for v in found] == ["drafting/0"] * listed


def test_leaving_plain_service_is_not_listed():
    """Entries would send new work to a backend server that is leaving."""
    kind = messages.BackendKind.PLAIN
    agents = [
        _backend("vm-1", kind, service="permit-desk"),
        _backend("vm-2", kind, service="permit-desk", leaving=True),
    ]
    found = view.backends([], agents, (), ())
    assert [(v.backend, v.service) for v in found] == [("vm-1", "permit-desk")]
