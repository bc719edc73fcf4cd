"""Runs blocking calls to many peers on few threads, so that silent peers do not delay the others.

A peer that accepts connections and never answers keeps one thread: only a peer that has just
answered is called by several. Peers whose last call failed together keep a part of the threads.
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
        per_peer: Limit of calls under way to a peer that answers.
    """

    def __init__(
        self, pool: Executor, threads: int, clock: Clock, max_wait_s: float, per_peer: int = 1
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._max_wait_s = max_wait_s
        self._per_peer = per_peer
        self._max_failing = max(1, int(threads * FAILING_SHARE))
        self._lock = threading.Lock()
        self._queues: dict[str, deque[tuple[float, Call]]] = {}
        """Calls that wait, by peer."""
        self._turns: dict[str, int] = {}
        """Turns by peer: each is a thread that makes one call, or waits for its start."""
        self._failing: dict[str, float] = {}
        """Time of the last call, by peer, of those whose last call failed."""
        self._answering: set[str] = set()
        """Peers with calls that wait or are under way, whose last call did not fail."""
        self._parked: deque[str] = deque()
        """Peers of turns that wait for one of the threads that failing peers may keep."""
        self._failing_turns = 0

    def submit(self, peer: str, call: Call) -> None:
        """Run a call to a peer after those that wait for the same peer."""
        with self._lock:
            queue = self._queues.setdefault(peer, deque())
            queue.append((self._clock.monotonic_s(), call))
            due = self._due_turns(peer)
        self._start(due)

    def _due_turns(self, peer: str) -> list[tuple[str, bool]]:
        """Return the turns that begin now: peers, and whether they count as failing ones.

        Needs the lock.
        """
        due = []
        is_failing = peer in self._failing
        limit = self._per_peer if peer in self._answering else 1
        limit = min(limit, len(self._queues.get(peer, ())))
        while self._turns.get(peer, 0) < limit:
            self._turns[peer] = self._turns.get(peer, 0) + 1
            if is_failing:
                self._parked.append(peer)
            else:
                due.append((peer, False))
        while self._parked and self._failing_turns < self._max_failing:
            self._failing_turns += 1
            due.append((self._parked.popleft(), True))
        return due

    def _start(self, turns: list[tuple[str, bool]]) -> None:
        for peer, is_failing in turns:
            try:
                self._pool.submit(self._run_turn, peer, is_failing)
            except RuntimeError:
                # The pool has been stopped, and with it everything that waits.
                logger.debug("not calling {}: the calls are stopped", peer)

    def _run_turn(self, peer: str, is_failing: bool) -> None:
        """Run the next call to a peer, then give the thread to the next turn."""
        with self._lock:
            # A call to the peer may have failed since the turn began: another turn is due then.
            is_outdated = not is_failing and peer in self._failing
            call = None if is_outdated else self._next_call(peer)
        has_failed = None if call is None else _fails(peer, call)
        with self._lock:
            if has_failed is not None:
                self._record(peer, has_failed=has_failed)
            if is_failing:
                self._failing_turns -= 1
            self._end_turn(peer)
            due = self._due_turns(peer)
        self._start(due)

    def _record(self, peer: str, *, has_failed: bool) -> None:
        if has_failed:
            self._failing[peer] = self._clock.monotonic_s()
            self._answering.discard(peer)
        else:
            self._failing.pop(peer, None)
            self._answering.add(peer)

    def _end_turn(self, peer: str) -> None:
        """Forget what is not needed any more. Needs the lock."""
        self._turns[peer] -= 1
        if self._turns[peer] == 0 and not self._queues[peer]:
            del self._turns[peer]
            del self._queues[peer]
            self._answering.discard(peer)
        before_s = self._clock.monotonic_s() - FAILING_S
        for old in [item for item, at_s in self._failing.items() if at_s < before_s]:
            if old not in self._turns:
                del self._failing[old]

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


def _fails(peer: str, call: Call) -> bool:
    try:
        return isinstance(call(), Failure)
    except Exception:
        # Nobody reads the result of a pool's task, and other calls to the peer wait for their turn.
        logger.exception("a call to {} failed", peer)
        return True


__all__ = ["PeerCalls"]
