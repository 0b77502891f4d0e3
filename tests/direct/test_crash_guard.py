"""Requests with a part in their prompts that ends each server it reaches."""

import asyncio
import random

import pytest

from flamingocleat.request import crash_guard
from flamingocleat.version import crashes
from tests.direct import ending_servers
from tests.direct import support
from tests.direct.ending_servers import EndingServers

LETHAL = "dd01"
CALLER = "aa01"
"""A part that sound requests and lethal ones share."""


def is_lethal(received: support.ReceivedRequest) -> bool:
    return LETHAL in received.headers.get("flamingocleat-prompt-parts", "")


async def play(
    engines: EndingServers, duration_s: float, seed: int, lethal_every: int = 12
) -> tuple[list[support.Reply], list[support.Reply]]:
    """Send sound and lethal requests; return the replies to each."""
    generator = random.Random(seed)
    sound, lethal = [], []

    async def send(replies: list, parts: str) -> None:
        harness = generator.choice(engines.harnesses)
        replies.append(
            await harness.request("/stream/x", flamingocleat_prompt_parts=parts)
        )

    tasks = []
    for number in range(round(duration_s / 0.02)):
        own = f"{number:08x}:100"
        if lethal_every and number % lethal_every == 5:
            parts = f"{CALLER}:20,{LETHAL}:30,{own}"
            tasks.append(asyncio.create_task(send(lethal, parts)))
        else:
            caller = generator.choice((CALLER, "aa02", "aa03"))
            tasks.append(asyncio.create_task(send(sound, f"{caller}:20,{own}")))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return sound, lethal


def check_callers_and_servers(
    engines: EndingServers,
    sound: list[support.Reply],
    lethal: list[support.Reply],
) -> None:
    assert engines.ended <= 5
    assert engines.lethal_arrivals <= 8
    assert all(reply.status in (502, 503) for reply in lethal)
    served = [reply for reply in sound if reply.is_complete]
    assert len(served) >= 0.95 * len(sound)


def test_prompt_part_that_ends_servers_is_kept_from_them():
    """Servers must not end one after the other, nor its callers be shut out."""

    async def scenario(harness):
        engines = EndingServers((harness,), is_lethal)
        for _ in range(5):
            await engines.add()
        sound, lethal = await play(engines, 3.0, seed=1)
        check_callers_and_servers(engines, sound, lethal)

    support.run_scenario(scenario)


def test_gateways_learn_of_the_part_from_each_other():
    """A caller that is refused comes back through other gateways."""

    async def scenario(first):
        second = support.Harness()
        await second.start()
        ending_servers.share_evidence(first, second)
        engines = EndingServers((first, second), is_lethal)
        for _ in range(5):
            await engines.add()
        sound, lethal = await play(engines, 3.0, seed=2)
        check_callers_and_servers(engines, sound, lethal)
        await second.close()

    support.run_scenario(scenario)


def test_heads_that_end_by_themselves_keep_no_caller_out():
    """Sound requests must be served although heads end while they wait."""

    async def scenario(harness):
        engines = EndingServers((harness,), is_lethal)
        for _ in range(5):
            await engines.add()

        async def end_heads() -> None:
            for _ in range(4):
                await asyncio.sleep(0.5)
                await engines.end(next(iter(engines.alive)))

        ends = asyncio.create_task(end_heads())
        sound, _ = await play(engines, 2.5, seed=3, lethal_every=0)
        await ends
        assert engines.ended == 4
        served = [reply for reply in sound if reply.is_complete]
        assert len(served) >= 0.95 * len(sound)
        verdicts = map(
            harness.forwarder.guard.crashes.verdict, ("aa01", "aa02", "aa03")
        )
        assert set(verdicts) == {crashes.Verdict.CLEAR}

    support.run_scenario(scenario)


def test_heads_that_break_answers_off_keep_no_caller_out():
    """A fault of the heads or links must not be blamed on prompts."""

    async def scenario(harness):
        async def break_off(received):
            await received.send(received.response_head(200, "X-Odd: 1")[:20])

        for _ in range(3):
            await harness.add(break_off, "llm")
        for number in range(6):
            await harness.request(
                "/stream/x", flamingocleat_prompt_parts=f"aa08:1,{number}:1"
            )
        assert sum(len(each.received) for each in harness.backends) >= 6
        record = harness.forwarder.guard.crashes
        assert record.verdict("aa08") is crashes.Verdict.CLEAR
        assert record.crashes == {}

    support.run_scenario(scenario)


def test_one_request_at_a_time_tries_a_suspect_part():
    """Others must wait for its outcome, and are served if it is sound."""

    async def scenario(harness):
        at_once = most_at_once = 0

        async def serve(received):
            nonlocal at_once, most_at_once
            at_once += 1
            most_at_once = max(most_at_once, at_once)
            await asyncio.sleep(ending_servers.READ_S)
            at_once -= 1
            await received.send_events(1, 3)

        await harness.add(serve, "llm", slots=24)
        guard = harness.forwarder.guard
        guard.record_crash("g-lost", ("aa09",))
        replies = await asyncio.gather(
            *(
                harness.request(
                    "/stream/x", flamingocleat_prompt_parts=f"aa09:1,{n}:1"
                )
                for n in range(5)
            )
        )
        assert [reply.is_complete for reply in replies] == [True] * 5
        assert len(harness.backends[0].received) == 5
        assert most_at_once < 5
        assert guard.crashes.verdict("aa09") is crashes.Verdict.CLEAR

    support.run_scenario(scenario)


def test_withheld_request_is_refused_at_once():
    """What ends servers must reach none, and its caller must not wait."""

    async def scenario(harness):
        backend = await harness.add(answer_never, "llm")
        guard = harness.forwarder.guard
        guard.record_crash("g-lost-1", (LETHAL,))
        guard.record_crash("g-lost-2", (LETHAL,))
        reply = await harness.request(
            "/stream/x", flamingocleat_prompt_parts=f"{LETHAL.upper()}:1,x:1"
        )
        assert (reply.status, reply.is_complete) == (503, True)
        assert float(reply.headers["retry-after"]) == 1.0
        assert backend.received == []

    support.run_scenario(scenario)


async def answer_never(received: support.ReceivedRequest) -> None:
    await received.wait_until_closed()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", ()),
        ("a:1", ()),
        ("A:1,b:2", ("a",)),
        (" a:1 , b:2,c:3", ("a", "b")),
        (",,:5,a,b:x", ("a",)),
        ("a" * 500 + ":1,b:1", ("a" * crash_guard.MAX_PART_LENGTH,)),
    ],
)
def test_malformed_parts_are_read_as_far_as_possible(text, expected):
    """A caller's header must not make a request fail."""
    assert crash_guard.shared_parts(text) == expected
    many = crash_guard.shared_parts(",".join(f"{n}:1" for n in range(500)))
    assert len(many) == crash_guard.MAX_PARTS
