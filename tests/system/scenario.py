"""Steps that the system tests share."""

import pathlib
import signal
import typing

from examples import local
from flamingocleat.version import schema
from tests.system import workload

FABRIC_DOMAIN = "praha-a-fabric-1"


def start(
    deployment: local.Deployment,
    configuration: schema.Configuration,
    engines: int = 7,
    plain: int = 0,
    entries: int = 2,
    engine_options: tuple[str, ...] = (),
    plain_options: tuple[str, ...] = (),
) -> workload.Caller:
    """Start a deployment and wait until it serves completely."""
    deployment.start_control(workload.DATA_CENTRES)
    reply = deployment.submit(workload.as_yaml(configuration), 0, "first")
    assert reply["status"] == 200, reply
    for number in range(engines):
        vm = f"vm-{number}"
        deployment.add_engine(
            vm,
            workload.DATA_CENTRES[0],
            FABRIC_DOMAIN,
            *("--log", str(journal_path(deployment, vm)), *engine_options),
        )
    for number in range(plain):
        vm = f"plain-{number}"
        deployment.add_plain_service(
            vm,
            workload.DATA_CENTRES[0],
            workload.PLAIN,
            *("--log", str(journal_path(deployment, vm)), *plain_options),
        )
    for number in range(entries):
        deployment.add_entry(f"entry-{number}", workload.DATA_CENTRES[number])
    replicas = sum(g.replicas for g in configuration.model_groups)
    wait_until_serving(deployment, replicas if engines else 0, plain)
    return workload.Caller(deployment)


def journal_path(deployment: local.Deployment, vm: str) -> pathlib.Path:
    """Return the path of a stand-in's journal."""
    return deployment.folder / f"{vm}.journal"


def wait_for_status(deployment: local.Deployment) -> dict[str, typing.Any]:
    """Wait for a control leader and return its status page."""
    return local.wait_for(deployment.status, "a control leader")


def serving_groups(deployment: local.Deployment) -> list[dict[str, typing.Any]]:
    """Return the groups that serve."""
    page = deployment.status() or {"groups": []}
    return [g for g in page["groups"] if g["serving"]]


def wait_until_serving(
    deployment: local.Deployment, groups: int, plain: int = 0
) -> None:
    """Wait until this many groups and plain VMs serve and entries are ready."""

    def all_serving() -> bool:
        page = deployment.status()
        if page is None:
            return False
        plain_vms = [v for v in page["vms"] if v["kind"] == "plain"]
        return (
            sum(1 for g in page["groups"] if g["serving"]) == groups
            and sum(1 for v in plain_vms if v["serving"]) == plain
            and all(
                deployment.ready(s.listen)
                for name, s in deployment.entry_settings.items()
                if deployment.entries[name].running
            )
        )

    local.wait_for(all_serving, f"{groups} groups and {plain} plain services")


def leader_process(deployment: local.Deployment) -> local.Process:
    """Return the process of the control leader."""
    return deployment.control[wait_for_status(deployment)["voter"]]


def pause(process: local.Process) -> None:
    """Pause a process with SIGSTOP; its connections stay open."""
    process.signal(signal.SIGSTOP)


def resume(process: local.Process) -> None:
    """Resume a paused process."""
    process.signal(signal.SIGCONT)
