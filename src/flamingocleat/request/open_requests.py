"""Requests that a gateway has read and not yet ended in its log.

Each request gets exactly one closing line, whatever ends it: its answer, a
refusal, its caller, an error in this program, or the end of the process.
"""

import asyncio
import collections.abc
import contextlib
import time

import prometheus_client

from flamingocleat.connection import http
from flamingocleat.process import logs
from flamingocleat.request import direct_call
from flamingocleat.request import header_names as header_names_module

_log = logs.logger("forward")

MAX_NAMES = 50
"""Bound on the requests that one line names."""
PROCESS_ENDS = "the process ends"
FAILED_STATUS = 502
"""Status of a request whose handling failed: it may have run."""

_UNANSWERED = prometheus_client.Counter(
    "flamingocleat_gateway_unanswered",
    "Requests that ended without an answer or a refusal",
    ["cause"],
)


class OpenRequests:
    """The requests of one gateway that have no closing line yet."""

    def __init__(self, header_names: header_names_module.HeaderNames) -> None:
        self.header_names = header_names
        self.calls: dict[http.Exchange, direct_call.Call | None] = {}
        """The call of each request, once its route is known."""

    @contextlib.contextmanager
    def track(self, exchange: http.Exchange) -> collections.abc.Iterator[None]:
        """Log the end of a request unless that was done meanwhile."""
        self.calls[exchange] = None
        try:
            yield
        except asyncio.CancelledError:
            reason = exchange.connection.end_reason or PROCESS_ENDS
            self._log_unanswered(exchange, "cancelled", reason)
            raise
        except Exception as error:
            status = 0 if exchange.started else FAILED_STATUS
            self._log_unanswered(
                exchange, "error", f"error: {logs.describe(error)}", status
            )
            raise
        finally:
            self.calls.pop(exchange, None)

    def close(self, exchange: http.Exchange) -> None:
        """Record that the closing line of a request was written."""
        self.calls.pop(exchange, None)

    def names(self) -> str:
        """Return the ids of the open requests, separated by commas."""
        ids = [self._request_id(each) for each in self.calls]
        rest = len(ids) - MAX_NAMES
        return ",".join(ids[:MAX_NAMES]) + (f",+{rest}" if rest > 0 else "")

    def _log_unanswered(
        self,
        exchange: http.Exchange,
        cause: str,
        outcome: str,
        status: int = 0,
    ) -> None:
        if exchange not in self.calls:
            # Its closing line told what the caller got; this is beside it.
            logs.info(
                _log,
                "request_cut_after_end",
                request=self._request_id(exchange),
                outcome=outcome,
            )
            return
        _UNANSWERED.labels(cause=cause).inc()
        call = self.calls.pop(exchange)
        log = logs.error if cause == "error" else logs.info
        log(
            _log,
            "request_ended",
            request=self._request_id(exchange),
            route=call.route.name if call else "",
            status=status,
            sent=call.sent if call else 0,
            backend=call.backend if call else "",
            version=call.version if call else "",
            begun=exchange.started,
            whole=exchange.finished,
            after_ms=round((time.monotonic() - exchange.arrived_s) * 1000),
            outcome=outcome,
        )

    def _request_id(self, exchange: http.Exchange) -> str:
        return exchange.header(self.header_names.request_id)
