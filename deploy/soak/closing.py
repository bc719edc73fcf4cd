"""The last blow of a soak: right after a batch job was accepted, much is lost at once."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from faults import LATE_S, THROUGH_A_COMMIT_S, Scene
from machines import Machine

ACCEPTED_TIMEOUT_S = 12.0
SOON_S = 0.4
"""Longest time between the 202 and the blow."""

AT_THE_END = frozenset({"all links to runners silent"})
"""Blows with which traffic ends: what is lost then isn't found out by later requests."""

RETURN_S = 1.0
"""Latest return of stores and gateways."""

Closing = Callable[[Scene], list[Machine]]
CLOSINGS: dict[str, Closing] = {}


def _closing(close: Closing) -> Closing:
    CLOSINGS[close.__name__.strip("_").replace("_", " ")] = close
    return close


def close(scene: Scene, kind: str) -> None:
    """Wait for the next 202, strike, and start all again, control processes late."""
    accepted = scene.traffic.lots.accepted
    accepted.clear()
    accepted.wait(ACCEPTED_TIMEOUT_S)
    time.sleep(scene.random.uniform(0.0, SOON_S))
    CLOSINGS[kind](scene)
    if kind in AT_THE_END:
        return
    controls = scene.machines.of("control")
    others = [machine for machine in scene.machines.all if machine.role != "control"]
    late = threading.Thread(target=scene.start_late, args=(controls, LATE_S))
    late.start()
    scene.start_late(others, RETURN_S)
    late.join()


def _kill(machines: list[Machine]) -> list[Machine]:
    for machine in machines:
        machine.kill()
    return machines


def _leader_or_any(scene: Scene) -> Machine:
    return scene.leading_store() or scene.random.choice(scene.machines.of("store"))


@_closing
def _all_killed(scene: Scene) -> list[Machine]:
    return _kill(scene.machines.all)


@_closing
def _all_stores_killed(scene: Scene) -> list[Machine]:
    return _kill(scene.machines.of("store"))


@_closing
def _stores_and_control_killed(scene: Scene) -> list[Machine]:
    return _kill(scene.machines.with_disks())


@_closing
def _stores_killed_and_a_disk_lost(scene: Scene) -> list[Machine]:
    scene.disks.lose(scene.random.choice(scene.machines.of("store")))
    return _kill(scene.machines.of("store"))


@_closing
def _all_killed_and_a_disk_lost(scene: Scene) -> list[Machine]:
    scene.disks.lose(scene.random.choice(scene.machines.with_disks()))
    return _kill(scene.machines.all)


@_closing
def _leader_wiped(scene: Scene) -> list[Machine]:
    leader = _leader_or_any(scene)
    scene.disks.lose(leader)
    return [leader]


@_closing
def _answers_lost_at_all_runners(scene: Scene) -> list[Machine]:
    for runner in scene.traffic.backends.now:
        runner.relay.lose_answers()
    return []


@_closing
def _all_links_to_runners_silent(scene: Scene) -> list[Machine]:
    for runner in scene.traffic.backends.now:
        runner.relay.fall_silent()
    return []


@_closing
def _answers_lost_and_leader_killed(scene: Scene) -> list[Machine]:
    leader = _leader_or_any(scene)
    _answers_lost_at_all_runners(scene)
    return _kill([leader])


@_closing
def _leader_paused_through_a_commit(scene: Scene) -> list[Machine]:
    leader = _leader_or_any(scene)
    leader.pause()
    scene.last(*THROUGH_A_COMMIT_S)
    leader.go_on()
    return [leader]


@_closing
def _followers_paused_through_a_commit(scene: Scene) -> list[Machine]:
    leader = _leader_or_any(scene)
    followers = [machine for machine in scene.machines.of("store") if machine is not leader]
    for machine in followers:
        machine.pause()
    scene.last(*THROUGH_A_COMMIT_S)
    for machine in followers:
        machine.go_on()
    return followers
