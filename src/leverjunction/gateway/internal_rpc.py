"""Handlers of the gateway's internal RPC: notices from other gateways, and its status.

A yield notice tells the owner of a runner that another gateway sends online requests there, so
that the owner's batch work yields. An evidence notice tells of requests that crash engines.
"""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.crashing_requests import CrashingRequests
from leverjunction.gateway.harvest import BatchHarvest
from leverjunction.observability.counters import GatewayCounters
from leverjunction.quarantine.records import EvidenceNotice, EvidenceReply
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import Acknowledged, GatewayState, YieldNotice
from leverjunction.wire.rpc_server import RpcEndpoint

MAX_EVIDENCE_BYTES = 1_000_000
"""Maximum size of an evidence notice; the longest valid one is smaller."""


def build_endpoint(
    cluster_key: bytes,
    incarnation: int,
    harvest: BatchHarvest,
    counters: GatewayCounters,
    identity: Callable[[], GatewayState],
    crashing_requests: CrashingRequests,
) -> RpcEndpoint:
    """Return the RPC endpoint with a gateway's handlers.

    Args:
        cluster_key: Secret that authenticates messages within the cluster.
        incarnation: Start time of this process in milliseconds.
        harvest: Receives the yield notices.
        counters: Metrics of the gateway.
        identity: Returns this gateway's current state.
        crashing_requests: Receives the evidence notices.
    """

    def on_notice(envelope: Envelope, peer: str) -> bytes:
        notice = decode(envelope.body, YieldNotice, peer)
        if isinstance(notice, Failure):
            return encode_reply(notice)
        counters.yield_notices.labels("received").inc()
        harvest.notice_arrived(notice.runner_id)
        return encode_reply(Acknowledged())

    def on_status(_envelope: Envelope, _peer: str) -> bytes:
        return encode_reply(identity())

    def on_evidence(envelope: Envelope, peer: str) -> bytes:
        notice = _decode_evidence(envelope.body, peer)
        if isinstance(notice, Failure):
            counters.crash_evidence.labels("refused").inc()
            return encode_reply(notice)
        counters.crash_evidence.labels("received").inc()
        known = crashing_requests.merge(notice.records)
        if notice.wants_all:
            known = crashing_requests.newest_records()
        return encode_reply(EvidenceReply(records=tuple(known)))

    endpoint = RpcEndpoint(cluster_key, incarnation)
    endpoint.register(MessageKind.YIELD_NOTICE, on_notice)
    endpoint.register(MessageKind.STATUS, on_status)
    endpoint.register(MessageKind.CRASH_EVIDENCE, on_evidence)
    return endpoint


def _decode_evidence(body: bytes, peer: str) -> EvidenceNotice | Failure:
    if len(body) > MAX_EVIDENCE_BYTES:
        return Failure(
            kind=FailureKind.TOO_LARGE,
            reason=f"evidence notice of {len(body)} bytes, at most {MAX_EVIDENCE_BYTES} are read",
            step=Step.DECODING,
            peer=peer,
            execution=Execution.NOT_RUN,
        )
    return decode(body, EvidenceNotice, peer)
