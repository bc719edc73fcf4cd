"""Fault soak: the real programs on loopback, random faults from outside, promises checked.

``python deploy/soak --minutes 3 --seed 7``. Without a seed a fresh one is drawn and told. Exit
status 1 with a line for each broken promise; the folder with all logs is kept then.
"""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from statistics import median
from typing import NamedTuple

import disks
import fire
import words
from broken import RULES
from calm import CalmWatch
from closing import AT_THE_END, CLOSINGS, WORST, close, crash_runners
from faults import FAULTS, ONLY_NAMED, OUT_OF_STEP, REFUSALS, RELEASES, SEPARABLE, STOPS
from figures import keep_figures
from hands import Hands
from lots import SHAPES, SMALL
from machines import LOSSES, MACHINES, Machines, Programs, Sizes
from own_faults import OwnFaults
from records import FIRST_S, Records, broken_limits, broken_promises, clock, first_ends
from rest import Rest
from resuming import Service, broken_resumptions, compared, logged_resumptions
from stop_records import judge_stops
from traffic import REFUSALS as WITH_REFUSALS
from traffic import RELEASES as WITH_RELEASES
from traffic import STOPS as WITH_STOPS
from traffic import Traffic, TrafficShape

READY_TIMEOUT_S = 60.0
SETTLE_TIMEOUT_S = 30.0
UP_TIMEOUT_S = 60.0
EBB_TIMEOUT_S = 20.0
EBBS = (0, 10, 40)
REVIVE_S = 0.3
"""How soon a process that ended by itself is started again."""

MORE_TRAFFIC_S = (3.0, 8.0)
"""How long traffic goes on after the last blow."""

TURNS_US = (0, 0, 20)
"""Turns of the programs' threads, of which the seed draws one; 0 is the interpreter's own."""

CRASHING_SHARE = 0.7
"""Of the worst, those with a series of crashes before the closing."""

MORE_LOSSES = 2
POLL_S = 0.1
EXIT_ENDED = 143
"""Of a soak that was asked to end; all that it started is ended first."""


class Drawn(NamedTuple):
    """What a seed draws where nothing is given; the names are those of the options."""

    lots: str
    disk: str
    crashes: bool
    closing: str
    losses: int
    ebb: int


class End:
    """How a soak ends.

    Attributes:
        closing: Kind of the last blow.
        ebb: How many items are open at most before it, 0 for the usual number.
        crashes: Whether a series of crashes of runners comes right before it.
    """

    __slots__ = ("closing", "crashes", "ebb")

    def __init__(self, closing: str, ebb: int, crashes: bool) -> None:
        self.closing = closing
        self.ebb = ebb
        self.crashes = crashes


def soak(
    minutes: float = 1.0,
    seed: int = 0,
    only: str = "",
    rule: str = "",
    program_tree: str = "",
    machines: int = MACHINES,
    closing: str = "",
    turn_us: int = -1,
    sync_ms: int = 0,
    ebb: int = -1,
    keep: str = "",
    worst: bool = False,
    lots: str = "",
    disk: str = "",
    crashes: bool | None = None,
    losses: int = 0,
) -> None:
    """Run a soak; ends the process with its verdict.

    Args:
        minutes: Time in which faults strike.
        seed: Seed of kinds, targets and times; 0 draws one.
        only: Kinds of faults to choose from, separated by commas; empty for all usual ones.
        rule: Rule that the programs break on purpose; the soak has to find it.
        program_tree: Work tree whose programs are started; empty for this one's.
        machines: Processes of the system.
        closing: Kind of the last blow, ``none`` for none; empty to have the seed draw it.
        turn_us: Longest turn of a thread of the programs, in microseconds; 0 for the usual one; the
            seed draws it if it is negative.
        sync_ms: Time that each sync of a store takes longer, in milliseconds.
        ebb: How many items are open at most before the last blow, 0 for the usual number; the seed
            draws it if it is negative.
        keep: Folder under which the logs are kept; a temporary one if empty.
        worst: Have the seed draw what is not given of the following and a closing with them.
        lots: Shape of batch jobs, ``small`` or ``large``.
        disk: ``usual``, ``uneven`` for syncs that differ from disk to disk and over time,
            ``shared`` for disks of several replicas whose flushes wait for each other.
        crashes: Whether runners end again and again right before the closing.
        losses: Disks that may be lost at the same time; 0 for the usual number.
    """
    seed = seed or SystemRandom().randrange(1, 10**6)
    named = set(only.split(",")) if only else FAULTS.keys() - ONLY_NAMED
    kinds = [kind for kind in FAULTS if kind in named]
    _check("kind of fault", "" if kinds else only, FAULTS)
    _check("rule", rule, RULES)
    _check("closing", closing, {**CLOSINGS, **WORST, "none": None})
    _check("shape of jobs", lots, SHAPES)
    _check("kind of disks", disk, dict.fromkeys(disks.KINDS))
    drawn = _draw_worst(seed) if worst else _draw(seed)
    lots, disk = lots or drawn.lots, disk or drawn.disk
    crashes = drawn.crashes if crashes is None else crashes
    closing, losses = closing or drawn.closing, losses or drawn.losses
    ebb = drawn.ebb if ebb < 0 else ebb
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(EXIT_ENDED))
    if turn_us < 0:
        turn_us = Random(f"{seed} turns").choice(TURNS_US)
    told = f"closing: {closing}, turns of threads: {turn_us or 5000} us, ebb: {ebb or 'none'}"
    told += f", jobs: {lots}, disks: {disk}, {losses} may be lost"
    told += ", series of crashes" if crashes else ""
    print(f"seed {seed}, {told}", flush=True)
    folder = log_folder(seed, keep)
    records = Records()
    OwnFaults(records).watch()
    syncs = disks.word(disk, seed, folder) or (str(sync_ms) if sync_ms else "")
    programs = Programs(program_tree, rule, turn_us, syncs)
    separable = SEPARABLE if OUT_OF_STEP.intersection(kinds) else 0
    deployment = Machines(folder, programs, Sizes(machines, losses), separable)
    traffic = Traffic(deployment, records, seed, _shape_for(kinds), SHAPES[lots])
    hands = Hands(deployment, traffic, records, seed, kinds)
    ended = threading.Event()
    reviver = threading.Thread(target=_revive, args=(deployment, ended))
    try:
        deployment.start()
        reviver.start()
        end = End(closing, ebb, crashes)
        broken = _play(deployment, records, traffic, hands, minutes, end, folder)
        if broken:
            keep_figures(deployment, folder)
    finally:
        ended.set()
        reviver.join()
        traffic.stop()
        deployment.kill()
        traffic.backends.close()
    broken += broken_promises(records, traffic.backends.executions(), words.WHOLE_TEXT)
    broken += _broken_limits(records, traffic)
    services = traffic.backends.served()
    logs = (machine.log() for machine in deployment.of("gateway"))
    broken += broken_resumptions(records, services, logs)
    stops = judge_stops(records.stop_requests, traffic.backends.stop_runs(), records.stops)
    broken += [f"planned stop: {line}" for line in stops.cut + stops.broken]
    if records.stops:
        print(stops.text())
        records.notes += [f"cut without a stop: {line}" for line in stops.cut_elsewhere]
    _report(deployment, records, traffic, broken)
    (folder / "strikes.log").write_text("\n".join([*records.blows, "", *broken, ""]))
    (folder / "crashes.log").write_text("".join(_crash_lines(records, traffic)))
    if broken:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    sys.exit(1 if broken else 0)


def _draw(seed: int) -> Drawn:
    """Return what a seed draws, or has always had."""
    closing = Random(f"{seed} kind of closing").choice(sorted(CLOSINGS))
    ebb = Random(f"{seed} ebb").choice(EBBS)
    return Drawn(SMALL, disks.USUAL, False, closing, LOSSES, ebb)


def _draw_worst(seed: int) -> Drawn:
    random = Random(f"{seed} worst")
    return Drawn(
        random.choice(sorted(SHAPES)),
        random.choice(disks.KINDS),
        random.random() < CRASHING_SHARE,
        random.choice(sorted(WORST)),
        random.choice((LOSSES, MORE_LOSSES)),
        0,
    )


def log_folder(seed: int, keep: str) -> Path:
    """Return a new folder for the logs of a run, below one that is made if need be."""
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    return Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep or None))


def _check(what: str, name: str, known: dict[str, object] | dict[str, Callable[..., None]]) -> None:
    if name and name not in known:
        print(f"no such {what}: {name}; known are {', '.join(known)}", file=sys.stderr)
        sys.exit(2)


def _shape_for(kinds: list[str]) -> TrafficShape:
    """Return the traffic that faults of these kinds need."""
    hands = {FAULTS[kind].hand for kind in kinds}
    if STOPS in hands:
        return WITH_STOPS
    if RELEASES in hands:
        return WITH_RELEASES
    return WITH_REFUSALS if REFUSALS in hands else TrafficShape()


def _play(
    machines: Machines,
    records: Records,
    traffic: Traffic,
    hands: Hands,
    minutes: float,
    end: End,
    folder: Path,
) -> list[str]:
    """Strike, close, rest; return the broken promises that are seen at rest."""
    traffic.start()
    if not _comes_true(traffic.is_served, READY_TIMEOUT_S):
        return ["not all gateways served after the start"]
    hands.start()
    time.sleep(minutes * 60)
    hands.stop()
    if end.ebb:
        traffic.lots.ebb_items = end.ebb
        _comes_true(lambda: traffic.lots.open_items() <= end.ebb, EBB_TIMEOUT_S)
    if end.crashes:
        began_s = time.time()
        crash_runners(hands.scene)
        records.blow("series of crashes", began_s, time.time())
    if end.closing != "none":
        began_s = time.time()
        close(hands.scene, end.closing)
        records.blow(f"closing: {end.closing}", began_s, time.time())
    machines.heal()
    traffic.backends.heal()
    if not _comes_true(machines.are_up, UP_TIMEOUT_S):
        return [f"not all processes listen {UP_TIMEOUT_S:.0f} s after the last blow"]
    if end.closing not in AT_THE_END:
        time.sleep(hands.scene.random.uniform(*MORE_TRAFFIC_S))
    traffic.calm()
    records.blow("calm", time.time(), time.time())
    watch = CalmWatch(machines, records, traffic)
    watch.start()
    rest = Rest(machines, records, traffic)
    broken = rest.judge()
    broken += watch.judge()
    (folder / "calm.log").write_text("\n".join([*watch.lines, ""]))
    records.notes += rest.notes
    records.rest_s = rest.took_s
    beside_deadly = Rest(machines, records, traffic, beside_deadly=True)
    broken += beside_deadly.judge()
    records.notes += beside_deadly.notes
    records.beside_deadly_s = beside_deadly.took_s
    _watch_first_minutes(records, traffic)
    if not _comes_true(traffic.in_force, SETTLE_TIMEOUT_S):
        broken.append("the newest configuration was not in force at all gateways at the end")
    if not traffic.accepts_again():
        broken.append("no batch job was accepted after the faults")
    return broken or Rest(machines, records, traffic).judge()


def _watch_first_minutes(records: Records, traffic: Traffic) -> None:
    """Wait until each job that ended runners has had its first minute, or has ended too many."""
    began_s = first_ends(records.lots, _crashes(traffic)).values()
    left_s = max(began_s, default=0.0) + FIRST_S - time.monotonic()
    _comes_true(lambda: bool(_broken_limits(records, traffic)), left_s)


def _broken_limits(records: Records, traffic: Traffic) -> list[str]:
    return broken_limits(records.lots, _crashes(traffic), traffic.backends.deadly_runs())


def _crashes(traffic: Traffic) -> list[tuple[str, float]]:
    return [(crash.request_id, crash.at_s) for crash in traffic.backends.crashes()]


def _revive(machines: Machines, ended: threading.Event) -> None:
    while not ended.wait(REVIVE_S):
        machines.revive()


def _comes_true(condition: Callable[[], bool], timeout_s: float) -> bool:
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if condition():
            return True
        time.sleep(POLL_S)
    return False


def _report(machines: Machines, records: Records, traffic: Traffic, broken: list[str]) -> None:
    whole = sum(1 for item in records.online if item.status == 200 and item.complete)
    _report_streams(machines, records, traffic.backends.served())
    accepted = [lot for lot in records.lots if lot.accepted]
    listed = sum(len(lot.listed) for lot in accepted)
    struck = ", ".join(f"{kind} {count}" for kind, count in sorted(records.struck.items()))
    print(f"faults: {struck or 'none'}")
    print(f"requests: {len(records.online)}, answered whole {whole}")
    print(f"lots: {len(records.lots)}, accepted {len(accepted)}, items listed {listed}")
    print(f"runs of items: {len(traffic.backends.runs())}, most open {records.most_open}")
    under_way = records.under_way or [0]
    print(f"runs under way: half of the time {median(under_way)}, at most {max(under_way)}")
    print(f"requests waited for a slot at most {traffic.backends.longest_wait_s():.3f} s")
    report_s = sorted(records.report_s or [0.0])
    print(f"a load was told in {median(report_s):.3f} s, at most {report_s[-1]:.3f} s")
    print(f"all was at its end after {records.rest_s:.1f} s of calm")
    for line in records.calm_notes:
        print(line)
    _report_deadly(records, traffic)
    print(f"configurations acknowledged: {len(records.acknowledged)}")
    for machine in machines.all:
        if machine.ended_by_itself:
            print(f"{machine.name} ended by itself: {machine.ended_by_itself}")
    for line in records.notes:
        print(f"LATE {line}")
    for line in broken:
        print(f"BROKEN {line}")
    print(f"{len(broken)} promises broken")


def _report_streams(machines: Machines, records: Records, services: list[Service]) -> None:
    streams = records.streams
    whole = sum(stream.is_whole for stream in streams)
    resumed = sum(stream.resumed for stream in streams)
    refused = sum(stream.refused for stream in streams)
    print(f"streams: {len(streams)}, whole {whole}; tries to go on: {resumed}, refused {refused}")
    run, *strikes = compared(records, services)
    judged = sum(one.is_judged for one in strikes)
    print(
        f"while two runners of their version served: {run.went_on} of {run.resumed} resumed streams"
        f" went on, {run.began} of {run.new} new ones began; judged: {judged} of {len(strikes)}"
        " strikes"
    )
    logs = [machine.log() for machine in machines.of("gateway")]
    reasons = Counter(reason for log in logs for _, reason in logged_resumptions(log))
    told = ", ".join(f"{reason} {count}" for reason, count in reasons.most_common())
    print(f"gateways logged of resumed streams: {told or 'nothing'}")


def _crash_lines(records: Records, traffic: Traffic) -> list[str]:
    """Return a line for each crash and for each run of a deadly item, in order of time."""
    wall_s = time.time() - time.monotonic()
    lines = [
        f"{clock(wall_s + crash.at_s)} {crash.runner_id} crashed under {crash.request_id}\n"
        for crash in traffic.backends.crashes()
    ]
    deadly = {item for lot in records.lots for item in lot.deadly}
    lines += [
        f"{clock(wall_s + run.began_s)} {run.runner_id} began {run.item_id}"
        f" for {run.store or '?'}\n"
        for run in traffic.backends.runs()
        if run.item_id in deadly
    ]
    return sorted(lines)


def _report_deadly(records: Records, traffic: Traffic) -> None:
    lots = [lot for lot in records.lots if lot.deadly]
    if not lots:
        return
    crashes = Counter(crash.request_id for crash in traffic.backends.crashes())
    ends = [sum(crashes[item] for item in lot.deadly) for lot in lots]
    runs = Counter(item for item, _ in traffic.backends.deadly_runs())
    most = max(runs[item] for lot in lots for item in lot.deadly)
    early = sum(lot.ending for lot in lots)
    print(f"lots with deadly items: {len(lots)}, ended early by their clients: {early}")
    print(f"runners ended by each: {ends}")
    print(f"deadly items began {most} runs at most; the others of their lots were at their end")
    print(f"after {records.beside_deadly_s:.1f} s more of calm")


if __name__ == "__main__":
    fire.Fire(soak)
