"""The configuration stays linearizable and never regresses under failures."""

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
    """Submits each change on the last version it saw, and sends it twice."""

    def __init__(self, deployment, recorded_history, seed):
        self.deployment = deployment
        self.recorded_history = recorded_history
        self.rng = random.Random(seed)
        self.seed = seed
        self.text = workload.as_yaml(workload.configuration())

    def run(self, changes):
        base = 1
        for number in range(changes):
            change_id = f"operator-{self.seed}-{number}"
            operation = self.recorded_history.begin("submit", base)
            reply = self.submit(base, change_id)
            if reply is None:
                continue
            self.recorded_history.end(operation, reply["status"] == 200)
            repeated_reply = self.submit(base, change_id)
            if repeated_reply is not None:
                assert repeated_reply["status"] == reply["status"]
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


def _read_versions(deployment, recorded_history, stop):
    while not stop.is_set():
        operation = recorded_history.begin("read", None)
        page = deployment.status()
        if page is not None:
            recorded_history.end(operation, page["version"])
        time.sleep(0.05)


def test_history_is_linearizable_under_leader_loss(deployment):
    """Leaders are killed and paused while operators submit and read.

    Guards promise 8: no two changes of one base are accepted, no accepted
    change is lost and no read is stale.
    """
    scenario.start(deployment, workload.configuration(), engines=0)
    recorded_history = history.History()
    operators = [
        _Operator(deployment, recorded_history, SEED + n) for n in range(3)
    ]
    threads = [threading.Thread(target=o.run, args=(12,)) for o in operators]
    stop = threading.Event()
    reader = threading.Thread(
        target=_read_versions, args=(deployment, recorded_history, stop)
    )
    for thread in [*threads, reader]:
        thread.start()
    versions = _ConfirmedVersions(deployment)
    for number in range(3):
        process = scenario.leader_process(deployment)
        if number % 2:
            scenario.pause(process)
            time.sleep(2.0)
            scenario.resume(process)
        else:
            process.kill()
            process.start()
        versions.observe()
    for thread in threads:
        thread.join()
    stop.set()
    reader.join()
    operations = recorded_history.operations
    accepted = sum(1 for o in operations if o.output is True)
    assert accepted >= 12
    assert history.linearizable(operations, 1, history.step_configuration)
    final_version = scenario.wait_for_status(deployment)["version"]
    local.wait_for(
        lambda: versions.observe() == {final_version}, "entries to confirm"
    )


class _ConfirmedVersions:
    """Versions that entries confirm; checks that none decreases."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.last_versions = {}

    def observe(self):
        page = scenario.wait_for_status(self.deployment)
        for line in page["entries"]:
            version = line["confirmed_version"]
            assert version >= self.last_versions.get(line["entry"], 0)
            self.last_versions[line["entry"]] = version
        return {line["confirmed_version"] for line in page["entries"]}


def test_lost_disk_is_replaced_only_by_a_new_voter(deployment):
    """Guards against a voter that restarts with an empty disk.

    Under its old id it would have forgotten its votes, so that it could vote
    twice in one term. It must not start; a voter with a new id takes its
    place.
    """
    scenario.start(deployment, workload.configuration(), engines=0)
    lost_voter = deployment.control["control-2"]
    lost_voter.kill()
    shutil.rmtree(deployment.control_settings["control-2"].data_folder)
    lost_voter.start()
    assert lost_voter.wait() != 0
    first = deployment.control_settings["control-0"]
    address = local.free_address()
    remaining_voters = {
        v: a for v, a in first.voters.items() if v != "control-2"
    }
    settings = msgspec.structs.replace(
        first,
        voter=ids.VoterId("control-2b"),
        listen=address,
        voters={**remaining_voters, ids.VoterId("control-2b"): address},
        operators_listen=local.free_address(),
        data_folder=str(deployment.folder / "control-2b"),
    )
    new_voter = deployment.add_control(settings)
    new_voter.start()
    reply = _replace_voter(deployment, "control-2", settings)
    assert reply.status == 200, reply.data
    # The new voter and one of the old ones still form a quorum.
    deployment.control["control-0"].kill()
    text = workload.as_yaml(workload.configuration(replicas=1))
    outcome = deployment.submit(text, 1, "after-replacement")
    assert (outcome["status"], outcome["version"]) == (200, 2)


def _replace_voter(deployment, old_voter, settings):
    body = msgspec.json.encode(
        {"voter": settings.voter, "address": settings.listen}
    )

    def attempt():
        for address in deployment.operators_addresses:
            try:
                reply = deployment.http.request(
                    "POST",
                    f"http://{address}/v1/voters/{old_voter}/replacement",
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
