"""Silent links are dialled anew; garbled messages end only their link."""

import asyncio
import random
import socket

import grpclib
import pytest

from examples import local
from flamingocleat import messages
from flamingocleat.connection import channel
from flamingocleat.connection import codec
from tests.system import forwarder
from tests.system import scenario
from tests.system import workload

SEED = 11


def test_silent_link_to_control_is_dialled_anew(deployment):
    """A link that something between has forgotten stays open for good."""
    scenario.start(deployment, workload.configuration(), engines=0, entries=0)
    leader = scenario.status(deployment)["voter"]
    link = forwarder.Forwarder(deployment.control_settings[leader].listen)
    try:
        made = deployment.add_entry(
            "entry-0", workload.DATA_CENTRES[0], control=(link.address,)
        )
        deployment.add_plain(
            "plain-0",
            workload.DATA_CENTRES[0],
            workload.PLAIN,
            control=(link.address,),
        )
        scenario.wait_serving(deployment, 0, plain=1)
        link.silence_open()
        text = workload.as_yaml(workload.configuration(replicas=1))
        assert deployment.submit(text, 1, "second")["status"] == 200
        local.wait_for(
            lambda: _confirmed(deployment) == [2], "the entry to confirm"
        )
        local.wait_for(lambda: deployment.ready(made.listen), "the entry")
        scenario.wait_serving(deployment, 0, plain=1)
    finally:
        link.close()


def _confirmed(deployment):
    entries = scenario.status(deployment)["entries"]
    return [line["confirmed_version"] for line in entries]


def test_garbled_bytes_end_only_their_connection(deployment):
    """A peer that sends garbage must not end or confuse a program."""
    caller = scenario.start(deployment, workload.configuration(), engines=6)
    rng = random.Random(SEED)
    server = deployment.backend_servers["vm-0"]
    addresses = [
        *deployment.control_addresses,
        *deployment.operators_addresses,
        server.settings.listen,
        server.settings.data_listen,
        caller.address("entry-0"),
    ]
    preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    for address in addresses:
        for head in (b"", preface):
            _send(address, head + rng.randbytes(4096))
    for address in deployment.control_addresses:
        with pytest.raises(grpclib.GRPCError):
            asyncio.run(_garbled_append(address))
    assert caller.complete("site 17").data.endswith(b"data: [DONE]\n\n")
    assert all(process.running for process in deployment.processes)
    text = workload.as_yaml(workload.configuration())
    assert deployment.submit(text, 1, "second")["status"] == 200


def _send(address, data):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 10.0) as link:
        link.sendall(data)


async def _garbled_append(address):
    """Send a message of another type than the call expects."""
    dialled = channel.dial(address)
    try:
        wrong = messages.VoidRequest(permit="p", incarnation="i")
        await codec.APPEND.ask(dialled, wrong, 10.0)
    finally:
        dialled.close()
