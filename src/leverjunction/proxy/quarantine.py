"""Connects what happens to runs with what is known of suspect requests, in one event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Protocol, TypeGuard

from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, is_failure
from leverjunction.proxy.caller_connection import CallerRequest, request_content
from leverjunction.quarantine.end_watch import EndWatch
from leverjunction.quarantine.records import EndedRun, SuspectList
from leverjunction.quarantine.request_key import request_key
from leverjunction.quarantine.suspects import Suspects
from leverjunction.quarantine.verdicts import Standing
from leverjunction.registry.records import RunnerRecord, RunnerState

PROBE_AFTER_S = 0.005
"""From a broken answer to the look whether anybody listens: a process that ends closes its
connections and its port within a millisecond or two, in any order.
"""

PROBE_TIMEOUT_S = 0.5
SETTLE_S = 0.15
"""Longest wait for that look before a request is repeated; mostly it takes 6 ms."""

EXPIRE_INTERVAL_S = 1.0


def is_lost_run(outcome: object) -> TypeGuard[Failure]:
    """Return whether a back end broke a run off that it may have begun."""
    return (
        is_failure(outcome)
        and outcome.kind is FailureKind.UNREACHABLE
        and outcome.execution is not Execution.NOT_RUN
    )


class EvidenceTaker(Protocol):
    """Tells the registry (``registry.run_reporter``)."""

    def ended(self, run: EndedRun) -> None:
        """Tell of a run under which its back end ended."""
        ...

    def answered(self, key: str) -> None:
        """Tell that a suspect request was answered whole."""
        ...


class Quarantine:
    """Used by one event loop.

    Args:
        report: Takes the evidence; None to keep it here.

    Attributes:
        ended_runs: Runs under which their back end was found to have ended.
    """

    __slots__ = (
        "_expired_s",
        "_loop",
        "_places",
        "_probes",
        "_records",
        "_report",
        "_runners",
        "_suspects",
        "_under_way",
        "_watch",
        "ended_runs",
    )

    def __init__(self, report: EvidenceTaker | None = None) -> None:
        self._report = report
        self._suspects = Suspects()
        self._watch = EndWatch()
        self._records: dict[str, RunnerRecord] = {}
        self._runners: dict[str, RunnerRecord] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._under_way: Counter[str] = Counter()
        self._places: Counter[str] = Counter()
        self._expired_s = 0.0
        self._loop = asyncio.get_running_loop()
        self.ended_runs = 0

    def find(self, request: CallerRequest) -> str:
        """Return the key of a suspect request, empty for others; nothing is hashed for most."""
        if self._suspects.is_empty:
            return ""
        self._expire()
        return self._suspects.find(request_content(request))

    def standing(self, key: str) -> Standing:
        """Return how a request is to be treated."""
        return self._suspects.standing(key) if key else Standing.SOUND

    def counts(self) -> tuple[int, int]:
        """Return how many requests are suspects, and how many of these are refused."""
        return self._suspects.counts()

    def is_under_way(self, key: str) -> bool:
        """Return whether a suspect is run from here at the moment."""
        return self._under_way[key] > 0

    def taken_places(self) -> set[str]:
        """Return the starts of back ends that run a suspect of this process."""
        return {start for start, count in self._places.items() if count > 0}

    def may_begin(self, key: str, start: str) -> bool:
        """Return whether a request may run at a back end now, by what is known of it."""
        standing = self.standing(key)
        if standing is Standing.SOUND:
            return True
        if standing is Standing.REFUSED or self._places[start] > 0:
            return False
        return standing is not Standing.CAREFUL or not self.is_under_way(key)

    def began(self, key: str, start: str) -> None:
        """Note that a suspect is sent to a back end."""
        self._under_way[key] += 1
        self._places[start] += 1

    def over(self, key: str, start: str) -> None:
        """Note that such a run is over, however it ended."""
        self._under_way -= Counter({key: 1})
        self._places -= Counter({start: 1})

    @contextmanager
    def trial(self, key: str, start: str) -> Iterator[None]:
        """Count the run of a suspect while the block lasts; of others nothing is counted."""
        if not key:
            yield
            return
        self.began(key, start)
        try:
            yield
        finally:
            self.over(key, start)

    def replace(self, runners: Iterable[RunnerRecord], suspects: SuspectList) -> None:
        """Take a newer registry: it may prove the end of back ends."""
        self._runners = {record.runner_id: record for record in runners}
        self._suspects.replace(suspects)
        for start in self._watch.pending():
            self._judge(start)

    def lost(
        self,
        request: CallerRequest,
        route: str,
        request_id: str,
        at: RunnerRecord,
        *,
        ran_on: bool,
    ) -> None:
        """Take a run that its back end broke off after it had the whole request.

        Args:
            request: The request.
            route: Name of its route.
            request_id: Its caller's id of this attempt.
            at: The back end's record when it was sent.
            ran_on: Its answer had come for a while (``verdicts.ran_on``).
        """
        now = self._runners.get(at.runner_id, at if not self._runners else None)
        if now is None or now.state is RunnerState.LEAVING:
            # Its end was announced, so it was not brought about by what it ran.
            return
        key = request_key(request_content(request))
        run = EndedRun(key=key, start=at.start, route=route, request_id=request_id, ran_on=ran_on)
        self._records[at.start] = at
        self._take(self._watch.lost(run, self._loop.time()))
        if self._watch.waits_for(at.start) and at.start not in self._probes:
            self._probes[at.start] = self._loop.create_task(self._probe(at))
        self._judge(at.start)

    def not_listening(self, at: RunnerRecord) -> None:
        """Take the proof that nobody listens at a back end's address."""
        self._take(self._watch.ended(at.start, self._loop.time()))

    def answered(self, key: str) -> None:
        """Note a whole answer to a suspect: it is cleared, here at once and then everywhere."""
        self._suspects.answered(key)
        logger.info("request {} was answered whole and is no suspect any more", key)
        if self._report is not None:
            self._report.answered(key)

    async def settle(self, at: RunnerRecord) -> None:
        """Wait shortly until it is known whether a back end that broke a run off has ended."""
        probe = self._probes.get(at.start)
        if probe is not None:
            await asyncio.wait([probe], timeout=SETTLE_S)

    def _judge(self, start: str) -> None:
        """Conclude from the registry what became of a back end that broke a run off."""
        if not self._watch.waits_for(start):
            return
        was = self._records[start]
        now = self._runners.get(was.runner_id)
        if now is None or now.state is RunnerState.LEAVING:
            if self._runners:
                self._watch.left(start)
            return
        successor = any(
            record.address == was.address and record.start != start
            for record in self._runners.values()
            if record.state is RunnerState.READY
        )
        if now.start != start or now.state is RunnerState.SILENT or successor:
            self._take(self._watch.ended(start, self._loop.time()))

    def _take(self, runs: Iterable[EndedRun]) -> None:
        for run in runs:
            self.ended_runs += 1
            self._suspects.ended(run, self._loop.time())
            logger.info(
                "back end {} ended under request {} of route {} (attempt {}): {}",
                run.start,
                run.key,
                run.route,
                run.request_id,
                self._suspects.standing(run.key).value,
            )
            if self._report is not None:
                self._report.ended(run)

    async def _probe(self, at: RunnerRecord) -> None:
        """Look whether anybody listens at a back end's address."""
        host, _, port = at.address.rpartition(":")
        try:
            await asyncio.sleep(PROBE_AFTER_S)
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(asyncio.Protocol, host, int(port))
            transport.abort()
        except ConnectionRefusedError:
            self.not_listening(at)
        except (OSError, TimeoutError) as error:
            # Not reached: the registry tells in some seconds whether it has fallen silent.
            logger.debug("back end {} is not reached: {}", at.start, error)
        finally:
            self._probes.pop(at.start, None)

    def _expire(self) -> None:
        now_s = self._loop.time()
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        self._suspects.expire(now_s)
        self._watch.expire(now_s)
        waited_for = set(self._watch.pending())
        self._records = {key: at for key, at in self._records.items() if key in waited_for}


__all__ = ["EvidenceTaker", "Quarantine", "is_lost_run"]
