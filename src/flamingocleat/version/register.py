"""Register of the idempotency keys of non-repeatable calls.

It records which keys were claimed and which calls were answered. A key is a
UUIDv7 and therefore contains its creation time. The present time comes from
the commands; see "Non-repeatable calls" in the design page.
"""

import heapq
import re
import sys

import msgspec

from flamingocleat import ids
from flamingocleat import messages

RETENTION_MS = 24 * 3600 * 1000
MAX_FUTURE_MS = 5 * 60 * 1000

MAX_KEYS = 20_000
"""Limit on recorded keys; further claims are refused as not run. A key
without an answer took 0.66 KiB in a trial, so this is 13 MB of a voter's
64 MB."""
MAX_ANSWER_BYTES = 256 * 1024
"""Longest answer that is stored. Of a longer one only the fact that the call
was answered is recorded."""
MAX_ANSWERS_BYTES = 4 * 1024 * 1024
"""Limit on the total size of stored answers. They are in memory twice,
because the latest snapshot is in memory as well."""

MAX_CANCELLED_PERMITS = 16
"""Cancelled permits stored for each key; the oldest are dropped first."""

# Rejects other spellings of a UUID, with which one UUID would count as two
# keys.
_KEY_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class Record(msgspec.Struct):
    """State of one key; `state` is CLAIMED, ANSWERED or CANCELLED."""

    customer: ids.CustomerId
    key: str
    service: ids.ServiceId
    digest: bytes
    permit: ids.PermitId
    vm: ids.VmId
    incarnation: ids.Incarnation
    address: str
    state: messages.ClaimState
    answer: messages.Answer | None = None
    cancelled: tuple[ids.PermitId, ...] = ()
    """Cancelled permits. A claim with one of them that arrives late must not
    claim the key again."""

    def __post_init__(self) -> None:
        """Intern strings that recur in many records, also after decoding."""
        self.customer = ids.CustomerId(sys.intern(self.customer))
        self.service = ids.ServiceId(sys.intern(self.service))
        self.vm = ids.VmId(sys.intern(self.vm))
        self.incarnation = ids.Incarnation(sys.intern(self.incarnation))
        self.address = sys.intern(self.address)


class RegisterState(msgspec.Struct):
    """The content of a register in a snapshot."""

    records: list[Record] = []
    horizon_ms: int = -1


def created_ms(key: str) -> int | None:
    """Return the creation time of a key, or None if it is not a UUIDv7."""
    text = key.lower()
    if not _KEY_PATTERN.fullmatch(text):
        return None
    return int(text[:8] + text[9:13], 16)


class Register:
    """Records of all keys within the retention window.

    `horizon_ms` is the newest creation time among the removed keys. A claim
    of a new key that is not newer is refused, so that a removed key is never
    claimed again, even if the clock is set back.
    """

    def __init__(self, state: RegisterState | None = None) -> None:
        state = state or RegisterState()
        self.records = {(r.customer, r.key): r for r in state.records}
        self.horizon_ms = state.horizon_ms
        self.answers_bytes = sum(_answer_size(r.answer) for r in state.records)
        self.by_age = [
            (created_ms(key) or 0, customer, key)
            for customer, key in self.records
        ]
        heapq.heapify(self.by_age)

    def state(self) -> RegisterState:
        """Return the content for a snapshot."""
        return RegisterState(list(self.records.values()), self.horizon_ms)

    def claim(
        self, request: messages.ClaimRequest, now_ms: int
    ) -> messages.ClaimReply:
        """Claim a key; the entry may send the call only after CLAIMED.

        The state is EXPIRED for every key that is refused for its form or
        age, and UNKNOWN_KEY if the register is full.
        """
        self.expire(now_ms)
        key = request.key.lower()
        record = self.records.get((request.customer, key))
        if record is not None:
            return self._claim_known_key(record, request)
        if not self._is_in_window(key, now_ms):
            return messages.ClaimReply(messages.ClaimState.EXPIRED)
        if len(self.records) >= MAX_KEYS:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN_KEY)
        record = Record(
            customer=request.customer,
            key=key,
            service=request.service,
            digest=request.digest,
            permit=request.permit,
            vm=request.vm,
            incarnation=request.incarnation,
            address=request.address,
            state=messages.ClaimState.CLAIMED,
        )
        self.records[request.customer, key] = record
        creation = (created_ms(key) or 0, request.customer, key)
        heapq.heappush(self.by_age, creation)
        return _reply(messages.ClaimState.CLAIMED, record)

    def conclude(
        self, request: messages.ConcludeRequest, now_ms: int
    ) -> messages.ConcludeReply:
        """Record the answer or the cancellation of the present permit.

        The reply holds the resulting state; PENDING means that another
        permit holds the key.
        """
        self.expire(now_ms)
        key = request.key.lower()
        record = self.records.get((request.customer, key))
        if record is None:
            return messages.ConcludeReply(
                self._state_without_record(key, now_ms)
            )
        if record.permit == request.permit:
            self._conclude_record(record, request.answer)
        return messages.ConcludeReply(_state_for_others(record))

    def lookup(
        self, request: messages.LookupRequest, now_ms: int
    ) -> messages.ClaimReply:
        """Return the state of a key without changing anything."""
        key = request.key.lower()
        record = self.records.get((request.customer, key))
        if record is None or _is_expired(key, now_ms):
            return messages.ClaimReply(self._state_without_record(key, now_ms))
        return _reply(_state_for_others(record), record)

    def expire(self, now_ms: int) -> None:
        """Remove the keys that are older than the retention window."""
        oldest_ms = now_ms - RETENTION_MS
        while self.by_age and self.by_age[0][0] < oldest_ms:
            key_created_ms, customer, key = heapq.heappop(self.by_age)
            record = self.records.pop((customer, key))
            self.answers_bytes -= _answer_size(record.answer)
            self.horizon_ms = max(self.horizon_ms, key_created_ms)

    def _claim_known_key(
        self, record: Record, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        same_call = (
            record.digest == request.digest
            and record.service == request.service
        )
        if not same_call:
            return messages.ClaimReply(messages.ClaimState.CONFLICT)
        if record.permit == request.permit:
            # The reply to this claim was lost, and the claim was resent.
            same_agent = (
                record.vm == request.vm
                and record.incarnation == request.incarnation
            )
            if same_agent:
                return _reply(record.state, record)
            return _reply(_state_for_others(record), record)
        if (
            record.state is messages.ClaimState.CANCELLED
            and request.permit not in record.cancelled
        ):
            record.permit = request.permit
            record.vm = request.vm
            record.incarnation = request.incarnation
            record.address = request.address
            record.state = messages.ClaimState.CLAIMED
            return _reply(messages.ClaimState.CLAIMED, record)
        return _reply(_state_for_others(record), record)

    def _conclude_record(
        self, record: Record, answer: messages.Answer | None
    ) -> None:
        if record.state is messages.ClaimState.ANSWERED:
            return
        if answer is None:
            if record.state is messages.ClaimState.CLAIMED:
                record.state = messages.ClaimState.CANCELLED
                cancelled = (*record.cancelled, record.permit)
                record.cancelled = cancelled[-MAX_CANCELLED_PERMITS:]
            return
        # An answer also overrides a cancellation of the same permit, because
        # it proves that the call ran; the key must not be claimed again.
        record.state = messages.ClaimState.ANSWERED
        size = _answer_size(answer)
        fits = self.answers_bytes + size <= MAX_ANSWERS_BYTES
        if size <= MAX_ANSWER_BYTES and fits:
            record.answer = answer
            self.answers_bytes += size

    def _is_in_window(self, key: str, now_ms: int) -> bool:
        created = created_ms(key)
        return (
            created is not None
            and created > self.horizon_ms
            and now_ms - RETENTION_MS <= created <= now_ms + MAX_FUTURE_MS
        )

    def _state_without_record(
        self, key: str, now_ms: int
    ) -> messages.ClaimState:
        if self._is_in_window(key, now_ms):
            return messages.ClaimState.UNKNOWN_KEY
        return messages.ClaimState.EXPIRED


def _is_expired(key: str, now_ms: int) -> bool:
    created = created_ms(key)
    return created is None or created < now_ms - RETENTION_MS


def _state_for_others(record: Record) -> messages.ClaimState:
    """Return the state that requests other than the claiming one see."""
    if record.state is messages.ClaimState.CLAIMED:
        return messages.ClaimState.PENDING
    return record.state


def _reply(state: messages.ClaimState, record: Record) -> messages.ClaimReply:
    return messages.ClaimReply(
        state=state,
        permit=record.permit,
        vm=record.vm,
        incarnation=record.incarnation,
        address=record.address,
        answer=record.answer,
    )


def _answer_size(answer: messages.Answer | None) -> int:
    return len(answer.body) if answer else 0
