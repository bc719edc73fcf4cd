"""Lots client: finds the leader, bounds the time, reports whether a call may have run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import client as client_module
from leverjunction.lots.client import LotsClient
from leverjunction.lots.commands import EndLot, LotAccepted, ReadResults, ResultsPage
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import (
    JOBS_GROUP,
    FleetView,
    GroupRecord,
    MemberRecord,
    MemberRole,
)
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import MessageKind

STORES = ("a:1", "b:1", "c:1")
Answer = Callable[[float], bytes | Failure]


class Stores:
    """Test double for the RPC client and for the registry follower.

    Attributes:
        answers: Replies of the stores, by the first letter of their address.
        asked: First letters of the addresses that were called, in order.
        given_s: Timeouts of these calls.
        kinds: Message kinds of these calls.
    """

    def __init__(self, **answers: Answer) -> None:
        self.answers = answers
        self.asked: list[str] = []
        self.given_s: list[float] = []
        self.kinds: list[MessageKind] = []

    def snapshot(self) -> Snapshot:
        group = GroupRecord(name=JOBS_GROUP, founders=STORES, voters=STORES)
        members = tuple(
            MemberRecord(name=address, role=MemberRole.STORE, address=address, zone=f"z{number}")
            for number, address in enumerate(STORES, 1)
        )
        return Snapshot(RouteTable(), FleetView(revision=1, groups=(group,), members=members))

    def call_raw(
        self, peer: str, kind: MessageKind, _body: bytes, *, group: str, timeout_s: float
    ) -> bytes | Failure:
        self.asked.append(peer[0])
        self.given_s.append(timeout_s)
        self.kinds.append(kind)
        return self.answers[peer[0]](timeout_s)


def accepting(_timeout_s: float) -> bytes:
    return encode_reply(LotAccepted("lot"))


def refusing(kind: FailureKind, execution: Execution, detail: str = "") -> Answer:
    failure = Failure(
        kind=kind, reason="r", step=Step.PROPOSING, execution=execution, detail=detail
    )
    return lambda _timeout_s: encode_reply(failure)


def silent(timeout_s: float) -> Failure:
    time.sleep(timeout_s)
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason="no answer",
        step=Step.RESPONDING,
        execution=Execution.UNKNOWN,
    )


NOT_LEADER = refusing(FailureKind.NOT_LEADER, Execution.NOT_RUN)


def call(client: LotsClient) -> LotAccepted | Failure:
    return asyncio.run(client.propose(EndLot("lot"), LotAccepted))


def make(stores: Stores) -> LotsClient:
    return LotsClient(stores, stores, "z2")  # type: ignore[arg-type]


def test_leader_is_found_and_called_first_afterwards() -> None:
    stores = Stores(a=NOT_LEADER, b=NOT_LEADER, c=accepting)
    client = make(stores)
    assert call(client) == LotAccepted("lot")
    assert call(client) == LotAccepted("lot")
    assert stores.asked == ["a", "b", "c", "c"]


def test_leader_named_by_a_store_is_called_next() -> None:
    stores = Stores(
        a=refusing(FailureKind.NOT_LEADER, Execution.NOT_RUN, "c:1"), b=NOT_LEADER, c=accepting
    )
    assert call(make(stores)) == LotAccepted("lot")
    assert stores.asked == ["a", "c"]


def test_stores_are_told_not_to_forward_calls() -> None:
    """A partitioned store delayed each call that it had to forward by more than a second."""
    stores = Stores(a=NOT_LEADER, b=accepting, c=accepting)
    assert call(make(stores)) == LotAccepted("lot")
    assert stores.kinds == [MessageKind.FORWARDED_PROPOSE] * 2


def test_silent_store_is_skipped_after_a_short_timeout() -> None:
    stores = Stores(a=silent, b=accepting, c=accepting)
    assert call(make(stores)) == LotAccepted("lot")
    # Checks the timeout given to the call, since the elapsed time depends on other processes too.
    assert stores.asked == ["a", "b"]
    assert stores.given_s[0] < 0.4


def test_call_is_retried_during_an_election() -> None:
    refusals = iter([NOT_LEADER] * 4)
    stores = Stores(
        a=NOT_LEADER,
        b=NOT_LEADER,
        c=lambda timeout_s: next(refusals, accepting)(timeout_s),
    )
    assert call(make(stores)) == LotAccepted("lot")
    assert len(stores.asked) == 15


@pytest.mark.parametrize(
    ("first", "execution"),
    [
        (NOT_LEADER, Execution.NOT_RUN),
        (refusing(FailureKind.TIMEOUT, Execution.UNKNOWN), Execution.UNKNOWN),
    ],
)
def test_call_that_may_have_run_is_not_reported_as_not_run(
    first: Answer, execution: Execution
) -> None:
    """A 503 response promises that nothing of the lot runs.

    Here the first store may have accepted it, although the others refuse.
    """
    reply = call(make(Stores(a=first, b=NOT_LEADER, c=NOT_LEADER)))
    assert isinstance(reply, Failure)
    assert reply.execution is execution


def test_not_found_is_returned_without_further_calls() -> None:
    stores = Stores(
        a=refusing(FailureKind.NOT_FOUND, Execution.NOT_RUN), b=NOT_LEADER, c=NOT_LEADER
    )
    reply = call(make(stores))
    assert isinstance(reply, Failure)
    assert (reply.kind, stores.asked) == (FailureKind.NOT_FOUND, ["a"])


def test_leader_that_refuses_a_call_is_called_first_afterwards() -> None:
    """Calls on lots that do not exist must not make each further call look for the leader."""
    not_found = refusing(FailureKind.NOT_FOUND, Execution.NOT_RUN)
    stores = Stores(a=NOT_LEADER, b=not_found, c=NOT_LEADER)
    client = make(stores)
    for _ in range(2):
        assert isinstance(call(client), Failure)
    assert stores.asked == ["a", "b", "b"]


def test_time_of_a_call_to_silent_stores_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(client_module, "CALL_BUDGET_S", 0.5)
    started_s = time.monotonic()
    reply = call(make(Stores(a=silent, b=silent, c=silent)))
    assert isinstance(reply, Failure)
    assert reply.execution is Execution.UNKNOWN
    assert time.monotonic() - started_s < 0.8


def page(_timeout_s: float) -> bytes:
    return encode_reply(ResultsPage(total=1, results=()))


@pytest.mark.parametrize(
    ("local", "asked"),
    [
        (page, ["b"]),
        (refusing(FailureKind.NOT_LEADER, Execution.NOT_RUN, "c:1"), ["b", "c"]),
        (silent, ["b", "a", "c"]),
    ],
    ids=["recent", "stale", "silent"],
)
def test_results_are_read_from_the_store_in_the_same_zone(local: Answer, asked: list[str]) -> None:
    """Guards against result pages crossing zones twice: to a store that forwards, and back."""
    stores = Stores(a=NOT_LEADER, b=local, c=page)
    query = ReadResults(lot_id="lot", after=0, most_bytes=1000)
    reply = asyncio.run(make(stores).query(query, ResultsPage))
    assert reply == ResultsPage(total=1, results=())
    assert stores.asked == asked
    assert stores.kinds[0] is MessageKind.RECENT_QUERY
