"""The gateway's internal RPC: yield notices from other gateways, and its status."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.errors import Failure
from leverjunction.gateway.harvest import BatchHarvest
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import Acknowledged, GatewayState, YieldNotice
from leverjunction.wire.rpc_server import RpcEndpoint


def build_endpoint(
    cluster_key: bytes,
    incarnation: int,
    listener: BatchHarvest,
    counters: GatewayCounters,
    identity: Callable[[], GatewayState],
) -> RpcEndpoint:
    """Return the endpoint with a gateway's handlers."""

    def on_notice(envelope: Envelope, peer: str) -> bytes:
        notice = decode(envelope.body, YieldNotice, peer)
        if isinstance(notice, Failure):
            return encode_reply(notice)
        counters.yield_notices.labels("received").inc()
        listener.notice_arrived(notice.runner_id)
        return encode_reply(Acknowledged())

    def on_status(_envelope: Envelope, _peer: str) -> bytes:
        return encode_reply(identity())

    endpoint = RpcEndpoint(cluster_key, incarnation)
    endpoint.register(MessageKind.YIELD_NOTICE, on_notice)
    endpoint.register(MessageKind.STATUS, on_status)
    return endpoint
