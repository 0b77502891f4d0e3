"""Voters of the control program on the test's own event loop."""

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

OPERATOR_KEY = "example-key-jana"
BOOTSTRAP_KEY = "example-key-bootstrap"


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


CONFIGURATION_TEXT = test_validation.VALID.replace(
    "0" * 63 + "b", key_hash(OPERATOR_KEY)
)


class ControlCluster:
    """All voters of a cluster, and an HTTP client for their pages."""

    def __init__(self, folder: str, count: int) -> None:
        names = [f"control-{n}" for n in range(count)]
        consensus_addresses = {name: local.free_address() for name in names}
        operators_addresses = {name: local.free_address() for name in names}
        self.controls = []
        for name in names:
            path = str(pathlib.Path(folder) / name)
            self.controls.append(
                control.Control(
                    settings.ControlSettings(
                        voter=name,
                        data_centre="praha-a",
                        listen=consensus_addresses[name],
                        operators_listen=operators_addresses[name],
                        data_folder=path,
                        voters=consensus_addresses,
                        operators_addresses=operators_addresses,
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

    async def request(
        self,
        method: str,
        path: str,
        voter: control.Control | None = None,
        key: str = OPERATOR_KEY,
        body: bytes | None = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the leader or to another voter."""
        target = voter or self.leader
        all_headers = {"Authorization": f"Bearer {key}"}
        all_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
        return await asyncio.to_thread(
            self.http.request,
            method,
            f"http://{target.settings.operators_listen}{path}",
            body=body,
            headers=all_headers,
        )

    async def submit(
        self,
        base_version: int,
        change_id: str,
        text: str = CONFIGURATION_TEXT,
        key: str = OPERATOR_KEY,
    ) -> urllib3.BaseHTTPResponse:
        return await self.request(
            "POST",
            "/v1/configuration",
            key=key,
            body=text.encode(),
            Base_Version=str(base_version),
            Change_Id=change_id,
        )

    async def submit_initial(self) -> None:
        reply = await self.submit(0, "first", key=BOOTSTRAP_KEY)
        assert reply.status == 200, reply.data


def run(
    scenario: collections.abc.Callable[
        [ControlCluster],
        collections.abc.Coroutine[typing.Any, typing.Any, None],
    ],
    count: int = 1,
) -> None:
    """Run a scenario on a started cluster."""

    async def runner() -> None:
        with tempfile.TemporaryDirectory() as folder:
            cluster = ControlCluster(folder, count)
            await cluster.start()
            try:
                async with asyncio.timeout(20):
                    await scenario(cluster)
            finally:
                await cluster.stop()

    asyncio.run(runner())
