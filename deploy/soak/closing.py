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

ALL_RETURN_S = (1.0, LATE_S)
"""Latest return of control processes where all lose power."""

CRASH_EACH_S = 1.5
CRASH_DOWN_S = 0.8
CRASHES_LAST_S = (15.0, 20.0)
"""Shortest and longest time for which half of the runners end again and again."""

CRASHES_UNTIL_S = 1.5
"""Longest time from the last of them to the wait for what is acknowledged next."""

Closing = Callable[[Scene], list[Machine]]
CLOSINGS: dict[str, Closing] = {}
WORST: dict[str, Closing] = {}
"""Closings that strike only in a soak that names them or draws the worst, so that seeds draw what
they always did.
"""


def _closing(close: Closing) -> Closing:
    CLOSINGS[_name(close)] = close
    return close


def _worst(close: Closing) -> Closing:
    WORST[_name(close)] = close
    return close


def _name(close: Closing) -> str:
    return close.__name__.strip("_").replace("_", " ")


def crash_runners(scene: Scene) -> None:
    """End half of the runners again and again; each starts anew under its id."""
    until_s = time.monotonic() + scene.random.uniform(*CRASHES_LAST_S)
    reborn = []
    while time.monotonic() < until_s:
        numbers = range(len(scene.traffic.backends.now))
        for number in scene.random.sample(numbers, len(numbers) // 2):
            thread = threading.Thread(
                target=scene.traffic.backends.reborn, args=(number, CRASH_DOWN_S), daemon=True
            )
            thread.start()
            reborn.append(thread)
        time.sleep(CRASH_EACH_S)
    for thread in reborn:
        thread.join()
    scene.last(0.0, CRASHES_UNTIL_S)


def close(scene: Scene, kind: str) -> None:
    """Wait for the next 202, strike, and start all again, control processes late."""
    if kind in WORST:
        _close_worst(scene, kind)
        return
    accepted = scene.traffic.lots.accepted
    accepted.clear()
    accepted.wait(ACCEPTED_TIMEOUT_S)
    time.sleep(scene.random.uniform(0.0, SOON_S))
    CLOSINGS[kind](scene)
    if kind in AT_THE_END:
        return
    _return(scene, LATE_S)


def _close_worst(scene: Scene, kind: str) -> None:
    """Wait for the next 202 or acknowledged change, strike, and start all again."""
    scene.disks.until_repaired()
    taken = scene.random.choice((scene.traffic.lots.accepted, scene.traffic.operator.acknowledged))
    taken.clear()
    taken.wait(ACCEPTED_TIMEOUT_S)
    time.sleep(scene.random.uniform(0.0, SOON_S))
    WORST[kind](scene)
    _return(scene, scene.random.choice(ALL_RETURN_S))


def _return(scene: Scene, control_s: float) -> None:
    controls = scene.machines.of("control")
    others = [machine for machine in scene.machines.all if machine.role != "control"]
    late = threading.Thread(target=scene.start_late, args=(controls, control_s))
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


@_worst
def _all_killed_and_the_oldest_disks_lost(scene: Scene) -> list[Machine]:
    """All lose power at once, and the stores that lasted longest come back without their disks."""
    lost = scene.oldest_disks()
    killed = _kill(scene.machines.all)
    scene.disks.lose_together(lost)
    return killed


@_worst
def _oldest_disks_lost_before_all_are_killed(scene: Scene) -> list[Machine]:
    """The same, but the machines whose disks are lost end first, and the others right after."""
    lost = _kill(scene.oldest_disks())
    scene.last(0.0, RETURN_S)
    killed = _kill(scene.machines.all)
    scene.disks.lose_together(lost)
    return killed


@_worst
def _all_lose_power_at_once(scene: Scene) -> list[Machine]:
    return _kill(scene.machines.all)
