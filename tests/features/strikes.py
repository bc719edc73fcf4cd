"""Faults by the words that the features use for them."""

from __future__ import annotations

from collections.abc import Callable

from tests.features.world import World, now_ms

from testbed.engine.faults import AnswerFault, FaultKind
from testbed.engine.order_log import OrderEffect, OrderRecord
from testbed.fleet.health import ROOT_GROUP, leader_of, replica_ids, serves
from testbed.fleet.plan import ProcessKind

LATE_S = 1.0
ANSWERS_STRUCK = 2

ANSWER_FAULTS = {
    "late": AnswerFault(kind=FaultKind.LATE, delay_s=LATE_S, count=ANSWERS_STRUCK),
    "crossed": AnswerFault(kind=FaultKind.CROSSED, count=ANSWERS_STRUCK),
    "broken": AnswerFault(kind=FaultKind.BROKEN, count=ANSWERS_STRUCK),
}


def strike(world: World, fault: str) -> None:
    """Bring a fault about."""
    STRIKES[fault](world)
    world.notes["items_run"] = world.items_run()


def job_leader(world: World) -> str:
    """Return the control process that leads the group of the scenario's job."""
    group = str(world.batch["id"]).removeprefix("batch_").rpartition(".")[0]
    return leader_of(world.fleet, group)


def root_leader(world: World) -> str:
    """Return the control process that leads the root group."""
    return leader_of(world.fleet, ROOT_GROUP)


def runner_of(world: World) -> str:
    """Return a runner of the service that the scenario's online requests call."""
    return f"{world.fleet.scenario.online_service}-1"


def online_runners(world: World) -> list[str]:
    """Return all runners of the service that online requests call."""
    service = world.fleet.scenario.online_service
    names = world.fleet.names(ProcessKind.ENGINE)
    return [name for name in names if name.startswith(f"{service}-")]


def set_answer_faults(world: World, word: str, runners: list[str]) -> None:
    """Let the next answers of some runners go wrong."""
    for runner in runners:
        world.fleet.add_answer_fault(runner, ANSWER_FAULTS[word])


def lose_disk(world: World, control: str) -> None:
    """Wipe a control process, remembering which replicas are lost."""
    world.notes["wiped"] = control
    world.notes["lost_ids"] = replica_ids(world.fleet, control)
    world.fleet.wipe(control)


def _refuse_everywhere(world: World) -> None:
    refused = AnswerFault(kind=FaultKind.REFUSED, count=100)
    for runner in online_runners(world):
        world.fleet.add_answer_fault(runner, refused)


def _leave_everywhere(world: World) -> None:
    for runner in online_runners(world):
        world.fleet.leave(runner)
    model = world.fleet.scenario.online_model()
    world.wait(
        lambda: not any(serves(world.fleet, each, model) for each in world.fleet.gateway_names()),
        "every gateway knows that all are leaving",
    )


def _drain(world: World) -> None:
    _mark_nobody(world)
    path = f"services/{world.fleet.scenario.online_service}/draining_runners"
    world.notes["drained_path"] = path
    version = world.operator.set(path, [world.notes["runner"]]).version
    world.wait(
        lambda: world.operator.status()["settings_version"] >= version, "the mark is in force"
    )


def _leave(world: World) -> None:
    _mark_nobody(world)
    world.fleet.leave(world.notes["runner"])
    world.wait(lambda: world.fleet.is_listed_leaving(world.notes["runner"]), "it is listed so")


def _mark_nobody(world: World) -> None:
    world.notes["runner"] = runner_of(world)


def _freeze_controls(world: World) -> None:
    for control in world.fleet.control_names():
        world.fleet.freeze(control)


def _kill_loading(world: World) -> None:
    loading = [order for order in carried_out(world) if order.ready_ms > now_ms()]
    assert loading, "no runner is loading"
    world.notes["killed"] = loading[-1]
    world.notes["killed_ms"] = now_ms()
    world.fleet.kill(loading[-1].runner_id)


def carried_out(world: World) -> list[OrderRecord]:
    """Return the orders that engines carried out, in the order of their arrival."""
    return [one for one in world.fleet.orders() if one.effect is OrderEffect.CARRIED_OUT]


def change_version(world: World) -> None:
    """Let an operator change the version of the online model to the next number."""
    scenario = world.fleet.scenario
    path = f"services/{scenario.online_service}/models/{scenario.online_model()}/version"
    version = str(int(str(world.operator.value(path))) + 1)
    world.operator.set(path, version)
    world.notes.setdefault("rollout_began_ms", now_ms())
    world.notes["model_version"] = version


STRIKES: dict[str, Callable[[World], None]] = {
    "nothing goes wrong": lambda world: None,
    "a gateway is killed": lambda world: world.fleet.kill("gateway-1"),
    "a gateway is frozen": lambda world: world.fleet.freeze("gateway-1"),
    "a gateway is cut off": lambda world: world.fleet.cut("gateway-1"),
    "a runner is killed": lambda world: world.fleet.kill(runner_of(world)),
    "a runner is frozen": lambda world: world.fleet.freeze(runner_of(world)),
    "a zone is cut off": lambda world: world.fleet.cut(world.fleet.scenario.zones[0]),
    "a control process loses its disk": lambda world: lose_disk(world, "control-2"),
    "a control process is cut off": lambda world: world.fleet.cut("control-1"),
    "every control process is frozen": _freeze_controls,
    "the leader of the job is killed": lambda world: world.fleet.kill(job_leader(world)),
    "the leader of the job is frozen": lambda world: world.fleet.freeze(job_leader(world)),
    "the leader of the root group is killed": lambda w: w.fleet.kill(root_leader(w)),
    "the leader of the root group is frozen": lambda w: w.fleet.freeze(root_leader(w)),
    "every runner refuses": _refuse_everywhere,
    "every runner is leaving": _leave_everywhere,
    "the machine list says that a runner is leaving": _leave,
    "an operator drains a runner": _drain,
    "nobody marks a runner": _mark_nobody,
    "a runner is killed while it loads": _kill_loading,
    "an operator changes the model's version again": change_version,
}
