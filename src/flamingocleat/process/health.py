"""Health and metrics endpoints: /livez, /readyz and /metrics."""

import collections.abc
import typing

import prometheus_client

Check = collections.abc.Callable[[], str]
"""Returns the reason for a failure, or an empty string on success."""


class Health:
    """Serves health pages from the checks that components register."""

    def __init__(self) -> None:
        self.ready_checks: dict[str, Check] = {}
        self.live_checks: dict[str, Check] = {}

    def failures(self, checks: dict[str, Check]) -> list[str]:
        """Return "name: reason" for each failed check."""
        results = ((name, check()) for name, check in checks.items())
        return [f"{name}: {reason}" for name, reason in results if reason]

    def page(self, path: str) -> tuple[int, str, bytes]:
        """Return the status, content type and body of a page."""
        if path == "/metrics":
            body = prometheus_client.generate_latest()
            return 200, prometheus_client.CONTENT_TYPE_LATEST, body
        checks_by_path = {
            "/livez": self.live_checks,
            "/readyz": self.ready_checks,
        }
        if path not in checks_by_path:
            return 404, "text/plain", b"no such page\n"
        failures = self.failures(checks_by_path[path])
        text = "".join(line + "\n" for line in failures) or "ok\n"
        return (503 if failures else 200), "text/plain", text.encode()

    def wsgi(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Serve the pages as a WSGI application."""
        status, content_type, body = self.page(environ["PATH_INFO"])
        start_response(
            f"{status} {'OK' if status == 200 else 'Unavailable'}",
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]
