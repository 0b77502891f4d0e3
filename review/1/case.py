"""A member of a group ends while its head writes answers without a length."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import standin  # noqa: E402

MODELS = [
    {"name": "m0", "size": 4, "share": 1.0, "pace": 1.0, "loadS": 16.0,
     "warmS": 1.6},
]
CALLERS = 6


async def case(place: standin.Place, trouble: bool) -> None:
    await place.put(standin.config(1, MODELS))
    for number in range(8):
        server = standin.Server(
            place, "llm", f"i-{number + 1:04x}", place.address(number + 1),
            domain="d0", models={"m0": (16.0, 1.6)}, unframed=True,
        )
        await server.start()
    await place.wait(lambda: place.open_heads(), "a group is open", 40)
    await place.wait_ready()
    await asyncio.sleep(1.0)

    async def ask(number: int) -> None:
        caller = standin.Caller(place, place.gateways[number % 2])
        request_id = f"c{number}0001"
        answer = await caller.request(
            "/s/x", request_id,
            headers=standin.stream_headers(request_id, "m0"),
        )
        caller.close()
        whole = standin.whole_stream(request_id)
        if answer.status == 200 and answer.complete and answer.body != whole:
            got = answer.body.count(b"id: ")
            place.record.broke(
                "ORDER",
                f"the stream of {request_id} ends as complete after {got} of "
                f"{standin.EVENTS} pieces",
            )

    asking = [asyncio.create_task(ask(n)) for n in range(CALLERS)]
    await asyncio.sleep(0.6)
    if trouble:
        head = max(place.open_heads(), key=lambda each: len(each.running))
        place.servers[head.members[-1]].crash()
    await asyncio.gather(*asking)


sys.exit(standin.main(FOLDER, case))
