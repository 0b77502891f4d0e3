"""A caller's event stream, which a gateway relays from backend servers."""

import asyncio
import copy
import time
import typing

from flamingocleat.connection import http
from flamingocleat.request import answer_room
from flamingocleat.request import continuation
from flamingocleat.request import direct_attempt as attempts
from flamingocleat.request import direct_call
from flamingocleat.request import events
from flamingocleat.request import takeover as takeovers

if typing.TYPE_CHECKING:
    from flamingocleat.request import forward

FAILURE_BODY_TIMEOUT_S = 0.5
"""Time within which the body of a stream's failure must arrive."""


class Stream:
    """A caller's event stream, which may come from several servers in turn."""

    def __init__(
        self, call: direct_call.Call, forwarder: "forward.Forwarder"
    ) -> None:
        self.call = call
        self.forwarder = forwarder
        self.received = continuation.ReceivedEvents(call.last_event_id)
        self.owner: attempts.Attempt | None = None
        """The attempt whose events the caller gets."""
        self.takeover: takeovers.Takeover | None = None
        """Another attempt, which goes on if the owner stays silent."""

    async def relay(
        self, attempt: attempts.Attempt, client: http.Client
    ) -> None:
        """Forward events until the stream ends; raise if it breaks."""
        attempt.meter = self.forwarder.pace.begin(attempt, self.call)
        answer = await client.answer()
        self.forwarder.record_head(attempt, answer)
        self.forwarder.check_answer(self.call, answer)
        if answer.status != 200:
            await self._send_failure(answer, await _read_failure(client))
            return
        try:
            await self._relay_events(attempt, client, answer)
        except continuation.DiscontinuityError as error:
            raise attempts.AttemptError(
                attempts.Failure.UNKNOWN, str(error)
            ) from error
        self._keep_owner(attempt)
        if not self.call.exchange.started:
            self.call.exchange.start(200, forwarded_headers(answer.headers))
        await self.call.exchange.finish()
        attempt.candidate.mark_succeeded()
        self.forwarder.record_answer(self.call, 200, "answered")

    async def _relay_events(
        self,
        attempt: attempts.Attempt,
        client: http.Client,
        answer: http.Answer,
    ) -> None:
        with self.forwarder.answer_room.hold(client.close) as held:
            await self._relay_parsed(attempt, client, answer, held)
        if self.owner is None:
            self.owner = attempt
            self.received.begin_answer(answer.header(b"content-type"))
        elif self.owner is not attempt:
            raise continuation.DiscontinuityError(
                "the answer has no further event"
            )
        self.received.end_answer()

    async def _relay_parsed(
        self,
        attempt: attempts.Attempt,
        client: http.Client,
        answer: http.Answer,
        held: answer_room.HeldAnswer,
    ) -> None:
        content_type = answer.header(b"content-type")
        parser = events.EventParser(needs_ids=self.call.route.resumable)
        while data := await client.read():
            try:
                found = parser.feed(data)
            except ValueError as error:
                raise http.BrokenAnswerError(str(error)) from error
            held.resize(len(parser.buffer))
            if held.has_ended:
                raise http.BrokenAnswerError("no room for an event")
            if any(event.has_fields for event in found):
                now_s = time.monotonic()
                attempt.candidate.mark_alive(now_s)
                if attempt.meter is not None:
                    attempt.meter.record(now_s, len(found))
                if not attempt.writing:
                    self.forwarder.server_ends.record_answer(
                        self.call, attempt.candidate
                    )
                attempt.writing = True
            unsent = self._take(attempt, found, content_type)
            with attempt.hold():
                await self._send(answer, unsent)
        if parser.buffer:
            raise http.BrokenAnswerError("the stream ends within an event")

    def _take(
        self,
        attempt: attempts.Attempt,
        found: list[events.Event],
        content_type: str,
    ) -> list[events.Event]:
        """Return those of an attempt's events that the caller lacks.

        The first event of another attempt than before ends that one, so that
        the caller gets the events of one answer at a time.
        """
        goes_on = any(event.has_fields for event in found)
        if self.owner is attempt:
            if goes_on:
                self._keep_owner(attempt)
            return self.received.add(found, content_type)
        if not goes_on:
            return []
        received = copy.copy(self.received)
        received.begin_answer(content_type)
        added = received.add(found, content_type)
        self.received = received
        previous, self.owner = self.owner, attempt
        self._keep_owner(attempt)
        source = self.takeover.source if self.takeover is not None else None
        for other in (previous, source):
            if other is not None:
                other.end("another server goes on")
        return added

    def _keep_owner(self, attempt: attempts.Attempt) -> None:
        """End the takeover from an attempt that goes on itself."""
        if self.takeover is not None and self.takeover.source is attempt:
            self.takeover.cancel()
            self.takeover = None
            self.call.backend = attempt.candidate.view.backend

    async def _send_failure(self, answer: http.Answer, body: bytes) -> None:
        if self.call.exchange.started:
            raise attempts.AttemptError(
                attempts.Failure.UNKNOWN,
                f"resumption failed with {answer.status}",
            )
        if answer.status >= 500:
            failed = attempts.AttemptError(
                attempts.Failure.UNKNOWN, f"status {answer.status}"
            )
            failed.answer = (answer, body)
            raise failed
        await self.forwarder.send_answer(self.call, answer, body)

    async def _send(
        self, answer: http.Answer, unsent: list[events.Event]
    ) -> None:
        exchange = self.call.exchange
        if not unsent:
            return
        if not exchange.started:
            self.forwarder.record_first_byte(self.call)
            exchange.start(200, forwarded_headers(answer.headers))
        await exchange.send(b"".join(event.data for event in unsent))


async def _read_failure(client: http.Client) -> bytes:
    """Return the body of a stream's failure; raise BrokenAnswerError."""
    try:
        async with asyncio.timeout(FAILURE_BODY_TIMEOUT_S):
            return await client.read_all(http.MAX_SHORT_ANSWER_BYTES)
    except TimeoutError as error:
        raise http.BrokenAnswerError("the failure does not end") from error


def forwarded_headers(headers: http.Headers) -> http.Headers:
    """Return a server's headers without the hop-by-hop ones and the length."""
    return [
        (name, value)
        for name, value in headers
        if name not in http.HOP_BY_HOP and name != b"content-length"
    ]
