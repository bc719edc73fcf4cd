"""Handlers of the gateway's internal RPC: yield notices from other gateways, and its status.

A yield notice tells the owner of a runner that another gateway sends online requests there, so
that the owner's batch work yields.
"""

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
    harvest: BatchHarvest,
    counters: GatewayCounters,
    identity: Callable[[], GatewayState],
) -> RpcEndpoint:
    """Return the RPC endpoint with a gateway's handlers.

    Args:
        cluster_key: Secret that authenticates messages within the cluster.
        incarnation: Start time of this process in milliseconds.
        harvest: Receives the yield notices.
        counters: Metrics of the gateway.
        identity: Returns this gateway's current state.
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

    endpoint = RpcEndpoint(cluster_key, incarnation)
    endpoint.register(MessageKind.YIELD_NOTICE, on_notice)
    endpoint.register(MessageKind.STATUS, on_status)
    return endpoint
