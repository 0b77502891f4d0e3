"""Checks that another server's answer continues the stream of a caller.

Handles servers that break off a stream, and servers whose answer to the
resumed request is an error, ends at once or skips events. What does not
continue the events that the caller has is rejected; the stream then stays
unfinished, so that the caller can resume it.
"""

from flamingocleat import errors
from flamingocleat.request import events


class DiscontinuityError(errors.FlamingocleatError):
    """An answer does not continue the events that the caller has."""


class ReceivedEvents:
    """What a caller has received of its stream.

    Args:
        last_event_id: Id of the last event that the caller received before,
            or an empty string.
    """

    def __init__(self, last_event_id: str) -> None:
        self.last_event_id = last_event_id
        self.last_number = (
            int(last_event_id)
            if last_event_id.isascii() and last_event_id.isdigit()
            else None
        )
        self.may_be_at_end = bool(last_event_id)
        """Whether an answer without an event may be complete."""
        self.content_type: str | None = None
        """Content type of the first answer; None if no event has come."""
        self.is_consecutive = True
        """Whether each event's number was its predecessor's plus one."""
        self.is_joining = False
        """Whether the next event is the first of a further answer."""
        self.grew = False
        """Whether the current answer has added an event."""

    def begin_answer(self, content_type: str) -> None:
        """Begin with an answer; raise DiscontinuityError."""
        if self.content_type and content_type != self.content_type:
            raise DiscontinuityError(
                f"the content type changes to {content_type!r}"
            )
        self.grew = False
        self.is_joining = self.content_type is not None

    def add(
        self, found: list[events.Event], content_type: str
    ) -> list[events.Event]:
        """Return those of an answer's events that the caller lacks.

        Comments of an answer are returned only once an event of it has come:
        before, the answer may still turn out to be none.

        Raises:
            DiscontinuityError: Events are missing before them.
        """
        added: list[events.Event] = []
        for event in found:
            if not event.has_fields:
                if self.grew:
                    added.append(event)
            elif self._is_new(event):
                self._append(event)
                self.content_type = self.content_type or content_type
                added.append(event)
        return added

    def end_answer(self) -> None:
        """Check that the answer may end; raise DiscontinuityError."""
        if not self.grew and (self.is_joining or not self.may_be_at_end):
            raise DiscontinuityError("the answer has no further event")

    def _is_new(self, event: events.Event) -> bool:
        return (
            event.number is None
            or self.last_number is None
            or event.number > self.last_number
        )

    def _append(self, event: events.Event) -> None:
        if event.number is not None:
            self._check_number(event.number)
            self.last_number = event.number
            self.last_event_id = str(event.number)
        self.grew = True
        self.is_joining = False

    def _check_number(self, number: int) -> None:
        """Check that no event is missing where two answers join."""
        if self.last_number is None:
            return
        follows = number == self.last_number + 1
        if self.is_joining and self.is_consecutive and not follows:
            raise DiscontinuityError(
                f"event {number} does not follow {self.last_number}"
            )
        if self.content_type is not None:
            self.is_consecutive &= follows
