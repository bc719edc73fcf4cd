"""Tests of calls to many peers on few threads. The pool is run by hand, without threads."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, cast

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.peer_calls import FAILING_S, PeerCalls

FAILED = Failure(
    kind=FailureKind.TIMEOUT, reason="r", step=Step.RESPONDING, execution=Execution.NOT_RUN
)
MAX_WAIT_S = 5.0


class Clock:
    now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return 0


class Pool:
    """Holds what would run on threads until it is run by hand."""

    def __init__(self) -> None:
        self.tasks: list[Callable[[], None]] = []

    def submit(self, task: Callable[..., None], *arguments: object) -> None:
        self.tasks.append(lambda: task(*arguments))

    def run_next(self) -> None:
        self.tasks.pop(0)()

    def run_all(self) -> None:
        while self.tasks:
            self.run_next()


class Peers:
    """Calls to peers that are named by a letter.

    Attributes:
        called: Names of the calls that were made.
        failing: Peers whose calls fail.
    """

    def __init__(self, threads: int = 4, per_peer: int = 1) -> None:
        self.pool, self.clock = Pool(), Clock()
        self.called: list[str] = []
        self.failing: set[str] = set()
        pool = cast(Executor, self.pool)
        self.calls = PeerCalls(pool, threads, self.clock, MAX_WAIT_S, per_peer)

    def submit(self, *names: str) -> None:
        for name in names:
            self.calls.submit(name[0], lambda name=name: self._call(name))  # type: ignore[misc]

    def _call(self, name: str) -> Any:
        self.called.append(name)
        return FAILED if name[0] in self.failing else None


def test_a_peer_keeps_one_thread() -> None:
    peers = Peers()
    peers.submit("a1", "a2", "a3", "b1")
    assert len(peers.pool.tasks) == 2
    peers.pool.run_all()
    assert peers.called == ["a1", "b1", "a2", "a3"]


def test_failing_peers_keep_half_of_the_threads() -> None:
    peers = Peers(threads=4)
    peers.failing = set("abcd")
    peers.submit("a1", "b1", "c1", "d1")
    peers.pool.run_all()
    peers.submit("a2", "b2", "c2", "d2")
    assert len(peers.pool.tasks) == 2
    peers.submit("e1")
    assert len(peers.pool.tasks) == 3
    peers.pool.run_all()
    assert sorted(peers.called[4:]) == ["a2", "b2", "c2", "d2", "e1"]


def test_a_peer_that_answers_again_needs_no_turn_of_the_failing_ones() -> None:
    peers = Peers(threads=2)
    peers.failing = {"a", "b"}
    peers.submit("a1", "b1")
    peers.pool.run_all()
    peers.failing = set()
    peers.submit("a2", "b2")
    assert len(peers.pool.tasks) == 1
    peers.pool.run_all()
    peers.submit("a3", "b3")
    assert len(peers.pool.tasks) == 2


def test_a_call_that_waited_too_long_is_dropped() -> None:
    peers = Peers()
    peers.submit("a1")
    peers.clock.now_s = MAX_WAIT_S - 1
    peers.submit("a2")
    peers.clock.now_s = MAX_WAIT_S + 1
    peers.pool.run_all()
    assert peers.called == ["a2"]


def test_calls_whose_time_is_over_do_not_keep_others_from_their_turn() -> None:
    peers = Peers()
    peers.submit("a1")
    peers.clock.now_s = MAX_WAIT_S + 1
    peers.pool.run_all()
    assert peers.called == []
    peers.submit("a2")
    peers.pool.run_all()
    assert peers.called == ["a2"]


def test_an_exception_does_not_stop_the_calls_to_a_peer() -> None:
    peers = Peers()

    def raises() -> None:
        raise ValueError("of the test")

    peers.calls.submit("a", raises)
    peers.submit("a2")
    peers.pool.run_all()
    assert peers.called == ["a2"]


def test_a_failing_peer_that_is_not_called_is_forgotten() -> None:
    peers = Peers(threads=2)
    peers.failing = {"a", "b"}
    peers.submit("a1", "b1")
    peers.pool.run_all()
    peers.clock.now_s = FAILING_S + 1
    peers.submit("c1")
    peers.pool.run_all()
    peers.submit("a2", "b2")
    assert len(peers.pool.tasks) == 2


def test_a_peer_that_answers_is_called_by_several_threads() -> None:
    peers = Peers(threads=8, per_peer=3)
    peers.submit("a1", "a2", "a3", "a4", "a5")
    assert len(peers.pool.tasks) == 1
    peers.pool.run_next()
    assert len(peers.pool.tasks) == 3
    peers.pool.run_all()
    assert peers.called == ["a1", "a2", "a3", "a4", "a5"]


def test_a_peer_that_fails_keeps_one_of_several_threads_until_it_answers() -> None:
    peers = Peers(threads=8, per_peer=3)
    peers.submit("a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
    peers.pool.run_next()
    peers.failing = {"a"}
    peers.pool.run_next()
    assert peers.called == ["a1", "a2"]
    # The turns that began before the failure make no call, so that others get their threads.
    for _ in range(2):
        peers.pool.run_next()
    assert peers.called == ["a1", "a2"]
    assert len(peers.pool.tasks) == 1
    peers.failing = set()
    peers.pool.run_next()
    assert len(peers.pool.tasks) == 3
    peers.pool.run_all()
    assert peers.called == [f"a{number}" for number in range(1, 9)]
