"""Departures and drains that control has acknowledged to backend servers."""

import asyncio
import time

import msgspec
import pytest

from flamingocleat import errors
from flamingocleat import messages
from flamingocleat.connection import feed
from flamingocleat.process import gateway
from flamingocleat.process import settings
from flamingocleat.request import header_names
from flamingocleat.version import declared
from flamingocleat.version import fleet
from tests.direct import coordinators


def announcement(**changes) -> fleet.Announcement:
    return msgspec.structs.replace(
        fleet.Announcement(
            backend="b-1",
            born_ms=int(time.time() * 1000) - 15_000,
            sequence=12,
            service="desk",
            address="10.0.0.1:80",
            data_centre="a",
            state=fleet.BackendState.READY,
        ),
        **changes,
    )


def test_departed_server_unknown_to_the_leader_does_not_return(tmp_path):
    """An announcement that is late must not undo a departure."""

    async def scenario(cluster):
        late = announcement()
        await cluster.leave("b-1")
        await cluster.announce(late)
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_departed_server_does_not_return_at_the_next_leader(tmp_path):
    """An acknowledged departure must outlive the leader that has it."""

    async def scenario(cluster):
        late = announcement()
        await cluster.announce(late)
        await cluster.leave("b-1")
        await cluster.stop_leader()
        await cluster.announce(msgspec.structs.replace(late, sequence=13))
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_draining_server_is_not_ready_at_the_next_leader(tmp_path):
    """An acknowledged drain must outlive the leader that has it."""

    async def scenario(cluster):
        late = announcement()
        draining = fleet.BackendState.DRAINING
        await cluster.announce(
            msgspec.structs.replace(late, sequence=13, state=draining)
        )
        await cluster.stop_leader()
        await cluster.announce(late)
        leader = await cluster.leader()
        assert leader.fleet.backends == {}

    coordinators.run_scenario(tmp_path, scenario)


def test_drain_is_acknowledged_only_once_it_is_stored(tmp_path):
    """A server that sends the same announcement again must not be told so."""

    async def scenario(cluster):
        leader = await cluster.leader()
        propose, failures = leader.consensus.propose, 2

        async def fail_at_first(command):
            nonlocal failures
            failures -= 1
            if failures >= 0:
                raise errors.CommitUnknownError("no quorum")
            return await propose(command)

        leader.consensus.propose = fail_at_first
        draining = announcement(state=fleet.BackendState.DRAINING)
        await cluster.announce(draining)
        assert failures < 0
        assert set(leader.machine.withdrawals) == {"b-1"}

    coordinators.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("leaders", [1, 2])
def test_server_returns_in_a_new_lifetime(tmp_path, leaders):
    """A server that starts again under its name must be used."""

    async def scenario(cluster):
        await cluster.leave("b-1")
        if leaders > 1:
            await cluster.stop_leader()
        await asyncio.sleep(0.01)
        born_ms = int(time.time() * 1000)
        await cluster.announce(announcement(born_ms=born_ms, sequence=1))
        leader = await cluster.leader()
        assert set(leader.fleet.backends) == {"b-1"}

    coordinators.run_scenario(tmp_path, scenario)


def test_departure_reaches_gateways_before_the_leader_is_settled(tmp_path):
    """Gateways keep the list of the former leader until then."""

    async def scenario(cluster):
        await cluster.announce(announcement())
        await cluster.stop_leader()
        leader = await cluster.leader()
        views: asyncio.Queue = asyncio.Queue()
        subscriber = feed.Subscriber(
            lambda: [leader.settings.address],
            lambda sequence: messages.GatewayReport("g", "a", sequence, 1, 0),
            views.put_nowait,
        )
        following = asyncio.create_task(subscriber.run())
        await cluster.leave("b-1")
        async with asyncio.timeout(coordinators.TIMEOUT_S):
            while not (view := await views.get()).withdrawn:
                assert not view.settled
        assert view.withdrawn == ("b-1",)
        assert not view.settled
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)

    coordinators.run_scenario(tmp_path, scenario)


def test_gateway_drops_withdrawn_servers_of_a_former_leader():
    """It must not use them although the new leader lists no servers yet."""

    async def scenario():
        program = gateway.Gateway(
            lambda: settings.GatewaySettings(
                gateway="g",
                data_centre="a",
                listen="127.0.0.1:0",
                health_listen="127.0.0.1:0",
                control=(),
            ),
            header_names.HeaderNames(),
        )
        listed = tuple(
            messages.ServedBackend(f"b-{n}", f"10.0.0.{n}:80", "desk", "a", 4)
            for n in (1, 2)
        )
        apply = program._apply_view
        apply(messages.GatewayView(1, 1, backends=listed))
        apply(messages.GatewayView(2, 1, settled=False, withdrawn=("b-1",)))
        assert set(program.candidates.by_backend) == {"b-2"}

    asyncio.run(scenario())


def withdraw(machine: declared.Machine, name: str, stored_ms: int) -> None:
    withdrawal = fleet.Withdrawal(name, 1000, fleet.FINAL_SEQUENCE)
    stored = declared.StoredWithdrawal(withdrawal, stored_ms)
    command = declared.PutDocument(declared.NO_VERSION, b"", stored)
    machine.apply(1, machine.decode(machine.encode(command)))


def test_withdrawals_survive_a_snapshot():
    """A voter that restarts from a snapshot must know all withdrawals."""
    machine, restored = declared.Machine(), declared.Machine()
    machine.apply(1, declared.PutDocument(7, b"document"))
    withdraw(machine, "b-1", 5000)
    restored.restore(machine.snapshot())
    assert restored.holds(fleet.Withdrawal("b-1", 1000, 12))
    assert not restored.holds(fleet.Withdrawal("b-1", 2000, 1))
    assert (restored.version, restored.document) == (7, b"document")


def test_earlier_builds_read_a_withdrawal_as_an_outdated_document():
    """A voter of an earlier build must not fail on the command."""

    class EarlierPut(msgspec.Struct, tag="put"):
        version: int
        document: bytes

    stored = declared.StoredWithdrawal(fleet.Withdrawal("b-1", 1000, 12), 5000)
    command = declared.PutDocument(declared.NO_VERSION, b"", stored)
    data = declared.Machine().encode(command)
    assert msgspec.msgpack.decode(data, type=EarlierPut).version < 0


def test_withdrawals_are_bounded(monkeypatch):
    """Withdrawals must be dropped when they are old, or too many."""
    monkeypatch.setattr(declared, "MAX_WITHDRAWALS", 3)
    machine = declared.Machine()
    for number in range(5):
        withdraw(machine, f"b-{number}", 5000 + number)
    assert list(machine.withdrawals) == ["b-2", "b-3", "b-4"]
    withdraw(machine, "b-9", 5004 + round(fleet.WITHDRAWAL_S * 1000))
    assert list(machine.withdrawals) == ["b-9"]


def test_departure_without_a_lifetime_ends_those_not_known_yet():
    """A restarted server may leave before its new lifetime is announced."""
    fleet_state = fleet.Fleet()
    assert fleet_state.announce(announcement(born_ms=1000), 0.0)
    fleet_state.withdraw(fleet_state.departure("b-1", None, 9000), 1.0)
    assert not fleet_state.announce(announcement(born_ms=8000, sequence=1), 2.0)
    assert fleet_state.announce(announcement(born_ms=9500, sequence=1), 3.0)
