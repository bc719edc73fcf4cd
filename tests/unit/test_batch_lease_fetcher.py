"""Tests of leasing ahead, with in-process state machines."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
import pytest
from tests.unit.batch_machine import DEADLINE_MS, START_MS, items, spec
from tests.unit.batch_support import LocalControl

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    Backlog,
    CompletedItems,
    CompleteItems,
    GetBacklog,
    GrantLease,
    JobView,
    Lease,
    OpenedJob,
    OpenJob,
    ProvenRun,
)
from leverjunction.batch.lease_fetcher import (
    CALL_TIMEOUT_S,
    CHECK_INTERVAL_S,
    Demand,
    LeaseFetcher,
)
from leverjunction.batch.lease_polls import EMPTY_POLL_S, MAX_EMPTY_POLL_S, SAFETY_POLL_S
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.messages import PendingWork

T = TypeVar("T")


class ReplyLosingControl(LocalControl):
    """Control client that applies commands, but loses its first replies to grants."""

    def __init__(self, lost_replies: int) -> None:
        super().__init__(lambda: START_MS)
        self.lost_replies = lost_replies
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
        if isinstance(command, GrantLease) and self.lost_replies > 0:
            self.lost_replies -= 1
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="no answer",
                step=Step.PROPOSING,
                execution=Execution.UNKNOWN,
            )
        return reply


class ManualClock:
    """Clock that the test advances."""

    now_s = 0.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return START_MS


class FetcherSetup:
    """A lease fetcher and, unless ``has_job`` is false, a job of items that may not repeat."""

    def __init__(self, lost_replies: int, *, has_job: bool = True) -> None:
        self.control = ReplyLosingControl(lost_replies)
        self.clock = ManualClock()
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


@pytest.mark.parametrize("lost_replies", [1, 3])
def test_grant_whose_reply_is_lost_is_requested_again(lost_replies: int) -> None:
    # Otherwise nobody would run its items, and their outcome would be unknown when the lease ends.
    setup = FetcherSetup(lost_replies)
    for _ in range(lost_replies + 1):
        setup.fetcher.fetch_once()
        setup.clock.now_s += 10.0
    assert sum(len(lease.items) for lease in setup.leases) == 8
    assert setup.open_leases() == 1


def test_stop_requests_a_grant_without_a_reply_once_more() -> None:
    setup = FetcherSetup(1)
    setup.fetcher.fetch_once()
    assert setup.leases == []
    setup.fetcher.stop()
    assert [len(lease.items) for lease in setup.leases] == [8]


def test_a_lost_grant_after_an_idle_time_is_requested_again_soon() -> None:
    """Its items must not wait for the backoff of empty polls.

    Found by the simulator (scenario kilimo, seeds 1097 and 1104).
    """
    setup = FetcherSetup(1, has_job=False)
    for _ in range(40):
        setup.fetcher.fetch_once()
        setup.clock.now_s += MAX_EMPTY_POLL_S
    setup.add_job()
    setup.fetcher.fetch_once()
    assert setup.open_leases() == 1
    assert setup.leases == []
    setup.clock.now_s += EMPTY_POLL_S
    setup.fetcher.fetch_once()
    assert [len(lease.items) for lease in setup.leases] == [8]


def test_idle_groups_are_polled_rarely_and_reported_work_is_leased_immediately() -> None:
    setup = FetcherSetup(0, has_job=False)
    setup.fetcher.update_pending([PendingWork("jobs-0", [])])
    for _ in range(600):
        setup.fetcher.fetch_once()
        setup.clock.now_s += CHECK_INTERVAL_S
    assert setup.control.queries <= 60.0 / (SAFETY_POLL_S / 2) + 1
    setup.add_job()
    setup.fetcher.update_pending([PendingWork("jobs-0", ["llm"])])
    setup.fetcher.fetch_once()
    assert [len(lease.items) for lease in setup.leases] == [8]


def test_work_is_found_although_the_report_of_it_was_lost() -> None:
    setup = FetcherSetup(0, has_job=False)
    setup.fetcher.update_pending([PendingWork("jobs-0", [])])
    setup.fetcher.fetch_once()
    setup.add_job()
    setup.clock.now_s += SAFETY_POLL_S
    setup.fetcher.fetch_once()
    assert [len(lease.items) for lease in setup.leases] == [8]


def test_items_of_a_job_that_is_leased_to_another_owner_are_requested_once() -> None:
    """Each empty grant is an entry of the group's log, of each gateway that polls."""
    setup = FetcherSetup(0)
    grants: list[str] = []

    def record(command: msgspec.Struct) -> None:
        if isinstance(command, GrantLease):
            grants.append(command.owner)

    setup.control.refuse = record
    other = GrantLease("other", "gateway-2", "llm", ["m"], 4)
    leased = setup.control.propose("jobs-0", other, Lease)
    assert isinstance(leased, Lease)
    for _ in range(20):
        setup.fetcher.fetch_once()
        setup.clock.now_s += MAX_EMPTY_POLL_S
    assert grants == ["gateway-2", "gateway-1"]
    assert setup.leases == []
    item = leased.items[0]
    proven = ProvenRun(job_id=item.job_id, index=item.index, attempt=item.attempt)
    setup.control.propose(
        "jobs-0", CompleteItems("other", [], proven_runs=[proven]), CompletedItems
    )
    setup.fetcher.fetch_once()
    assert [len(lease.items) for lease in setup.leases] == [4]


class OneSilentGroup(LocalControl):
    """Control client whose calls on group jobs-0 last until their timeout."""

    def __init__(self) -> None:
        super().__init__(lambda: START_MS)
        self.asked = threading.Event()

    def _wait(self, group: str, timeout_s: float) -> Failure | None:
        if group != "jobs-0":
            return None
        self.asked.set()
        time.sleep(timeout_s)
        return Failure(
            kind=FailureKind.TIMEOUT,
            reason="no answer",
            step=Step.QUERYING,
            execution=Execution.NOT_RUN,
        )

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        return self._wait(group, timeout_s) or super().query(group, query, reply_type, timeout_s)

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        return self._wait(group, timeout_s) or super().propose(
            group, command, reply_type, timeout_s
        )


def test_items_of_a_group_are_leased_while_another_group_has_no_leader(
    paused_s: Callable[[], float],
) -> None:
    """Guards against leases that wait for a group whose calls time out.

    The failure: one thread asked all groups in turn. While the leader of one stood still, each
    round waited 3 s for it, and the items of all other groups were leased once in that time.
    """
    control = OneSilentGroup()
    leased = threading.Event()
    fetcher = LeaseFetcher(
        control,
        SystemClock(),
        random.Random(1),
        "gateway-1",
        lambda: [Demand("llm", ["m"], 8)],
        lambda _group, _service, _lease, _asked_s: leased.set(),
    )
    fetcher.update(["jobs-0", "jobs-1"])
    fetcher.start()
    assert control.asked.wait(10)
    # The first call has failed by then, and the next one is under way.
    time.sleep(CALL_TIMEOUT_S + 1.5 * EMPTY_POLL_S)
    longest_s = 0.0
    for name in ("a", "b", "c"):
        leased.clear()
        job = spec(f"jobs-1.{name}", item_count=8, deadline_ms=DEADLINE_MS)
        control.propose("jobs-1", OpenJob(job), OpenedJob)
        control.propose("jobs-1", AppendItems(job.job_id, 0, items(8)), JobView)
        started_s, paused_before_s = time.monotonic(), paused_s()
        control.propose("jobs-1", AcceptJob(job.job_id), JobView)
        fetcher.update_pending([PendingWork("jobs-1", ["llm"])])
        assert leased.wait(10)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        longest_s = max(longest_s, took_s)
        fetcher.update_pending([])
        time.sleep(EMPTY_POLL_S)
    fetcher.stop()
    assert longest_s < CALL_TIMEOUT_S / 2
