"""Stalled connections are replaced; malformed input ends one connection."""

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


def test_stalled_connection_to_control_is_replaced(deployment):
    """Guards against an entry or agent that waits forever on a dead connection.

    A device on the path that drops its state for a connection discards all
    further data, while the connection stays open at both ends.
    """
    scenario.start(deployment, workload.configuration(), engines=0, entries=0)
    leader_voter = scenario.wait_for_status(deployment)["voter"]
    tcp_forwarder = forwarder.Forwarder(
        deployment.control_settings[leader_voter].listen
    )
    try:
        entry_settings = deployment.add_entry(
            "entry-0",
            workload.DATA_CENTRES[0],
            control=(tcp_forwarder.address,),
        )
        deployment.add_plain_service(
            "plain-0",
            workload.DATA_CENTRES[0],
            workload.PLAIN,
            control=(tcp_forwarder.address,),
        )
        scenario.wait_until_serving(deployment, 0, plain=1)
        tcp_forwarder.drop_open_traffic()
        text = workload.as_yaml(workload.configuration(replicas=1))
        assert deployment.submit(text, 1, "second")["status"] == 200
        local.wait_for(
            lambda: _confirmed_versions(deployment) == [2],
            "the entry to confirm",
        )
        local.wait_for(
            lambda: deployment.ready(entry_settings.listen), "the entry"
        )
        scenario.wait_until_serving(deployment, 0, plain=1)
    finally:
        tcp_forwarder.close()


def _confirmed_versions(deployment):
    entries = scenario.wait_for_status(deployment)["entries"]
    return [line["confirmed_version"] for line in entries]


def test_malformed_input_ends_only_its_connection(deployment):
    """Guards against a process that malformed input crashes or corrupts.

    Sends random bytes to every port, with and without an HTTP/2 preface, and
    messages of the wrong type to control.
    """
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
        for prefix in (b"", preface):
            _send_raw(address, prefix + rng.randbytes(4096))
    for address in deployment.control_addresses:
        with pytest.raises(grpclib.GRPCError):
            asyncio.run(_append_with_wrong_type(address))
    assert caller.complete("site 17").data.endswith(b"data: [DONE]\n\n")
    assert all(process.running for process in deployment.processes)
    text = workload.as_yaml(workload.configuration())
    assert deployment.submit(text, 1, "second")["status"] == 200


def _send_raw(address, data):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 10.0) as connection:
        connection.sendall(data)


async def _append_with_wrong_type(address):
    """Send a message of a type that the call does not expect."""
    control_channel = channel.dial(address)
    try:
        wrong_message = messages.VoidRequest(permit="p", incarnation="i")
        await codec.APPEND.ask(control_channel, wrong_message, 10.0)
    finally:
        control_channel.close()
