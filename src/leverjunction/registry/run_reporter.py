"""Reports the outcomes of runs of suspect requests to the registry from a background thread.

A *run* is one attempt to process a request at a back end. Reports are kept until a control process
has accepted them. While none does, for example without a leader, this process goes on with its own
evidence. A report that is sent twice changes nothing.
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
from leverjunction.wire.silent_peers import SilentPeers

COLLECT_S = 0.02
"""Time to collect reports: runs at a crashed back end end within milliseconds, and go into one
command.
"""

CALL_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.2
MAX_REPORT_AGE_S = 30.0
"""Age after which unsent reports are dropped, so that a longer outage builds up no backlog."""

MAX_WAITING = 1_000


class RunReporter:
    """Queues reports and sends them from a background thread. Thread-safe.

    Args:
        rpc: Client of the internal RPC.
        hubs: Returns the RPC addresses of control processes, the best one first.
        clock: Source of monotonic time.
    """

    def __init__(self, rpc: RpcClient, hubs: Callable[[], list[str]], clock: Clock) -> None:
        self._rpc = rpc
        self._hubs = hubs
        self._clock = clock
        self._silent_peers = SilentPeers()
        self._ended: dict[tuple[str, str], EndedRun] = {}
        self._answered: set[str] = set()
        self._waiting_since_s = 0.0
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="run-reporter", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to stop; unsent reports are lost.

        The registry can do without them, since other processes report runs of their own.
        """
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def ended(self, run: EndedRun) -> None:
        """Report a run during which its back end crashed."""
        with self._changed:
            self._start_waiting()
            if len(self._ended) < MAX_WAITING:
                self._ended[run.key, run.start] = run
            self._answered.discard(run.key)
            self._changed.notify_all()

    def answered(self, key: str) -> None:
        """Report that a suspect request got a complete response."""
        with self._changed:
            self._start_waiting()
            if len(self._answered) < MAX_WAITING:
                self._answered.add(key)
            self._changed.notify_all()

    def _start_waiting(self) -> None:
        if not self._ended and not self._answered:
            self._waiting_since_s = self._clock.monotonic_s()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (self._ended or self._answered or self._stopped):
                    self._changed.wait()
                if self._stopped:
                    return
                # More reports also notify the condition; only a stop ends the collecting early.
                self._changed.wait_for(lambda: self._stopped, COLLECT_S)
                command = ReportRuns(
                    ended=tuple(self._ended.values()), answered=tuple(sorted(self._answered))
                )
            try:
                is_sent = self._send(command)
            except Exception:
                # The thread must survive: nothing else reports the crashes that are seen here.
                logger.exception("reporting crashes of back ends failed")
                is_sent = False
            if not is_sent:
                self._drop_old()

    def _send(self, command: ReportRuns) -> bool:
        """Send a command to the control processes in turn; return whether one accepted it.

        Those that left their last call unanswered come last.
        """
        reason = "no control process is known"
        for hub in self._silent_peers.in_order(self._hubs()):
            reply = self._rpc.call(
                hub,
                MessageKind.PROPOSE,
                command,
                Done,
                group=REGISTRY_GROUP,
                timeout_s=CALL_TIMEOUT_S,
            )
            self._silent_peers.record(hub, reply, self._clock.monotonic_s())
            if not isinstance(reply, Failure):
                self._remove_sent(command)
                return True
            reason = f"{hub}: {reply.reason}"
            if self._stopped:
                return False
        logger.warning("crashes of back ends are not reported yet: {}", reason)
        return False

    def _remove_sent(self, command: ReportRuns) -> None:
        with self._changed:
            for run in command.ended:
                self._ended.pop((run.key, run.start), None)
            self._answered.difference_update(command.answered)
            self._waiting_since_s = self._clock.monotonic_s()

    def _drop_old(self) -> None:
        with self._changed:
            if self._clock.monotonic_s() - self._waiting_since_s > MAX_REPORT_AGE_S:
                logger.warning(
                    "dropping {} ended runs and {} complete responses, unreported for {:.0f} s",
                    len(self._ended),
                    len(self._answered),
                    MAX_REPORT_AGE_S,
                )
                self._ended.clear()
                self._answered.clear()
            self._changed.wait_for(lambda: self._stopped, RETRY_PAUSE_S)


__all__ = ["RunReporter"]
