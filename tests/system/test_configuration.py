"""Configuration stays linearizable and never goes back under failures."""

import random
import shutil
import threading
import time

import msgspec
import urllib3

from examples import local
from flamingocleat import ids
from tests.system import history
from tests.system import scenario
from tests.system import workload

SEED = 7


class _Operator:
    """Submits changes on the version that it last saw, and resends."""

    def __init__(self, deployment, recorded, seed):
        self.deployment = deployment
        self.recorded = recorded
        self.rng = random.Random(seed)
        self.seed = seed
        self.text = workload.as_yaml(workload.configuration())

    def run(self, changes):
        base = 1
        for number in range(changes):
            change_id = f"operator-{self.seed}-{number}"
            operation = self.recorded.begin("submit", base)
            reply = self.submit(base, change_id)
            if reply is None:
                continue
            self.recorded.end(operation, reply["status"] == 200)
            again = self.submit(base, change_id)
            if again is not None:
                assert again["status"] == reply["status"]
            base = reply.get("version") or reply["present_version"]

    def submit(self, base, change_id):
        for _ in range(40):
            address = self.rng.choice(self.deployment.operators_addresses)
            reply = self.deployment.try_submit(
                address, self.text, base, change_id
            )
            if reply is not None and reply.status < 500:
                return {
                    "status": reply.status,
                    **msgspec.json.decode(reply.data),
                }
            time.sleep(0.1)
        return None


def _read(deployment, recorded, stop):
    while not stop.is_set():
        operation = recorded.begin("read", None)
        page = deployment.status()
        if page is not None:
            recorded.end(operation, page["version"])
        time.sleep(0.05)


def test_history_is_linearizable_under_leader_loss(deployment):
    """Two winners, a lost change or a stale read breaks promise 8."""
    scenario.start(deployment, workload.configuration(), engines=0)
    recorded = history.History()
    operators = [_Operator(deployment, recorded, SEED + n) for n in range(3)]
    threads = [threading.Thread(target=o.run, args=(12,)) for o in operators]
    stop = threading.Event()
    reader = threading.Thread(target=_read, args=(deployment, recorded, stop))
    for thread in [*threads, reader]:
        thread.start()
    seen = _Versions(deployment)
    for number in range(3):
        process = scenario.leader(deployment)
        if number % 2:
            scenario.freeze(process)
            time.sleep(2.0)
            scenario.thaw(process)
        else:
            process.kill()
            process.start()
        seen.observe()
    for thread in threads:
        thread.join()
    stop.set()
    reader.join()
    operations = recorded.operations
    accepted = sum(1 for o in operations if o.output is True)
    assert accepted >= 12
    assert history.linearizable(operations, 1, history.step_configuration)
    final = scenario.status(deployment)["version"]
    local.wait_for(lambda: seen.observe() == {final}, "entries to confirm")


class _Versions:
    """Versions that entries confirm; checks that none goes back."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.last = {}

    def observe(self):
        page = scenario.status(self.deployment)
        for line in page["entries"]:
            version = line["confirmed_version"]
            assert version >= self.last.get(line["entry"], 0)
            self.last[line["entry"]] = version
        return {line["confirmed_version"] for line in page["entries"]}


def test_lost_disk_is_replaced_only_by_a_new_voter(deployment):
    """An empty disk under the old voter id could forget a vote."""
    scenario.start(deployment, workload.configuration(), engines=0)
    old = deployment.control["control-2"]
    old.kill()
    shutil.rmtree(deployment.control_settings["control-2"].data_folder)
    old.start()
    assert old.wait() != 0
    first = deployment.control_settings["control-0"]
    address = local.free_address()
    kept = {v: a for v, a in first.voters.items() if v != "control-2"}
    settings = msgspec.structs.replace(
        first,
        voter=ids.VoterId("control-2b"),
        listen=address,
        voters={**kept, ids.VoterId("control-2b"): address},
        operators_listen=local.free_address(),
        data_folder=str(deployment.folder / "control-2b"),
    )
    new = deployment.add_control(settings)
    new.start()
    reply = _replace(deployment, "control-2", settings)
    assert reply.status == 200, reply.data
    # With the new voter and one old one, there is still a quorum.
    deployment.control["control-0"].kill()
    text = workload.as_yaml(workload.configuration(replicas=1))
    outcome = deployment.submit(text, 1, "after-replacement")
    assert (outcome["status"], outcome["version"]) == (200, 2)


def _replace(deployment, old, settings):
    body = msgspec.json.encode(
        {"voter": settings.voter, "address": settings.listen}
    )

    def attempt():
        for address in deployment.operators_addresses:
            try:
                reply = deployment.http.request(
                    "POST",
                    f"http://{address}/v1/voters/{old}/replacement",
                    body=body,
                    headers={
                        "Authorization": f"Bearer {local.OPERATOR_KEY}",
                        "Content-Type": "application/json",
                        "Change-Id": "replace-control-2",
                    },
                )
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status < 500:
                return reply
        return None

    return local.wait_for(attempt, "the replacement")
