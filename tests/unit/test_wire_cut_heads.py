"""Processes whose peer stops within the head of its reply: that is no reply, not an empty one.

The standard library takes the end of a connection for the end of a head.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import msgspec
import pytest
from tests.unit.raw_server import RawServer

from leverjunction.backends.machine_list import MachineListClient
from leverjunction.cli.jobs import _submit
from leverjunction.cli_client import OperatorClient
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.client import LotsClient
from leverjunction.lots.commands import EndLot, LotAccepted
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
from leverjunction.wire.envelope import Envelope, MessageKind, encode_envelope
from leverjunction.wire.messages import Acknowledged
from leverjunction.wire.rpc_client import RpcClient

KEY = b"cluster key of the tests"
REPLY = encode_envelope(Envelope(kind=MessageKind.PROPOSE, body=encode_reply(Acknowledged())), KEY)
ACCEPTED = encode_envelope(
    Envelope(kind=MessageKind.FORWARDED_PROPOSE, body=encode_reply(LotAccepted("lot"))), KEY
)
CUT_HEAD = b"HTTP/1.1 200 OK\r\nServer: peer\r\nContent-Le"


def whole(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nServer: peer\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.fixture
def cutting() -> Iterator[RawServer]:
    server = RawServer(lambda _head, _body: CUT_HEAD)
    yield server
    server.close()


@pytest.mark.parametrize("by_reset", [False, True])
def test_a_reply_that_is_cut_at_any_byte_is_no_reply(by_reset: bool) -> None:
    reply = whole(REPLY)
    cut = 0
    server = RawServer(lambda _head, _body: reply[:cut])
    server.by_reset = by_reset
    rpc = RpcClient(KEY, 1)
    taken = {}
    for cut in range(len(reply)):
        outcome = rpc.call(server.address, MessageKind.PROPOSE, Acknowledged(), Acknowledged)
        assert isinstance(outcome, Failure), cut
        assert outcome.execution is Execution.UNKNOWN, cut
        if outcome.kind is not FailureKind.TIMEOUT or outcome.step is not Step.RESPONDING:
            taken[cut] = outcome.reason
    cut = len(reply)
    server.by_reset = False
    last = rpc.call(server.address, MessageKind.PROPOSE, Acknowledged(), Acknowledged)
    server.close()
    assert not taken
    assert last == Acknowledged()


class Followed:
    """Test double for the registry follower: it lists the stores of the lots group."""

    def __init__(self, *addresses: str) -> None:
        group = GroupRecord(name=JOBS_GROUP, founders=addresses, voters=addresses)
        members = tuple(
            MemberRecord(name=address, role=MemberRole.STORE, address=address, zone="z1")
            for address in addresses
        )
        view = FleetView(revision=1, groups=(group,), members=members)
        self._snapshot = Snapshot(RouteTable(), view)

    def snapshot(self) -> Snapshot:
        return self._snapshot


def test_another_store_is_asked_after_a_reply_that_was_cut(cutting: RawServer) -> None:
    """The call ended there with "malformed message", though the next store would have taken it."""
    leader = RawServer(lambda _head, _body: whole(ACCEPTED))
    stores = Followed(cutting.address, leader.address)
    client = LotsClient(RpcClient(KEY, 1), stores, "z2")  # type: ignore[arg-type]
    reply = asyncio.run(client.propose(EndLot("lot"), LotAccepted))
    leader.close()
    assert reply == LotAccepted("lot")
    assert cutting.answered == 1


def test_a_machine_list_that_is_cut_within_its_head_did_not_arrive(cutting: RawServer) -> None:
    listed = MachineListClient(f"http://{cutting.address}/machines").read()
    assert isinstance(listed, Failure)
    assert listed.kind is FailureKind.UNREACHABLE


class Empty(msgspec.Struct):
    """A reply without content."""


def test_a_command_is_sent_to_the_next_address_after_a_head_that_was_cut(
    cutting: RawServer,
) -> None:
    other = RawServer(lambda _head, _body: whole(b"{}"))
    api = OperatorClient([cutting.address, other.address], "token")
    reply = api.get("/settings", Empty)
    other.close()
    assert isinstance(reply, Empty)


def test_events_that_stop_within_their_head_do_not_end_in_order(cutting: RawServer) -> None:
    events = [*OperatorClient([cutting.address], "token").events("/decisions", {})]
    assert [type(event) for event in events] == [Failure]


def test_a_submission_whose_answer_is_cut_within_its_head_may_have_been_taken(
    cutting: RawServer,
) -> None:
    outcome = _submit(cutting.address, "key", b"", "job", "")
    assert isinstance(outcome, Failure)
    assert outcome.kind is FailureKind.UNREACHABLE
    assert outcome.execution is Execution.UNKNOWN
