"""Tests of a gateway's calls on batch jobs while a store accepts connections and never answers."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack

import pytest
from silent_peer import AnsweringPeer, SilentPeer

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.client import CALL_BUDGET_S, THREADS, LotsClient
from leverjunction.lots.commands import EndLot, LotAccepted, ReadResults, ResultsPage
from leverjunction.registry.cluster import CLUSTER_KEY
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
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient

KINDS = (
    MessageKind.FORWARDED_PROPOSE,
    MessageKind.FORWARDED_QUERY,
    MessageKind.RECENT_QUERY,
)
CALLERS = 64
PAGE = ResultsPage(total=1, results=())
READ = ReadResults(lot_id="lot", after=0, most_bytes=1000)


class Follower:
    """Test double of the registry follower: knows stores in zones z1, z2 and z3."""

    def __init__(self, *stores: str) -> None:
        group = GroupRecord(name=JOBS_GROUP, founders=stores, voters=stores)
        members = tuple(
            MemberRecord(name=address, role=MemberRole.STORE, address=address, zone=f"z{number}")
            for number, address in enumerate(stores, 1)
        )
        self._snapshot = Snapshot(
            RouteTable(), FleetView(revision=1, groups=(group,), members=members)
        )

    def snapshot(self) -> Snapshot:
        return self._snapshot


class Store:
    """Stand-in of a store: leads, or refuses and names the leader that it knows.

    Attributes:
        leads: Whether it answers as the leader.
        leader: Address that it names otherwise.
        calls: Number of calls so far.
    """

    def __init__(self) -> None:
        self.leads = False
        self.leader = ""
        self.calls = 0
        self._lock = threading.Lock()

    def answer(self, envelope: Envelope) -> bytes:
        with self._lock:
            self.calls += 1
        if not self.leads:
            return encode_reply(
                Failure(
                    kind=FailureKind.NOT_LEADER,
                    reason="r",
                    step=Step.PROPOSING,
                    detail=self.leader,
                    execution=Execution.NOT_RUN,
                )
            )
        is_command = envelope.kind is MessageKind.FORWARDED_PROPOSE
        return encode_reply(LotAccepted("lot") if is_command else PAGE)


class Stores:
    """A silent store in zone z1 and two answering ones, the last of which may lead."""

    def __init__(self, stack: ExitStack) -> None:
        self.follower, self.leader = Store(), Store()
        self.silent = stack.enter_context(SilentPeer()).address
        addresses = [
            stack.enter_context(AnsweringPeer(store.answer, KINDS)).address
            for store in (self.follower, self.leader)
        ]
        self.leader_address = addresses[1]
        rpc = RpcClient(CLUSTER_KEY, 1)
        self.client = LotsClient(rpc, Follower(self.silent, *addresses), "z1")  # type: ignore[arg-type]

    def forget_leader(self) -> None:
        """Stop naming a leader, as stores do that stand for election."""
        self.follower.leader = self.leader.leader = ""

    def elect(self) -> None:
        self.leader.leads = True
        self.follower.leader = self.leader_address


async def timed(call: Callable[[], object]) -> tuple[object, float]:
    started_s = time.monotonic()
    reply = await call()  # type: ignore[misc]
    return reply, time.monotonic() - started_s


def test_pages_are_read_soon_while_the_store_of_the_zone_is_silent(
    paused_s: Callable[[], float],
) -> None:
    """Guards against callers that wait one after the other for the same silent store.

    The failure: each read of results began with the store in the gateway's zone. While that one
    stood still, each read held one of eight threads for 0.25 s, and callers queued for threads.
    """

    async def run(client: LotsClient) -> list[tuple[object, float]]:
        await client.query(READ, ResultsPage)
        calls = [timed(lambda: client.query(READ, ResultsPage)) for _ in range(CALLERS)]
        return await asyncio.gather(*calls)

    with ExitStack() as stack:
        stores = Stores(stack)
        stores.elect()
        paused_before_s = paused_s()
        outcomes = asyncio.run(run(stores.client))
        stood_still_s = paused_s() - paused_before_s
    assert [reply for reply, _ in outcomes] == [PAGE] * CALLERS
    # Before, the last of them waited for eight rounds of 0.25 s.
    assert max(took_s for _, took_s in outcomes) < 1.0 + stood_still_s


def test_callers_go_on_soon_after_the_stores_elect_another_leader(
    paused_s: Callable[[], float],
) -> None:
    """Guards against threads that wait for a silent leader after another one is elected.

    The failure: from its second round on a call waited 1.8 s for the silent leader. All threads
    did so at a time, and commands that came after the election waited for threads.
    """
    timeout_s, election_s = 0.6, 1.0

    async def run(stores: Stores) -> list[tuple[object, float]]:
        loop = asyncio.get_running_loop()
        loop.call_later(timeout_s, stores.forget_leader)
        loop.call_later(election_s, stores.elect)
        calls = [
            timed(lambda: stores.client.propose(EndLot("lot"), LotAccepted))
            for _ in range(2 * THREADS)
        ]
        return await asyncio.gather(*calls)

    with ExitStack() as stack:
        stores = Stores(stack)
        stores.follower.leader = stores.leader.leader = stores.silent
        paused_before_s = paused_s()
        outcomes = asyncio.run(run(stores))
        stood_still_s = paused_s() - paused_before_s
        asked = stores.follower.calls
    assert [reply for reply, _ in outcomes] == [LotAccepted("lot")] * (2 * THREADS)
    assert max(took_s for _, took_s in outcomes) < election_s + 1.0 + stood_still_s
    # One caller looks for the leader on behalf of all.
    assert asked < 2 * THREADS


def test_a_call_that_waited_too_long_for_a_thread_is_refused_and_not_sent(
    paused_s: Callable[[], float],
) -> None:
    """Guards against calls whose callers are gone: the time for a call includes its queueing.

    The failure: while no store led, each call kept a thread for 3 s that began only when it got
    the thread. With three times as many callers as threads the last was refused after 9 s, and it
    was sent after its caller had turned to another gateway.
    """

    async def run(client: LotsClient) -> list[tuple[object, float]]:
        calls = [
            timed(lambda: client.propose(EndLot("lot"), LotAccepted)) for _ in range(3 * THREADS)
        ]
        return await asyncio.gather(*calls)

    with ExitStack() as stack:
        stores = Stores(stack)
        paused_before_s = paused_s()
        outcomes = asyncio.run(run(stores.client))
        stood_still_s = paused_s() - paused_before_s
    assert max(took_s for _, took_s in outcomes) < CALL_BUDGET_S + 1.0 + stood_still_s
    replies = [reply for reply, _ in outcomes]
    assert all(isinstance(reply, Failure) for reply in replies)
    unsent = [
        reply
        for reply in replies
        if isinstance(reply, Failure) and reply.execution is Execution.NOT_RUN
    ]
    assert len(unsent) >= 2 * THREADS


@pytest.mark.parametrize("others", [0, 2])
def test_a_slow_leader_is_no_silent_one(others: int) -> None:
    """A leader that answers after the first timeout is still waited for, by many calls at a time.

    Guards against calls that look for another leader, one after the other, beside a slow one.
    """
    slow_s = 0.4
    leader = Store()
    leader.leads = True

    def answer_slowly(envelope: Envelope) -> bytes:
        time.sleep(slow_s)
        return leader.answer(envelope)

    async def call(client: LotsClient, number: int) -> object:
        await asyncio.sleep(0.1 * number)
        return await client.propose(EndLot("lot"), LotAccepted)

    async def run(client: LotsClient) -> list[object]:
        return list(await asyncio.gather(*(call(client, number) for number in range(40))))

    with ExitStack() as stack:
        slow = stack.enter_context(AnsweringPeer(answer_slowly, KINDS, threads=64)).address
        follower = Store()
        follower.leader = slow
        addresses = [
            stack.enter_context(AnsweringPeer(follower.answer, KINDS)).address
            for _ in range(others)
        ]
        rpc = RpcClient(CLUSTER_KEY, 1)
        client = LotsClient(rpc, Follower(*addresses, slow), "z9")  # type: ignore[arg-type]
        replies = asyncio.run(run(client))
    assert replies == [LotAccepted("lot")] * 40
    # Each call but those of the first moments is made once.
    assert leader.calls < 40 + 2 * THREADS
