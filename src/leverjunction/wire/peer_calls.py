"""Runs blocking calls to many peers on few threads, so that silent peers do not delay the others.

Calls to one peer run one after the other: a peer that accepts connections and never answers keeps
one thread. Peers whose last call failed together keep a part of the threads only.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure

FAILING_SHARE = 0.5
"""Share of the threads that calls to peers whose last call failed may keep at a time."""

FAILING_S = 60.0
"""Time for which a peer without further calls is remembered as failing."""

Call = Callable[[], object]
"""Makes one call to a peer, and returns a failure if it failed."""


class PeerCalls:
    """Queues calls by peer. Thread-safe.

    Args:
        pool: Runs the calls; its owner stops it.
        threads: Number of the pool's threads.
        clock: Source of monotonic time.
        max_wait_s: Time after which a call that waits is dropped, since it is of no use any more.
    """

    def __init__(self, pool: Executor, threads: int, clock: Clock, max_wait_s: float) -> None:
        self._pool = pool
        self._clock = clock
        self._max_wait_s = max_wait_s
        self._max_failing = max(1, int(threads * FAILING_SHARE))
        self._lock = threading.Lock()
        self._queues: dict[str, deque[tuple[float, Call]]] = {}
        """Calls that wait, by peer; a peer with a call under way, or with a turn, has an entry."""
        self._failing: dict[str, float] = {}
        """Time of the last call, by peer, of those whose last call failed."""
        self._parked: deque[str] = deque()
        """Failing peers that wait for one of the threads that such peers may keep."""
        self._failing_turns = 0

    def submit(self, peer: str, call: Call) -> None:
        """Run a call to a peer after those that wait for the same peer."""
        entry = (self._clock.monotonic_s(), call)
        with self._lock:
            queue = self._queues.get(peer)
            if queue is not None:
                queue.append(entry)
                return
            self._queues[peer] = deque([entry])
            may_run = self._begin_turn(peer)
        if may_run:
            self._start(peer)

    def _begin_turn(self, peer: str) -> bool:
        """Return whether a peer may get a thread now; else it is parked. Needs the lock."""
        if peer not in self._failing:
            return True
        if self._failing_turns >= self._max_failing:
            self._parked.append(peer)
            return False
        self._failing_turns += 1
        return True

    def _start(self, peer: str) -> None:
        try:
            self._pool.submit(self._run_turn, peer)
        except RuntimeError:
            # The pool has been stopped, and with it everything that waits.
            logger.debug("not calling {}: the calls are stopped", peer)

    def _run_turn(self, peer: str) -> None:
        """Run the next call to a peer, then give the thread to the next peer."""
        with self._lock:
            was_failing = peer in self._failing
            call = self._next_call(peer)
        has_failed = was_failing if call is None else _fails(peer, call)
        with self._lock:
            if has_failed:
                self._failing[peer] = self._clock.monotonic_s()
            else:
                self._failing.pop(peer, None)
            if was_failing:
                self._failing_turns -= 1
            due = self._due_peers(peer)
        for following in due:
            self._start(following)

    def _next_call(self, peer: str) -> Call | None:
        """Take the next call to a peer, without those that waited too long. Needs the lock."""
        queue = self._queues[peer]
        now_s = self._clock.monotonic_s()
        dropped = 0
        while queue and now_s - queue[0][0] > self._max_wait_s:
            queue.popleft()
            dropped += 1
        if dropped:
            text = "dropped {} calls to {} that waited for over {:g} s"
            logger.debug(text, dropped, peer, self._max_wait_s)
        return queue.popleft()[1] if queue else None

    def _due_peers(self, peer: str) -> list[str]:
        """Return the peers whose turn begins when that of a peer has ended. Needs the lock."""
        due = []
        if not self._queues[peer]:
            del self._queues[peer]
            self._forget_failures()
        elif self._begin_turn(peer):
            due.append(peer)
        while self._parked and self._failing_turns < self._max_failing:
            self._failing_turns += 1
            due.append(self._parked.popleft())
        return due

    def _forget_failures(self) -> None:
        """Forget the failures of peers that are not called any more. Needs the lock."""
        before_s = self._clock.monotonic_s() - FAILING_S
        old = [peer for peer, at_s in self._failing.items() if at_s < before_s]
        for peer in old:
            if peer not in self._queues:
                del self._failing[peer]


def _fails(peer: str, call: Call) -> bool:
    try:
        return isinstance(call(), Failure)
    except Exception:
        # Nobody reads the result of a pool's task, and other calls to the peer wait for their turn.
        logger.exception("a call to {} failed", peer)
        return True


__all__ = ["PeerCalls"]
