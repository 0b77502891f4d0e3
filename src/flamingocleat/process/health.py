"""Health and metrics pages: /livez, /readyz and /metrics."""

import collections.abc
import typing

import prometheus_client

Check = collections.abc.Callable[[], str]
"""Returns an empty string when all is well, else the reason."""


class Health:
    """Answers health checks from the checks that parts register."""

    def __init__(self) -> None:
        self.ready_checks: dict[str, Check] = {}
        self.live_checks: dict[str, Check] = {}

    def failures(self, checks: dict[str, Check]) -> list[str]:
        """Return "name: reason" for each check that fails."""
        reasons = ((name, check()) for name, check in checks.items())
        return [f"{name}: {reason}" for name, reason in reasons if reason]

    def page(self, path: str) -> tuple[int, str, bytes]:
        """Return status, content type and body of one of the pages."""
        if path == "/metrics":
            body = prometheus_client.generate_latest()
            return 200, prometheus_client.CONTENT_TYPE_LATEST, body
        pages = {"/livez": self.live_checks, "/readyz": self.ready_checks}
        if path not in pages:
            return 404, "text/plain", b"no such page\n"
        failed = self.failures(pages[path])
        text = "".join(line + "\n" for line in failed) or "ok\n"
        return (503 if failed else 200), "text/plain", text.encode()

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
