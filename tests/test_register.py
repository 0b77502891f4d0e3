"""The register runs a non-repeatable call at most once."""

import hypothesis
import msgspec
import pytest
from hypothesis import stateful
from hypothesis import strategies

from flamingocleat import ids
from flamingocleat import messages
from flamingocleat.version import register

_HOUR_MS = 3600 * 1000
_START_MS = 1_800_000_000_000
_State = messages.ClaimState


def make_key(created_ms: int, number: int = 0) -> str:
    text = f"{created_ms:012x}7000{0x8000 + number:04x}{number:012x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)


def make_claim(key: str, permit: str, digest: bytes = b"d"):
    return messages.ClaimRequest(
        customer=ids.CustomerId("town"),
        key=key,
        service=ids.ServiceId("order-desk"),
        digest=digest,
        permit=ids.PermitId(permit),
        vm=ids.VmId("vm-1"),
        incarnation=ids.Incarnation("i-1"),
        address="127.0.0.1:1",
    )


def make_conclusion(key: str, permit: str, answer: str = ""):
    return messages.ConcludeRequest(
        customer=ids.CustomerId("town"),
        key=key,
        permit=ids.PermitId(permit),
        answer=make_answer(answer) if answer else None,
    )


def make_answer(text: str) -> messages.Answer:
    return messages.Answer(200, "text/plain", text.encode())


_KEYS = [make_key(_START_MS + h * 8 * _HOUR_MS, h) for h in range(4)]
_KEY = strategies.sampled_from(_KEYS)


class RegisterMachine(stateful.RuleBasedStateMachine):
    """Entries and an agent that follow the protocol, at random times."""

    permits = stateful.Bundle("permits")

    def __init__(self) -> None:
        super().__init__()
        self.register = register.Register()
        self.now_ms = _START_MS
        self.count = 0
        self.claimed: set[tuple[str, str]] = set()
        self.used: set[str] = set()
        self.voided: set[str] = set()
        self.runs: dict[str, str] = {}

    def check_claim(self, key: str, permit: str, digest: bytes) -> None:
        reply = self.register.claim(
            make_claim(key, permit, digest), self.now_ms
        )
        if reply.state is _State.CLAIMED:
            assert reply.permit == permit
            assert permit not in self.voided
            self.claimed.add((key, permit))
        age_ms = self.now_ms - (register.created_ms(key) or 0)
        if age_ms > register.RETENTION_MS:
            assert reply.state is _State.EXPIRED
        if reply.state is _State.ANSWERED:
            assert reply.answer == make_answer(self.runs[key])

    @stateful.rule(target=permits, key=_KEY)
    def claim(self, key):
        self.count += 1
        permit = f"p-{self.count}"
        self.check_claim(key, permit, b"d")
        return key, permit

    @stateful.rule(permit=permits)
    def claim_again(self, permit):
        self.check_claim(*permit, b"d")

    @stateful.rule(key=_KEY)
    def claim_another_body(self, key):
        request = make_claim(key, "p-other", b"other")
        known = self.register.lookup(
            messages.LookupRequest(request.customer, key), self.now_ms
        )
        if known.state not in (_State.UNKNOWN_KEY, _State.EXPIRED):
            reply = self.register.claim(request, self.now_ms)
            assert reply == messages.ClaimReply(_State.CONFLICT)

    @stateful.rule(permit=permits)
    def run_call(self, permit):
        key, number = permit
        if permit in self.claimed and number not in self.used | self.voided:
            assert key not in self.runs, "the call ran twice"
            self.used.add(number)
            self.runs[key] = number

    @stateful.rule(permit=permits)
    def record_answer(self, permit):
        key, number = permit
        if number in self.used:
            reply = self.register.conclude(
                make_conclusion(key, number, number), self.now_ms
            )
            assert reply.state in (_State.ANSWERED, _State.EXPIRED)

    @stateful.rule(permit=permits)
    def cancel(self, permit):
        key, number = permit
        if permit in self.claimed and number not in self.used:
            self.voided.add(number)
            self.register.conclude(make_conclusion(key, number), self.now_ms)

    @stateful.rule(hours=strategies.integers(-30, 30))
    def set_clock(self, hours):
        self.now_ms += hours * _HOUR_MS

    @stateful.rule(key=_KEY)
    def look_up(self, key):
        before = msgspec.msgpack.encode(self.register.state())
        reply = self.register.lookup(
            messages.LookupRequest(ids.CustomerId("town"), key), self.now_ms
        )
        assert msgspec.msgpack.encode(self.register.state()) == before
        if reply.state is _State.ANSWERED:
            assert reply.answer == make_answer(self.runs[key])

    @stateful.rule()
    def restore(self):
        data = msgspec.msgpack.encode(self.register.state())
        state = msgspec.msgpack.decode(data, type=register.RegisterState)
        self.register = register.Register(state)


TestRegisterMachine = RegisterMachine.TestCase
TestRegisterMachine.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)


def _states(*steps) -> list[messages.ClaimState]:
    call_register = register.Register()
    return [
        call_register.claim(step, _START_MS).state
        if isinstance(step, messages.ClaimRequest)
        else call_register.conclude(step, _START_MS).state
        for step in steps
    ]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        # A claim that is resent after a lost reply may still dispatch.
        ("claim1 claim1", "CLAIMED CLAIMED"),
        # A repeat of the caller must not get a second permit.
        ("claim1 claim2", "CLAIMED PENDING"),
        # A cancelled key may be claimed again, but not with the old permit.
        ("claim1 cancel1 claim1 claim2", "CLAIMED CANCELLED CANCELLED CLAIMED"),
        # Nor with a permit that was cancelled earlier than the last one.
        (
            "claim1 cancel1 claim2 cancel2 claim1",
            "CLAIMED CANCELLED CLAIMED CANCELLED CANCELLED",
        ),
        # A late cancellation must not undo another permit or an answer.
        ("claim1 cancel2 claim2", "CLAIMED PENDING PENDING"),
        ("claim1 answer1 cancel1", "CLAIMED ANSWERED ANSWERED"),
        # An answer proves that the call ran.
        (
            "claim1 cancel1 answer1 claim2",
            "CLAIMED CANCELLED ANSWERED ANSWERED",
        ),
        # A conclusion without a claim must not create a record.
        ("answer1 claim1", "UNKNOWN_KEY CLAIMED"),
    ],
)
def test_key_state_transitions(steps, expected):
    """Each transition of a key's state gives the documented state."""
    key = make_key(_START_MS)
    makers = {
        "claim": lambda p: make_claim(key, p),
        "cancel": lambda p: make_conclusion(key, p),
        "answer": lambda p: make_conclusion(key, p, "done"),
    }
    messages_sent = [makers[s[:-1]](s[-1]) for s in steps.split()]
    assert [s.name for s in _states(*messages_sent)] == expected.split()


@pytest.mark.parametrize(
    "key",
    [
        make_key(_START_MS - register.RETENTION_MS - 1),
        make_key(_START_MS + register.MAX_FUTURE_MS + 1),
        "order-17",
        "",
        "12345678-1234-4123-8123-123456789012",
        make_key(_START_MS) + "\n",
        "{" + make_key(_START_MS) + "}",
    ],
)
def test_refuses_keys_outside_the_window(key):
    """A key outside the accepted time window must be refused.

    Its record may have been dropped, so the call might run twice. A key that
    contains no time is refused for the same reason.
    """
    assert _states(make_claim(key, "1")) == [_State.EXPIRED]


@pytest.mark.parametrize(
    "age_ms", [register.RETENTION_MS, 0, -register.MAX_FUTURE_MS]
)
def test_accepts_keys_at_the_edge_of_the_window(age_ms):
    """A key at the limit of the accepted window must not be refused."""
    key = make_key(_START_MS - age_ms)
    assert _states(make_claim(key, "1")) == [_State.CLAIMED]


def test_upper_case_is_the_same_key():
    """Upper and lower case spellings of a UUID must be the same key.

    Otherwise a repeat in the other spelling runs the call twice.
    """
    key = "0123abcd-ef01-7abc-8def-0123456789ab"
    now_ms = register.created_ms(key)
    call_register = register.Register()
    assert (
        call_register.claim(make_claim(key, "1"), now_ms).state
        is _State.CLAIMED
    )
    again = call_register.claim(make_claim(key.upper(), "2"), now_ms)
    assert again.state is _State.PENDING


def test_keys_and_answers_are_bounded(monkeypatch):
    """Many keys or large answers must not exhaust the memory."""
    monkeypatch.setattr(register, "MAX_KEYS", 2)
    monkeypatch.setattr(register, "MAX_ANSWERS_BYTES", 5)
    keys = [make_key(_START_MS, number) for number in range(3)]
    call_register = register.Register()
    states = [
        call_register.claim(make_claim(k, k), _START_MS).state for k in keys
    ]
    assert states == [_State.CLAIMED, _State.CLAIMED, _State.UNKNOWN_KEY]
    call_register.conclude(make_conclusion(keys[0], keys[0], "1234"), _START_MS)
    call_register.conclude(make_conclusion(keys[1], keys[1], "5678"), _START_MS)
    replies = [
        call_register.claim(make_claim(k, "x"), _START_MS) for k in keys[:2]
    ]
    assert [r.state for r in replies] == [_State.ANSWERED, _State.ANSWERED]
    assert [r.answer for r in replies] == [make_answer("1234"), None]
    # Expiry must free memory for new keys.
    later_ms = _START_MS + register.RETENTION_MS + 1
    claim = make_claim(make_key(later_ms), "y")
    assert call_register.claim(claim, later_ms).state is _State.CLAIMED
    assert call_register.answers_bytes == 0


def test_removed_key_stays_refused_when_the_clock_is_set_back():
    """A key whose record was dropped must stay refused.

    If the clock is set back, also after a restart, the key looks valid again
    and the call would run twice.
    """
    key = make_key(_START_MS)
    call_register = register.Register()
    call_register.claim(make_claim(key, "1"), _START_MS)
    call_register.expire(_START_MS + register.RETENTION_MS + 1)
    for instance in (call_register, register.Register(call_register.state())):
        again = instance.claim(make_claim(key, "2"), _START_MS)
        assert again.state is _State.EXPIRED


def test_first_answer_is_kept():
    """The first recorded answer must not be replaced.

    Two repeats of a call would get different answers.
    """
    key = make_key(_START_MS)
    call_register = register.Register()
    call_register.claim(make_claim(key, "1"), _START_MS)
    call_register.conclude(make_conclusion(key, "1", "first"), _START_MS)
    call_register.conclude(make_conclusion(key, "1", "second"), _START_MS)
    request = messages.LookupRequest(ids.CustomerId("town"), key)
    record = call_register.lookup(request, _START_MS)
    assert record.answer == make_answer("first")
    late = call_register.lookup(request, _START_MS + register.RETENTION_MS + 1)
    assert late.state is _State.EXPIRED
