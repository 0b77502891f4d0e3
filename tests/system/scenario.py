"""Common steps of the system tests."""

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
    """Start a deployment and wait until all of its parts serve."""
    deployment.start_control(workload.DATA_CENTRES)
    reply = deployment.submit(workload.as_yaml(configuration), 0, "first")
    assert reply["status"] == 200, reply
    for number in range(engines):
        vm = f"vm-{number}"
        deployment.add_engine(
            vm,
            workload.DATA_CENTRES[0],
            FABRIC_DOMAIN,
            *("--log", str(journal(deployment, vm)), *engine_options),
        )
    for number in range(plain):
        vm = f"plain-{number}"
        deployment.add_plain(
            vm,
            workload.DATA_CENTRES[0],
            workload.PLAIN,
            *("--log", str(journal(deployment, vm)), *plain_options),
        )
    for number in range(entries):
        deployment.add_entry(f"entry-{number}", workload.DATA_CENTRES[number])
    replicas = sum(g.replicas for g in configuration.model_groups)
    wait_serving(deployment, replicas if engines else 0, plain)
    return workload.Caller(deployment)


def journal(deployment: local.Deployment, vm: str) -> pathlib.Path:
    """Return the path of the journal of a stand-in."""
    return deployment.folder / f"{vm}.journal"


def status(deployment: local.Deployment) -> dict[str, typing.Any]:
    """Return the leader's status page; wait for a leader."""
    return local.wait_for(deployment.status, "a control leader")


def serving(deployment: local.Deployment) -> list[dict[str, typing.Any]]:
    """Return the groups that serve."""
    page = deployment.status() or {"groups": []}
    return [g for g in page["groups"] if g["serving"]]


def wait_serving(
    deployment: local.Deployment, groups: int, plain: int = 0
) -> None:
    """Wait until so many groups and plain services serve, and entries."""

    def reached() -> bool:
        page = deployment.status()
        if page is None:
            return False
        plains = [v for v in page["vms"] if v["kind"] == "plain"]
        return (
            sum(1 for g in page["groups"] if g["serving"]) == groups
            and sum(1 for v in plains if v["serving"]) == plain
            and all(
                deployment.ready(s.listen)
                for name, s in deployment.entry_settings.items()
                if deployment.entries[name].running
            )
        )

    local.wait_for(reached, f"{groups} groups and {plain} plain services")


def leader(deployment: local.Deployment) -> local.Process:
    """Return the control process that leads."""
    return deployment.control[status(deployment)["voter"]]


def freeze(process: local.Process) -> None:
    """Stop a process without its connections being closed."""
    process.signal(signal.SIGSTOP)


def thaw(process: local.Process) -> None:
    """Let a frozen process go on."""
    process.signal(signal.SIGCONT)
