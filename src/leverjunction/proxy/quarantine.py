"""Quarantine of requests that crash their back ends, in one event loop.

Feeds the outcome of runs into the evidence about suspect requests, and tells how to treat them.
A start is one instance of a back end. Its end counts as a crash unless it was planned.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Collection, Container, Iterable
from typing import Protocol, TypeGuard

from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, is_failure
from leverjunction.proxy.caller_request import (
    CallerRequest,
    request_address,
    request_content,
    request_parts,
)
from leverjunction.quarantine.crash_detector import CrashDetector
from leverjunction.quarantine.prompt_parts import ProvenParts, judge, part_key
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import all_keys
from leverjunction.quarantine.suspects import Suspects
from leverjunction.quarantine.verdicts import Standing
from leverjunction.registry.records import RunnerRecord, RunnerState

PROBE_DELAY_S = 0.005
"""Delay between a broken response and the probe of the port: a process that exits closes its
connections and its port within a millisecond or two, in any order.
"""

PROBE_TIMEOUT_S = 0.5
"""Timeout of the probe's connection attempt."""

PROBE_WAIT_S = 0.15
"""Maximum wait for the probe before a request is repeated; a probe mostly takes 6 ms."""

EXPIRE_INTERVAL_S = 1.0
"""Minimum interval between removals of expired evidence."""


def is_lost_run(outcome: object) -> TypeGuard[Failure]:
    """Return whether a back end broke off a response to a request that it may have run."""
    return (
        is_failure(outcome)
        and outcome.kind is FailureKind.UNREACHABLE
        and outcome.execution is not Execution.NOT_RUN
    )


class EvidenceReporter(Protocol):
    """Reports evidence to the registry, as ``registry.run_reporter`` does."""

    def ended(self, run: EndedRun) -> None:
        """Report a run during which its back end crashed."""
        ...

    def answered(self, key: str) -> None:
        """Report that a suspect request got a complete response."""
        ...


class Quarantine:
    """Knows the suspect requests, and detects crashes under requests. Used by one event loop.

    Args:
        report: Receives the evidence; None to keep it in this process.

    Attributes:
        ended_runs: Number of runs during which the back end was found to have crashed.
    """

    __slots__ = (
        "_crash_detector",
        "_expired_s",
        "_loop",
        "_occupied",
        "_probes",
        "_proven",
        "_records",
        "_report",
        "_runners",
        "_running",
        "_suspects",
        "ended_runs",
    )

    def __init__(self, report: EvidenceReporter | None = None) -> None:
        self._report = report
        self._suspects = Suspects()
        self._proven = ProvenParts()
        self._crash_detector = CrashDetector()
        self._records: dict[str, RunnerRecord] = {}
        self._runners: dict[str, RunnerRecord] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._running: Counter[str] = Counter()
        self._occupied: Counter[str] = Counter()
        self._expired_s = 0.0
        self._loop = asyncio.get_running_loop()
        self.ended_runs = 0

    def find(self, request: CallerRequest) -> str:
        """Return the key of a suspect request, or an empty string; mostly without any hashing."""
        if self._suspects.is_empty:
            return ""
        self.expire()
        if not self._suspects.has_path(request_address(request)):
            return ""
        return self._suspects.find(request_content(request))

    def judge_parts(self, request: CallerRequest, route: str) -> tuple[str, Standing]:
        """Return the accused part of an online request's prompt, and how to treat the request.

        Args:
            request: The request.
            route: Name of its route.

        Returns:
            The key of the part, empty if no part is accused, and the treatment.
        """
        accused = self._suspects.parts
        if not accused:
            return "", Standing.SOUND
        self.expire()
        now_s = self._loop.time()
        own = {part_key(part): part for part in request_parts(request, route)}
        for key in own.keys() & accused:
            if self._proven.has(own[key], now_s):
                self._clear_part(key)
        accused = self._suspects.parts
        if not own.keys() & accused:
            return "", Standing.SOUND
        return judge(own.keys(), {key: self._suspects.early_starts(key) for key in accused})

    def parts_answered(self, request: CallerRequest, route: str) -> None:
        """Clear all parts of a prompt, after a complete response or one that has gone on."""
        parts = request_parts(request, route)
        self._proven.add(parts, self._loop.time())
        if self._suspects.parts:
            for key in self._suspects.parts.intersection(part_key(part) for part in parts):
                self._clear_part(key)

    def _clear_part(self, key: str) -> None:
        self._suspects.answered(key)
        logger.info("{} cleared by a response", key)
        if self._report is not None:
            self._report.answered(key)

    def _accused_parts(self, request: CallerRequest, route: str, sent_s: float) -> list[str]:
        """Return the keys of the parts that a crash early in a run counts against."""
        now_s = self._loop.time()
        keys = []
        for part in request_parts(request, route):
            if self._proven.has(part, now_s):
                continue
            key = part_key(part)
            own = self._suspects.own(key)
            # Back ends that crash together, as in a power failure, count once.
            if own is None or own.seen_s < sent_s:
                keys.append(key)
        return keys

    def standing(self, key: str) -> Standing:
        """Return how the request with a key from ``find`` is to be treated."""
        return self._suspects.standing(key) if key else Standing.SOUND

    def reported(self) -> dict[str, list[SuspectRecord]]:
        """Return the registry's records by the id of the attempt that was reported last."""
        records: dict[str, list[SuspectRecord]] = {}
        for record in self._suspects.reported():
            records.setdefault(record.request_id, []).append(record)
        return records

    def refused_starts(self, other_than: Container[str]) -> frozenset[str]:
        """Return the starts that crashed early in runs of refused requests and parts of prompts.

        Args:
            other_than: Keys of requests that are left out.
        """
        return self._suspects.refused_starts(other_than)

    def crashes(self, key: str) -> int:
        """Return how many crashes count against the request with a key from ``find``."""
        return self._suspects.crashes(key) if key else 0

    def verdicts(self, key: str) -> int:
        """Return how often the registry found the request with a key from ``find`` harmful."""
        return self._suspects.verdicts(key)

    def counts(self) -> tuple[int, int]:
        """Return the number of suspect requests, and how many of these are refused."""
        return self._suspects.counts()

    def is_running(self, key: str) -> bool:
        """Return whether this process is running a suspect request at the moment."""
        return self._running[key] > 0

    def occupied_starts(self) -> set[str]:
        """Return the starts at which this process is running a suspect request."""
        return {start for start, count in self._occupied.items() if count > 0}

    def has_crashed(self, start: str) -> bool:
        """Return whether a start is known to have crashed lately; it may still be registered."""
        return self._crash_detector.has_crashed(start, self._loop.time())

    def trial_started(self, key: str, start: str) -> None:
        """Record that a suspect request is sent to a start."""
        self._running[key] += 1
        self._occupied[start] += 1

    def trial_ended(self, key: str, start: str) -> None:
        """Record that a run of a suspect request is over, whatever its outcome."""
        self._running -= Counter({key: 1})
        self._occupied -= Counter({start: 1})

    def replace(self, runners: Iterable[RunnerRecord], suspects: SuspectList) -> None:
        """Apply a newer state of the registry, which may prove that back ends have crashed."""
        self._runners = {record.runner_id: record for record in runners}
        self._suspects.replace(suspects)
        for start in self._crash_detector.pending():
            self._check_registry(start)

    def run_lost(
        self,
        request: CallerRequest,
        route: str,
        request_id: str,
        runner: RunnerRecord,
        *,
        ran_on: bool,
        sent_s: float | None = None,
    ) -> None:
        """Record a run that its back end broke off after receiving the whole request.

        Args:
            request: The request.
            route: Name of its route.
            request_id: The caller's id of this attempt.
            runner: The back end's record at the time of sending.
            ran_on: Whether the response had been arriving for a while (``verdicts.ran_on``).
            sent_s: When the request was sent, in the loop's seconds; None if the parts of its
                prompt are not to be judged.
        """
        current = self._runners.get(runner.runner_id, runner if not self._runners else None)
        if current is None or current.state is RunnerState.LEAVING:
            # A planned stop is not caused by the request.
            return
        self._records[runner.start] = runner
        if ran_on and sent_s is not None:
            # A harmful part crashes its back end before the response has gone on for as long.
            self.parts_answered(request, route)
        ended: list[EndedRun] = []
        keys = list(all_keys(request_content(request)))
        if sent_s is not None and not ran_on:
            keys += self._accused_parts(request, route, sent_s)
        for key in keys:
            run = EndedRun(
                key=key, start=runner.start, route=route, request_id=request_id, ran_on=ran_on
            )
            ended += self._crash_detector.lost(run, self._loop.time())
        self._report_ended(ended)
        if self._crash_detector.is_pending(runner.start) and runner.start not in self._probes:
            self._probes[runner.start] = self._loop.create_task(self._probe(runner))
        self._check_registry(runner.start)

    def not_listening(self, runner: RunnerRecord) -> None:
        """Record that a back end's address refuses connections, which proves that it has ended."""
        self._report_ended(self._crash_detector.ended(runner.start, self._loop.time()))

    def answered(self, request: CallerRequest) -> None:
        """Clear a suspect request after a complete response: here at once, then at all gateways."""
        for key in all_keys(request_content(request)):
            self._suspects.answered(key)
            logger.info("suspect request {} cleared by a complete response", key)
            if self._report is not None:
                self._report.answered(key)

    async def wait_for_probe(self, runner: RunnerRecord) -> None:
        """Wait briefly for the probe of a back end that broke off a response, if one is running."""
        probe = self._probes.get(runner.start)
        if probe is not None:
            await asyncio.wait([probe], timeout=PROBE_WAIT_S)

    def _check_registry(self, start: str) -> None:
        """Check in the registry whether a start with lost runs has crashed or was stopped."""
        if not self._crash_detector.is_pending(start):
            return
        previous = self._records[start]
        current = self._runners.get(previous.runner_id)
        if current is None or current.state is RunnerState.LEAVING:
            if self._runners:
                self._crash_detector.planned_stop(start)
            return
        successor = any(
            record.address == previous.address and record.start != start
            for record in self._runners.values()
            if record.state is RunnerState.READY
        )
        if current.start != start or current.state is RunnerState.SILENT or successor:
            self._report_ended(self._crash_detector.ended(start, self._loop.time()))

    def _report_ended(self, runs: Collection[EndedRun]) -> None:
        # A run is reported under each key of its request, but counted once.
        self.ended_runs += len({(run.start, run.request_id) for run in runs})
        for run in runs:
            self._suspects.ended(run, self._loop.time())
            logger.info(
                "back end {} crashed during request {} of route {} (attempt {}): request is now {}",
                run.start,
                run.key,
                run.route,
                run.request_id,
                self._suspects.standing(run.key).value,
            )
            if self._report is not None:
                self._report.ended(run)

    async def _probe(self, runner: RunnerRecord) -> None:
        """Check whether a back end's address still accepts connections."""
        host, _, port = runner.address.rpartition(":")
        try:
            await asyncio.sleep(PROBE_DELAY_S)
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(asyncio.Protocol, host, int(port))
            transport.abort()
        except ConnectionRefusedError:
            self.not_listening(runner)
        except (OSError, TimeoutError) as error:
            # Inconclusive: the registry reports within seconds whether the back end is silent.
            logger.debug("probe of back end {} was inconclusive: {}", runner.start, error)
        finally:
            self._probes.pop(runner.start, None)

    def expire(self) -> None:
        """Drop outdated evidence; call it regularly where requests are not looked up."""
        now_s = self._loop.time()
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        self._suspects.expire(now_s)
        self._crash_detector.expire(now_s)
        waited_for = set(self._crash_detector.pending())
        self._records = {key: runner for key, runner in self._records.items() if key in waited_for}


__all__ = ["EvidenceReporter", "Quarantine", "is_lost_run"]
