"""Requests and answers in progress as a rule ends their connections."""

import asyncio


from tests.direct import test_cut_answers as cut_answers
from tests.direct import test_gateway_stop as stops
from tests.direct import test_waiting_requests as waiting

REQUEST = waiting.REQUEST
STATUS_LINE = waiting.STATUS_LINE


def test_stream_of_a_group_that_finishes_its_work_survives_a_pause(monkeypatch):
    """Guards against a planned close of a group that cuts a paused stream.

    The leader closes a group with its work to be finished if a member drains
    or another model needs its VMs.
    """

    async def scenario(program):
        paused = await program.add(cut_answers.pause_after_an_event, "llm")
        request = asyncio.create_task(
            program.request("/stream/x", "POST", X_Request_Timeout_Ms="9000")
        )
        while not paused.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await program.add(cut_answers.refuse, "llm")
        program.candidates.discard([program.candidate(0).view.backend])
        reply = await request
        assert (reply.status, reply.is_complete) == (200, True)
        await program.stop()

    stops.run_scenario(monkeypatch, scenario)
