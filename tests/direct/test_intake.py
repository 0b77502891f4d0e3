"""What a server may hold for its callers, without a network."""

import dataclasses

import hypothesis
from hypothesis import strategies

from flamingocleat.connection import intake as intake_module

Phase = intake_module.Phase
Reason = intake_module.Reason
SETTINGS = intake_module.Settings(
    body_bytes=1_000_000,
    small_bytes=200_000,
    answer_bytes=300_000,
    max_connections=6,
)


class Peer:
    """A connection that does at once what the intake tells it."""

    def __init__(self, intake: intake_module.Intake) -> None:
        self.intake = intake
        self.ended: list[Reason] = []
        self.admitted = 0
        self.is_reading = True
        self.has_request = False
        account = intake.open(self)
        self.is_open = account is not None
        self.account = account or intake_module.Account(self)

    def resume(self) -> None:
        self.is_reading = True

    def admit(self) -> None:
        self.admitted += 1

    def is_in_use(self) -> bool:
        return self.has_request

    def count_unread(self) -> None:
        """Tests say themselves what is not read."""

    def refuse(self, reason: Reason) -> None:
        self.ended.append(reason)
        self.intake.release(self.account)
        self.intake.enter(self.account, Phase.REFUSED)

    def drop(self, reason: Reason) -> None:
        self.ended.append(reason)
        self.is_open = False

    def read(self, count: int) -> int:
        """Read as a connection does; return how many bytes were read."""
        if not (self.is_reading and self.is_open):
            return 0
        size = self.intake.readable(self.account)
        self.is_reading = size > 0
        self.intake.received(self.account, min(count, size or 1))
        return min(count, size or 1)

    def begin_body(self, size: int) -> bool:
        self.intake.enter(self.account, Phase.BODY)
        return self.intake.reserve(self.account, size)


def test_bodies_wait_until_others_are_served():
    """Guards against large bodies that together exceed the room."""
    intake = intake_module.Intake(SETTINGS)
    first, second, third = (Peer(intake) for _ in range(3))
    assert first.begin_body(600_000)
    assert not second.begin_body(600_000)
    assert not third.begin_body(300_000), "the queue keeps its order"
    intake.set_held(first.account, 0)
    assert (second.admitted, third.admitted) == (1, 1)
    assert intake.body_used == 900_000


def test_single_body_beyond_the_room_is_taken():
    """Guards against a legal body that a small machine never takes."""
    intake = intake_module.Intake(SETTINGS)
    assert Peer(intake).begin_body(4_194_304)
    assert not Peer(intake).begin_body(100_000)


def test_stalled_body_makes_way_only_while_others_wait():
    """Guards against slow callers that are refused without a reason.

    Nothing is checked before `on_pressed`, and progress is measured from then.
    """
    pressed = []
    intake = intake_module.Intake(SETTINGS, lambda: pressed.append(1))
    stalled, waiting = Peer(intake), Peer(intake)
    assert stalled.begin_body(900_000)
    stalled.read(50_000)
    assert not pressed
    assert not waiting.begin_body(900_000)
    assert pressed
    for _ in range(intake_module.MAX_STRIKES + 1):
        intake.check()
    assert stalled.ended == [Reason.SLOW]
    assert waiting.admitted == 1
    assert waiting.ended == []


def test_body_that_grows_is_not_ended():
    """Guards against callers inside the limits that count as stalled."""
    intake = intake_module.Intake(SETTINGS)
    growing, waiting = Peer(intake), Peer(intake)
    growing.begin_body(900_000)
    waiting.begin_body(900_000)
    for _ in range(10):
        growing.read(intake_module.MIN_PROGRESS_BYTES)
        intake.check()
    assert growing.ended == []


def test_progress_asked_for_is_below_that_of_any_legal_body():
    """The body's time limit asks for more than the checks do."""
    limit_bytes_per_s = 4_194_304 / 30
    asked = intake_module.MIN_PROGRESS_BYTES / intake_module.CHECK_INTERVAL_S
    assert asked * 8 < limit_bytes_per_s


def test_connections_make_way_in_order():
    """Guards against ordinary callers that make way for silent ones."""
    intake = intake_module.Intake(SETTINGS)
    peers = [Peer(intake) for _ in range(SETTINGS.max_connections)]
    silent, head, idle, *busy = peers
    intake.enter(head.account, Phase.HEAD)
    intake.enter(idle.account, Phase.IDLE)
    for peer in busy:
        intake.enter(peer.account, Phase.SERVED)
    for expected in (silent, head, idle):
        newest = Peer(intake)
        assert newest.is_open
        intake.enter(newest.account, Phase.SERVED)
        assert expected.ended == [Reason.CONNECTIONS]
    assert not Peer(intake).is_open
    assert all(peer.ended == [] for peer in busy)


def test_longest_unread_answer_is_ended():
    """Guards against callers that fill the memory with answers."""
    intake = intake_module.Intake(SETTINGS)
    peers = [Peer(intake) for _ in range(4)]
    for peer in peers:
        intake.enter(peer.account, Phase.SERVED)
        intake.hold_answer(peer.account, 100_000)
    assert [bool(peer.ended) for peer in peers] == [True, False, False, False]
    intake.hold_answer(peers[1].account, 90_000)
    intake.hold_answer(peers[3].account, 150_000)
    assert [bool(peer.ended) for peer in peers] == [True, False, True, False]


def test_bounds_follow_the_machine():
    """Guards against bounds that the smallest machine cannot keep."""
    for memory_mb in (160.0, 200.0, 360.0):
        settings = intake_module.Settings.for_machine(
            memory_mb, 4100, intake_module.GATEWAY_BASE_MB
        )
        total = (
            settings.body_bytes
            + settings.small_bytes
            + settings.answer_bytes
            + settings.max_connections * intake_module.CONNECTION_BYTES
        )
        assert total / 1e6 < memory_mb - intake_module.GATEWAY_BASE_MB
        assert settings.body_bytes >= 4_194_304 * 4
        assert settings.max_connections * 2 < 4100
        assert settings.max_connections >= 1000
    coordinator = intake_module.Settings.for_machine(
        296.0, 4096, intake_module.COORDINATOR_BASE_MB
    )
    assert coordinator.body_bytes >= 16_777_216


@dataclasses.dataclass
class Step:
    """One event of a random history."""

    peer: int
    action: str
    size: int


ACTIONS = ("open", "read", "body", "served", "done", "answer", "close", "check")


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            Step,
            strategies.integers(0, 11),
            strategies.sampled_from(ACTIONS),
            strategies.integers(1, 700_000),
        ),
        max_size=120,
    )
)
def test_bytes_never_exceed_the_room(steps):
    """Guards against any order of events that holds more than the room.

    A single body or answer may exceed its room. At the end nothing is counted
    for connections that are gone.
    """
    intake = intake_module.Intake(SETTINGS)
    peers: dict[int, Peer] = {}
    for step in steps:
        peer = peers.get(step.peer)
        if peer is None or not peer.is_open:
            if step.action == "open":
                peers[step.peer] = Peer(intake)
            continue
        account = peer.account
        if step.action == "read":
            peer.read(step.size)
        elif step.action == "body" and not account.wanted:
            if not account.reserved and account.phase is not Phase.SERVED:
                peer.begin_body(step.size)
        elif step.action == "served":
            intake.set_held(account, account.held)
            intake.enter(account, Phase.SERVED)
        elif step.action == "done":
            intake.set_held(account, 0)
            intake.enter(account, Phase.IDLE)
        elif step.action == "answer":
            intake.hold_answer(account, step.size - 1)
        elif step.action == "close":
            peer.is_open = False
            intake.close(account)
        elif step.action == "check":
            intake.check()
        check_room(intake)
    for peer in peers.values():
        intake.close(peer.account) if peer.is_open else None
    assert (intake.used, intake.connections) == (0, 0)
    assert not intake.queue
    assert not intake.paused


def check_room(intake: intake_module.Intake) -> None:
    accounts = [each for phase in intake.phases.values() for each in phase]
    assert len(accounts) <= SETTINGS.max_connections
    assert intake.small_used == sum(each.small for each in accounts)
    assert intake.body_used == sum(each.reserved for each in accounts)
    assert intake.answer_used == sum(each.answer for each in accounts)
    assert intake.small_used <= SETTINGS.small_bytes
    reserved = [each for each in accounts if each.reserved]
    assert intake.body_used <= SETTINGS.body_bytes or len(reserved) == 1
    answers = [each for each in accounts if each.answer]
    assert intake.answer_used <= SETTINGS.answer_bytes or len(answers) == 1
