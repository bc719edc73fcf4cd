"""Polls the engines of the runners that this hub watches for ready models and planned shutdown.

Each runner is watched by one live hub, chosen by rendezvous hashing among the hubs of its zone, or
among all hubs if its zone has none. The load for routing comes from the owner gateways, which poll
it more often.
"""

from __future__ import annotations

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import msgspec
import xxhash
from loguru import logger

from leverjunction.backends.client import EngineClient
from leverjunction.control.hub import Hub
from leverjunction.control.messages import RunnerReading
from leverjunction.errors import Failure
from leverjunction.wire.messages import RunnerState

WATCH_INTERVAL_S = 1.0
READ_TIMEOUT_S = 0.8
READER_THREADS = 16
FAILURES_UNTIL_UNREACHABLE = 2
"""A single failed read may be a lost packet; two in a row mean that the engine is unreachable."""


def watcher_of(runner: RunnerState, hubs: Iterable[str], zones: dict[str, str]) -> str:
    """Return the name of the hub that watches a runner.

    Args:
        runner: Runner to be watched.
        hubs: Names of the live hubs; not empty.
        zones: Zone of each hub.
    """
    live = sorted(hubs)
    same_zone = [name for name in live if zones[name] == runner.zone]
    return max(same_zone or live, key=lambda name: _weight(name, runner))


class RunnerWatch:
    """Reads the load reports of the watched runners, several at a time.

    Runners whose last read failed are read after the others, one for each thread in a round.
    """

    def __init__(self, hub: Hub, engines: EngineClient, name: str, zones: dict[str, str]) -> None:
        self._hub = hub
        self._engines = engines
        self._name = name
        self._zones = zones
        self._readers = ThreadPoolExecutor(READER_THREADS, thread_name_prefix="runner-watch")
        self._last: dict[str, RunnerReading] = {}
        self._failures: dict[str, int] = {}
        self._round = 0
        self._read_in_round: dict[str, int] = {}
        """Last round in which a failing runner was read."""
        self._standstills = 0

    def tick(self) -> None:
        """Read all watched runners; a second time if the process was paused during the first.

        Called by a background task.
        """
        if not self._read_watched():
            self._read_watched()

    def _read_watched(self) -> bool:
        standstills = self._hub.standstills()
        if standstills != self._standstills:
            self._standstills = standstills
            self._last.clear()
            self._failures.clear()
        live = [self._name, *(hub.name for hub in self._hub.live_hubs())]
        runners = self._hub.runners()
        watched = [
            runner for runner in runners if watcher_of(runner, live, self._zones) == self._name
        ]
        ids = {runner.runner_id for runner in watched}
        unwatched = [runner_id for runner_id in self._last if runner_id not in ids]
        for runner_id in unwatched:
            del self._last[runner_id]
            self._failures.pop(runner_id, None)
        answering = [runner for runner in watched if runner.runner_id not in self._failures]
        failing = self._due_failing(watched)
        # Those that may time out delay no reading of the others.
        readings = list(self._readers.map(self._read, answering))
        if not self._hub.update_readings(readings, unwatched, standstills):
            return False
        readings = list(self._readers.map(self._read, failing))
        return not readings or self._hub.update_readings(readings, [], standstills)

    def _due_failing(self, watched: Iterable[RunnerState]) -> list[RunnerState]:
        """Return the failing runners to read in this round, at most one for each thread.

        Those that are not yet known to be unreachable come first, then those read longest ago.
        """
        self._round += 1
        failing = sorted(
            (runner for runner in watched if runner.runner_id in self._failures),
            key=lambda runner: (
                self._failures[runner.runner_id] >= FAILURES_UNTIL_UNREACHABLE,
                self._read_in_round.get(runner.runner_id, 0),
            ),
        )[:READER_THREADS]
        self._read_in_round = {
            runner_id: last
            for runner_id, last in self._read_in_round.items()
            if runner_id in self._failures
        } | {runner.runner_id: self._round for runner in failing}
        return failing

    def close(self) -> None:
        """Stop the reader threads without waiting for them."""
        self._readers.shutdown(wait=False, cancel_futures=True)

    def _read(self, runner: RunnerState) -> RunnerReading:
        runner_id = runner.runner_id
        before = self._last.get(runner_id, RunnerReading(runner_id=runner_id))
        report = self._engines.load(runner.address, READ_TIMEOUT_S)
        if isinstance(report, Failure):
            self._failures[runner_id] = self._failures.get(runner_id, 0) + 1
            if self._failures[runner_id] < FAILURES_UNTIL_UNREACHABLE:
                return before
            reading = msgspec.structs.replace(before, reachable=False)
        else:
            self._failures.pop(runner_id, None)
            reading = RunnerReading(
                runner_id=runner_id,
                reachable=True,
                incarnation=report.incarnation,
                models=sorted(report.models),
                versions=report.versions,
                leaving=report.leaving,
            )
        if reading.reachable != before.reachable:
            logger.info("runner {} reachable: {}", runner_id, reading.reachable)
        self._last[runner_id] = reading
        return reading


def _weight(hub: str, runner: RunnerState) -> int:
    return xxhash.xxh64_intdigest(f"{hub}\0{runner.runner_id}".encode())
