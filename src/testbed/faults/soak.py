"""``testbed faults soak``: random faults on a loaded fleet; every answer and item is checked."""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from testbed.fleet.fleet import Fleet
from testbed.fleet.health import is_repaired, is_whole, replica_ids
from testbed.fleet.job_feed import JobFeed
from testbed.fleet.plan import FleetOptions, ProcessKind
from testbed.fleet.traffic import SentRequest, Traffic
from testbed.scenarios import load_scenario

SHORTEST_FAULT_S = 0.5
LONGEST_FAULT_S = 8.0
LONGEST_PAUSE_S = 3.0
SECOND_FAULT_RATIO = 0.3
WHOLE_TIMEOUT_S = 120.0
JOBS_TIMEOUT_S = 300.0
JOB_ITEMS = 200
JOB_INTERVAL_S = 10.0
CALLERS = 6
TOKENS = 24
SHOWN_FAULTS = 3
SECONDS_PER_MINUTE = 60


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a soak run.

    Attributes:
        scenario: Scenario.
        seed: Seed of the faults' order, targets and times.
        seconds: Time in which faults struck.
        faults: Faults that struck, by kind.
        online_whole: Online requests answered whole and right.
        online_refused: Online requests refused or not answered, as the fault explains.
        online_wrong: Answers of another request, or with wrong text.
        online_cut: Answers that began and ended without their end; a killed gateway cuts its own.
        jobs_whole: Jobs of which every item has exactly one right result.
        jobs_refused: Jobs that were not accepted.
        jobs_not_whole: Accepted jobs that lost, doubled or spoilt an item, or did not end.
    """

    scenario: str
    seed: int
    seconds: float
    faults: dict[str, int]
    online_whole: int
    online_refused: int
    online_wrong: int
    online_cut: int
    jobs_whole: int
    jobs_refused: int
    jobs_not_whole: int


class Soak:
    """Faults on one fleet, drawn from a seeded generator.

    Args:
        fleet: Running fleet; this object undoes all faults in it.
        seed: Seed.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.struck: Counter[str] = Counter()
        self._fleet = fleet
        self._generator = random.Random(seed)
        self._kinds: dict[str, Callable[[], None]] = {
            "kill gateway": lambda: fleet.kill(self._one_of(ProcessKind.GATEWAY)),
            "kill control": lambda: fleet.kill(self._one_of(ProcessKind.CONTROL)),
            "kill runner": lambda: fleet.kill(self._one_of(ProcessKind.ENGINE)),
            "freeze gateway": lambda: fleet.freeze(self._one_of(ProcessKind.GATEWAY)),
            "freeze control": lambda: fleet.freeze(self._one_of(ProcessKind.CONTROL)),
            "freeze runner": lambda: fleet.freeze(self._one_of(ProcessKind.ENGINE)),
            "cut zone": lambda: fleet.cut(self._generator.choice(fleet.scenario.zones)),
            "cut control": lambda: fleet.cut(self._one_of(ProcessKind.CONTROL)),
            "cut gateway": lambda: fleet.cut(self._one_of(ProcessKind.GATEWAY)),
            "stop gateway": lambda: fleet.terminate(self._one_of(ProcessKind.GATEWAY)),
            "stop control": lambda: fleet.terminate(self._one_of(ProcessKind.CONTROL)),
            "leaving runner": lambda: fleet.leave(self._one_of(ProcessKind.ENGINE)),
        }

    def run(self, seconds: float) -> None:
        """Bring faults about for some time; the fleet is whole afterwards."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            if self._generator.random() < 1 / (len(self._kinds) + 1):
                self._lose_disk()
            else:
                self._strike()
            print(f"soak: {sum(self.struck.values())} faults", file=sys.stderr, flush=True)
            time.sleep(self._generator.uniform(0.0, LONGEST_PAUSE_S))

    def _strike(self) -> None:
        count = 2 if self._generator.random() < SECOND_FAULT_RATIO else 1
        for kind in self._generator.sample(sorted(self._kinds), count):
            self.struck[kind] += 1
            self._kinds[kind]()
            time.sleep(self._generator.uniform(0.0, SHORTEST_FAULT_S))
        time.sleep(self._generator.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S))
        self._recover()

    def _lose_disk(self) -> None:
        """Lose a disk, and after its repair at once a second one."""
        for control in self._generator.sample(self._fleet.control_names(), 2):
            lost_ids = replica_ids(self._fleet, control)
            self.struck["lost disk"] += 1
            self._fleet.wipe(control)
            self._fleet.wait_for(
                lambda name=control, ids=lost_ids: is_repaired(self._fleet, name, ids),  # type: ignore[misc]
                f"{control} is repaired",
                timeout_s=WHOLE_TIMEOUT_S,
            )
        self._recover()

    def _recover(self) -> None:
        fleet = self._fleet
        fleet.recover()
        fleet.wait_for(lambda: is_whole(fleet), "the fleet is whole", timeout_s=WHOLE_TIMEOUT_S)

    def _one_of(self, kind: ProcessKind) -> str:
        return self._generator.choice(self._fleet.names(kind))


def run_soak(scenario: str, minutes: float, seed: int) -> tuple[SoakReport, list[object]]:
    """Run faults on a fleet of its own; returns the report and what was wrong."""
    deployment = load_scenario(scenario)
    seconds = minutes * SECONDS_PER_MINUTE
    with Fleet(deployment, FleetOptions(engine_speed=2.0)) as fleet:
        soak = Soak(fleet, seed)
        feed = JobFeed(
            fleet.gateway_urls(),
            deployment.batch_key,
            deployment.batch_model(),
            items=JOB_ITEMS,
            interval_s=JOB_INTERVAL_S,
            tokens=TOKENS,
        )
        with Traffic(
            fleet.gateway_urls(),
            deployment.online_key,
            deployment.online_model(),
            callers=CALLERS,
            tokens=TOKENS,
            label=f"soak{seed}",
        ) as traffic:
            feed.start()
            soak.run(seconds)
        feed.stop()
        jobs = feed.check(JOBS_TIMEOUT_S)
        sent = traffic.sent()
    lost = [job for job in jobs if job.batch_id and not job.is_whole]
    wrong = [request for request in sent if _is_wrong(request)]
    report = SoakReport(
        scenario=scenario,
        seed=seed,
        seconds=seconds,
        faults=dict(soak.struck),
        online_whole=sum(not (request.is_cut or request.is_refused) for request in sent),
        online_refused=sum(request.is_refused for request in sent),
        online_wrong=len(wrong),
        online_cut=sum(request.is_cut and not _is_wrong(request) for request in sent),
        jobs_whole=sum(job.is_whole for job in jobs),
        jobs_refused=sum(not job.batch_id for job in jobs),
        jobs_not_whole=len(lost),
    )
    return report, [*wrong, *lost]


def soak(scenario: str, minutes: float, seed: int, report_file: str) -> int:
    """Run the command and print its report; returns the exit status."""
    report, faults = run_soak(scenario, minutes, seed)
    encoded = msgspec.json.format(msgspec.json.encode(report), indent=2)
    print(encoded.decode())
    if report_file:
        Path(report_file).write_bytes(encoded)
    for fault in faults[:SHOWN_FAULTS]:
        print(f"wrong: {fault}", file=sys.stderr)
    return 1 if faults else 0


def _is_wrong(request: SentRequest) -> bool:
    """Return whether a caller was given text that is not of its own answer."""
    return not request.expected.startswith(request.answer.text)
