"""Leases asked for ahead, over state machines in this process."""

from __future__ import annotations

import random
from typing import TypeVar

import msgspec
import pytest
from tests.unit.batch_machine import DEADLINE_MS, START_MS, items, spec
from tests.unit.batch_support import LocalControl

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    Backlog,
    GetBacklog,
    GrantLease,
    JobView,
    Lease,
    OpenedJob,
    OpenJob,
)
from leverjunction.batch.lease_fetcher import CHECK_INTERVAL_S, Demand, LeaseFetcher
from leverjunction.batch.lease_polls import EMPTY_POLL_S, MAX_EMPTY_POLL_S, SAFETY_POLL_S
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.messages import PendingWork

T = TypeVar("T")


class LossyControl(LocalControl):
    """Applies commands, but the answers to the first grants get lost."""

    def __init__(self, lost_answers: int) -> None:
        super().__init__(lambda: START_MS)
        self.lost_answers = lost_answers
        self.queries = 0

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        self.queries += 1
        return super().query(group, query, reply_type, timeout_s)

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        reply = super().propose(group, command, reply_type, timeout_s)
        if isinstance(command, GrantLease) and self.lost_answers > 0:
            self.lost_answers -= 1
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="no answer",
                step=Step.PROPOSING,
                execution=Execution.UNKNOWN,
            )
        return reply


class Clock:
    """Time that the test moves."""

    now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return START_MS


class Fetching:
    """A fetcher with one job of items that may not repeat."""

    def __init__(self, lost_answers: int, *, has_job: bool = True) -> None:
        self.control = LossyControl(lost_answers)
        self.clock = Clock()
        self.leases: list[Lease] = []
        self.fetcher = LeaseFetcher(
            self.control,
            self.clock,
            random.Random(1),
            "gateway-1",
            lambda: [Demand("llm", ["m"], 8)],
            lambda _group, _service, lease, _asked_s: self.leases.append(lease),
        )
        self.fetcher.update(["jobs-0"])
        if has_job:
            self.add_job()

    def add_job(self) -> None:
        job = spec("jobs-0.a", item_count=8, may_repeat=False, deadline_ms=DEADLINE_MS)
        self.control.propose("jobs-0", OpenJob(job), OpenedJob)
        self.control.propose("jobs-0", AppendItems("jobs-0.a", 0, items(8)), JobView)
        self.control.propose("jobs-0", AcceptJob("jobs-0.a"), JobView)

    def open_leases(self) -> int:
        backlog = self.control.query("jobs-0", GetBacklog(), Backlog)
        assert isinstance(backlog, Backlog)
        return sum(len(ids) for ids in backlog.leases_by_owner.values())


@pytest.mark.parametrize("lost_answers", [1, 3])
def test_lost_answer_of_a_grant_is_asked_for_again(lost_answers: int) -> None:
    # Else its items, which nobody runs, would end as unknown with their lease.
    fetching = Fetching(lost_answers)
    for _ in range(lost_answers + 1):
        fetching.fetcher.fetch_once()
        fetching.clock.now_s += 10.0
    assert sum(len(lease.items) for lease in fetching.leases) == 8
    assert fetching.open_leases() == 1


def test_stop_asks_once_more_for_a_lost_grant() -> None:
    fetching = Fetching(1)
    fetching.fetcher.fetch_once()
    assert fetching.leases == []
    fetching.fetcher.stop()
    assert [len(lease.items) for lease in fetching.leases] == [8]


def test_a_lost_grant_after_an_idle_time_is_asked_for_again_soon() -> None:
    """Found by simulated kilimo seeds 1097 and 1104: its items waited out the backoff of polls."""
    fetching = Fetching(1, has_job=False)
    for _ in range(40):
        fetching.fetcher.fetch_once()
        fetching.clock.now_s += MAX_EMPTY_POLL_S
    fetching.add_job()
    fetching.fetcher.fetch_once()
    assert fetching.open_leases() == 1
    assert fetching.leases == []
    fetching.clock.now_s += EMPTY_POLL_S
    fetching.fetcher.fetch_once()
    assert [len(lease.items) for lease in fetching.leases] == [8]


def test_an_idle_fleet_is_hardly_polled_and_work_is_begun_at_the_hubs_word() -> None:
    fetching = Fetching(0, has_job=False)
    fetching.fetcher.update_pending([PendingWork("jobs-0", [])])
    for _ in range(600):
        fetching.fetcher.fetch_once()
        fetching.clock.now_s += CHECK_INTERVAL_S
    assert fetching.control.queries <= 60.0 / (SAFETY_POLL_S / 2) + 1
    fetching.add_job()
    fetching.fetcher.update_pending([PendingWork("jobs-0", ["llm"])])
    fetching.fetcher.fetch_once()
    assert [len(lease.items) for lease in fetching.leases] == [8]


def test_work_of_which_the_word_was_lost_is_found() -> None:
    fetching = Fetching(0, has_job=False)
    fetching.fetcher.update_pending([PendingWork("jobs-0", [])])
    fetching.fetcher.fetch_once()
    fetching.add_job()
    fetching.clock.now_s += SAFETY_POLL_S
    fetching.fetcher.fetch_once()
    assert [len(lease.items) for lease in fetching.leases] == [8]
