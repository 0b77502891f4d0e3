"""Control processes' parts on the test's own event loop."""

import asyncio
import collections.abc
import hashlib
import pathlib
import tempfile
import typing

import urllib3

from examples import local
from flamingocleat.process import control
from flamingocleat.process import settings
from flamingocleat.process import storage
from tests import test_validation

KEY = "example-key-jana"
BOOTSTRAP_KEY = "example-key-bootstrap"


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


TEXT = test_validation.VALID.replace("0" * 63 + "b", key_hash(KEY))


class Voters:
    """Some voters, the leader among them, and an HTTP client."""

    def __init__(self, folder: str, count: int) -> None:
        names = [f"control-{n}" for n in range(count)]
        voters = {name: local.free_address() for name in names}
        pages = {name: local.free_address() for name in names}
        self.controls = []
        for name in names:
            path = str(pathlib.Path(folder) / name)
            self.controls.append(
                control.Control(
                    settings.ControlSettings(
                        voter=name,
                        data_centre="praha-a",
                        listen=voters[name],
                        operators_listen=pages[name],
                        data_folder=path,
                        voters=voters,
                        operators_addresses=pages,
                        bootstrap_key_sha256=key_hash(BOOTSTRAP_KEY),
                    ),
                    storage.Storage.create(path, name),
                )
            )
        self.http = urllib3.PoolManager(retries=False, timeout=20, maxsize=8)

    async def start(self) -> None:
        for voter in self.controls:
            await voter.start()
        while self.leader is None:
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        for voter in self.controls:
            await voter.stop()

    @property
    def leader(self) -> control.Control | None:
        for voter in self.controls:
            if voter.leadership.ready.is_set():
                return voter
        return None

    @property
    def follower(self) -> control.Control:
        return next(v for v in self.controls if v is not self.leader)

    async def ask(
        self,
        method: str,
        path: str,
        voter: control.Control | None = None,
        key: str = KEY,
        body: bytes | None = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the leader or to another voter."""
        target = voter or self.leader
        sent = {"Authorization": f"Bearer {key}"}
        sent |= {k.replace("_", "-"): v for k, v in headers.items()}
        return await asyncio.to_thread(
            self.http.request,
            method,
            f"http://{target.settings.operators_listen}{path}",
            body=body,
            headers=sent,
        )

    async def submit(
        self,
        base_version: int,
        change_id: str,
        text: str = TEXT,
        key: str = KEY,
    ) -> urllib3.BaseHTTPResponse:
        return await self.ask(
            "POST",
            "/v1/configuration",
            key=key,
            body=text.encode(),
            Base_Version=str(base_version),
            Change_Id=change_id,
        )

    async def submit_first(self) -> None:
        reply = await self.submit(0, "first", key=BOOTSTRAP_KEY)
        assert reply.status == 200, reply.data


def run(
    scenario: collections.abc.Callable[
        [Voters], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    count: int = 1,
) -> None:
    """Run a scenario against started voters."""

    async def runner() -> None:
        with tempfile.TemporaryDirectory() as folder:
            voters = Voters(folder, count)
            await voters.start()
            try:
                async with asyncio.timeout(20):
                    await scenario(voters)
            finally:
                await voters.stop()

    asyncio.run(runner())
