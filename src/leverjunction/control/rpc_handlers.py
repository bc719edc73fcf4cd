"""The internal RPC endpoint of a control process, with a handler for each kind of message."""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.clock import steady_s
from leverjunction.consensus.group import GroupReplica
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub
from leverjunction.control.lease_expiry import LeaseExpiry
from leverjunction.control.messages import HubSync, RenewLeases
from leverjunction.control.metrics import ControlMetrics
from leverjunction.control.quorum import serve_local_query
from leverjunction.control.raft_transport import serve_raft
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode, encode_reply, is_failure_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import ExchangeRequest
from leverjunction.wire.rpc_server import RpcEndpoint


def build_endpoint(
    cluster_key: bytes,
    incarnation: int,
    hub: Hub,
    host: GroupHost,
    replicas: Mapping[str, GroupReplica],
    expiry: LeaseExpiry,
    metrics: ControlMetrics,
) -> RpcEndpoint:
    """Return the endpoint with all handlers of a control process."""
    receivers = {group: replica.receive for group, replica in replicas.items()}
    endpoint = RpcEndpoint(cluster_key, incarnation)

    def on_raft(envelope: Envelope, _peer: str) -> bytes:
        return serve_raft(receivers, envelope)

    def on_exchange(envelope: Envelope, peer: str) -> bytes:
        return _exchange(hub, metrics, envelope, peer)

    def on_sync(envelope: Envelope, peer: str) -> bytes:
        sync = decode(envelope.body, HubSync, peer)
        metrics.syncs.inc()
        return encode_reply(sync if isinstance(sync, Failure) else hub.handle_sync(sync))

    def on_renewals(envelope: Envelope, peer: str) -> bytes:
        renewals = decode(envelope.body, RenewLeases, peer)
        if isinstance(renewals, Failure):
            return encode_reply(renewals)
        return encode_reply(expiry.renew(envelope.group, renewals))

    def on_local_query(envelope: Envelope, peer: str) -> bytes:
        return serve_local_query(hub, envelope, peer)

    def on_machine_list(_envelope: Envelope, _peer: str) -> bytes:
        return encode_reply(hub.machine_list())

    endpoint.register(MessageKind.MACHINE_LIST, on_machine_list)
    endpoint.register(MessageKind.RAFT, on_raft)
    endpoint.register(MessageKind.PROPOSE, host.serve_client)
    endpoint.register(MessageKind.QUERY, host.serve_client)
    endpoint.register(MessageKind.FORWARDED_PROPOSE, host.serve_forwarded)
    endpoint.register(MessageKind.FORWARDED_QUERY, host.serve_forwarded)
    endpoint.register(MessageKind.EXCHANGE, on_exchange)
    endpoint.register(MessageKind.HUB_SYNC, on_sync)
    endpoint.register(MessageKind.RENEW_LEASES, on_renewals)
    endpoint.register(MessageKind.LOCAL_QUERY, on_local_query)
    return endpoint


def _exchange(hub: Hub, metrics: ControlMetrics, envelope: Envelope, peer: str) -> bytes:
    start_s = steady_s()
    request = decode(envelope.body, ExchangeRequest, peer)
    body = encode_reply(request) if isinstance(request, Failure) else hub.exchange_encoded(request)
    metrics.exchanges.labels("refused" if is_failure_reply(body) else "ok").inc()
    metrics.exchange_bytes.labels("in").inc(len(envelope.body))
    metrics.exchange_bytes.labels("out").inc(len(body))
    metrics.exchange_s.observe(steady_s() - start_s)
    return body
