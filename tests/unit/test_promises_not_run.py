"""No failure says "not run" of a call that may have run: it would be passed on as a promise."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster
from tests.unit.test_lots_client import Stores, call, make, refusing, silent

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import LotAccepted
from leverjunction.platform import gateway_calls
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from testbed.routed import HOST, make_route

KEY = b"cluster key of the tests"
WRITES = [
    MessageKind.PROPOSE,
    MessageKind.FORWARDED_PROPOSE,
    MessageKind.EXCHANGE,
    MessageKind.REPORT_ORIGINS,
]
ONE_ITEM = b'{"Items":[{"Id":"i","Path":"/batch/i","Headers":{},"Body":"","Tokens":1}]}'


def fail(_envelope: Envelope, _peer: str) -> bytes:
    raise RuntimeError("the disk is full")


@pytest.mark.parametrize("kind", WRITES)
def test_a_handler_that_fails_does_not_promise_that_nothing_was_written(kind: MessageKind) -> None:
    """Only proposals that were not forwarded counted as calls that write."""
    endpoint = RpcEndpoint(KEY, incarnation=1)
    endpoint.register(kind, fail)
    reply = endpoint.dispatch(encode_envelope(Envelope(kind=kind), KEY), "peer")
    envelope = decode_envelope(reply, KEY, "peer")
    assert isinstance(envelope, Envelope)
    failure = decode_reply(envelope.body, LotAccepted)
    assert isinstance(failure, Failure)
    assert failure.execution is Execution.UNKNOWN


@pytest.mark.parametrize("body", [b"no reply", b'{"type":"result","result":{"other":1}}'])
def test_a_reply_that_cannot_be_read_leaves_open_whether_its_call_ran(body: bytes) -> None:
    failure = decode_reply(body, LotAccepted)
    assert isinstance(failure, Failure)
    assert failure.execution is Execution.UNKNOWN


def test_a_damaged_reply_leaves_open_whether_its_call_ran() -> None:
    other_cluster = RpcEndpoint(b"another cluster's key", incarnation=1)
    server = RpcServer("127.0.0.1", 0, other_cluster, threads=1)
    server.start()
    failure = RpcClient(KEY, 1).call_raw(server.address, MessageKind.PROPOSE, b"command")
    server.stop()
    assert isinstance(failure, Failure)
    assert failure.execution is Execution.UNKNOWN


def test_a_leader_whose_disk_fails_does_not_promise_that_its_proposals_are_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A proposal that waits may already be replicated; one that comes later is not."""
    cluster = Cluster(tmp_path, 1)
    cluster.start_all()
    cluster.propose(b"a=1")
    leader = cluster.leader()
    engine = leader._engine
    assert engine is not None

    def full_disk() -> None:
        raise sqlite3.OperationalError("database or disk is full")

    monkeypatch.setattr(engine.store, "commit", full_disk)
    waiting = leader.propose(b"a=2", 5.0)
    later = leader.propose(b"a=3", 5.0)
    monkeypatch.undo()
    cluster.stop_all()
    assert isinstance(waiting, Failure) and isinstance(later, Failure)
    assert (waiting.step, later.step) == (Step.STORING, Step.STORING)
    assert (waiting.execution, later.execution) == (Execution.UNKNOWN, Execution.NOT_RUN)


def test_another_store_is_asked_when_the_disk_of_one_fails() -> None:
    stopped = Failure(
        kind=FailureKind.INTERNAL,
        reason="the disk is full",
        step=Step.STORING,
        execution=Execution.UNKNOWN,
    )
    stores = Stores(
        a=lambda _s: stopped,
        b=refusing(FailureKind.NOT_LEADER, Execution.NOT_RUN),
        c=refusing(FailureKind.RATE_LIMITED, Execution.NOT_RUN),
    )
    reply = call(make(stores))
    assert stores.asked == ["a", "b", "c"]
    assert isinstance(reply, Failure)
    assert reply.execution is Execution.UNKNOWN


def test_a_refusal_after_a_lost_reply_is_no_promise() -> None:
    """The call whose reply was lost may reach its store after the one that was refused."""
    full = refusing(FailureKind.RATE_LIMITED, Execution.NOT_RUN)
    reply = call(make(Stores(a=silent, b=full, c=full)))
    assert isinstance(reply, Failure)
    assert reply.execution is Execution.UNKNOWN


@pytest.mark.parametrize(
    ("kind", "execution", "status"),
    [
        (FailureKind.RATE_LIMITED, Execution.NOT_RUN, 429),
        (FailureKind.NO_QUORUM, Execution.NOT_RUN, 503),
        (FailureKind.RATE_LIMITED, Execution.UNKNOWN, 504),
        (FailureKind.INTERNAL, Execution.UNKNOWN, 504),
        (FailureKind.CORRUPT, Execution.UNKNOWN, 504),
    ],
)
def test_a_batch_job_that_may_have_been_taken_gets_no_promise(
    kind: FailureKind, execution: Execution, status: int
) -> None:
    client = make(Stores(**dict.fromkeys("abc", refusing(kind, execution))))
    headers = [(b"Host", HOST.encode()), (b"Leverjunction-Request-Id", b"lot")]
    request = CallerRequest(b"POST", b"/batch/lot", headers, ONE_ITEM, 0.0)
    route = make_route(RouteClass.BATCH)
    response = asyncio.run(gateway_calls._submit(client, request, route, ""))
    assert response.status == status


def test_a_failure_has_to_say_whether_its_request_ran() -> None:
    with pytest.raises(TypeError):
        Failure(kind=FailureKind.INTERNAL, reason="r", step=Step.STORING)  # type: ignore[call-arg]
