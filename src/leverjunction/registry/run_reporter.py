"""Tells the registry what became of runs of suspect requests, from a thread of its own.

What is told waits until a control process has taken it: while none can, since no leader is known,
the process goes on with its own evidence. Telling it twice changes nothing.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.quarantine.records import EndedRun
from leverjunction.registry.commands import Done, ReportRuns
from leverjunction.registry.records import REGISTRY_GROUP
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

GATHER_S = 0.02
"""The ends of runs at one back end come within milliseconds, and go out in one command."""

CALL_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.2
KEPT_S = 30.0
"""Longest time that something waits to be told: an outage longer than that gathers no backlog."""

WAITING_MOST = 500


class RunReporter:
    """Safe to share between threads.

    Args:
        rpc: Client of the internal RPC.
        hubs: Returns the RPC addresses of control processes, the best one first.
        clock: Source of monotonic time.
    """

    def __init__(self, rpc: RpcClient, hubs: Callable[[], list[str]], clock: Clock) -> None:
        self._rpc = rpc
        self._hubs = hubs
        self._clock = clock
        self._ended: dict[tuple[str, str], EndedRun] = {}
        self._answered: set[str] = set()
        self._since_s = 0.0
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="run-reporter", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; what was not told is lost, others have seen other runs."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def ended(self, run: EndedRun) -> None:
        """Tell of a run under which its back end ended."""
        with self._changed:
            self._note_begin()
            if len(self._ended) < WAITING_MOST:
                self._ended[run.key, run.start] = run
            self._answered.discard(run.key)
            self._changed.notify_all()

    def answered(self, key: str) -> None:
        """Tell that a suspect request was answered whole."""
        with self._changed:
            self._note_begin()
            if len(self._answered) < WAITING_MOST:
                self._answered.add(key)
            self._changed.notify_all()

    def _note_begin(self) -> None:
        if not self._ended and not self._answered:
            self._since_s = self._clock.monotonic_s()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (self._ended or self._answered or self._stopped):
                    self._changed.wait()
                if self._stopped:
                    return
                # Woken by more of the same, not by the time alone: only a stop ends it early.
                self._changed.wait_for(lambda: self._stopped, GATHER_S)
                command = ReportRuns(
                    ended=tuple(self._ended.values()), answered=tuple(sorted(self._answered))
                )
            if not self._tell(command):
                self._give_up_old()

    def _tell(self, command: ReportRuns) -> bool:
        """Have a control process take a command; what it holds then need not be told again."""
        reason = "no control process is known"
        for hub in self._hubs():
            reply = self._rpc.call(
                hub,
                MessageKind.PROPOSE,
                command,
                Done,
                group=REGISTRY_GROUP,
                timeout_s=CALL_TIMEOUT_S,
            )
            if not isinstance(reply, Failure):
                self._forget(command)
                return True
            reason = f"{hub}: {reply.reason}"
            if self._stopped:
                return False
        logger.warning("ended back ends are not told of yet: {}", reason)
        return False

    def _forget(self, command: ReportRuns) -> None:
        with self._changed:
            for run in command.ended:
                self._ended.pop((run.key, run.start), None)
            self._answered.difference_update(command.answered)
            self._since_s = self._clock.monotonic_s()

    def _give_up_old(self) -> None:
        with self._changed:
            if self._clock.monotonic_s() - self._since_s > KEPT_S:
                logger.warning(
                    "{} ended runs and {} answers were not told of in {:.0f} s and are given up",
                    len(self._ended),
                    len(self._answered),
                    KEPT_S,
                )
                self._ended.clear()
                self._answered.clear()
            self._changed.wait_for(lambda: self._stopped, RETRY_PAUSE_S)


__all__ = ["RunReporter"]
