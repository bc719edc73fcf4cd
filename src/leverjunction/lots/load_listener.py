"""Datagram endpoint of a store: receives the online request counts of the gateways.

While the store runs batch work, it broadcasts the sums over all gateways back to them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from loguru import logger

from leverjunction.errors import Failure
from leverjunction.lots.gateway_loads import Address, GatewayLoads
from leverjunction.lots.quota_relay import QuotaRelay
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.online_loads import LoadsWanted, OnlineLoads
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope

SUBSCRIPTION_S = 1.5
"""How long a gateway sends its changes after a broadcast: the time of three of its full updates."""


class LoadListener(asyncio.DatagramProtocol):
    """Protocol of the datagram endpoint; create it inside the event loop that uses it.

    Args:
        cluster_key: Key that signs the datagrams.
        is_active: Returns whether this process runs batch work; otherwise updates are ignored.
        on_update: Called after each update that was applied.
        totals: Returns the number of online requests at each back end.
        order: Returns the known back ends in the order of a broadcast's row.
        quota: Passes on the gateways' reports on tenants; None for none.
        rates: Knows the rates of back ends; None if they are not to be shared.

    Attributes:
        loads: Counts reported by the gateways.
    """

    def __init__(
        self,
        cluster_key: bytes,
        is_active: Callable[[], bool],
        on_update: Callable[[], None],
        totals: Callable[[], dict[str, int]],
        order: Callable[[], BackEndOrder],
        quota: QuotaRelay | None = None,
        rates: RateExchange | None = None,
    ) -> None:
        self._rates = rates
        self._totals = totals
        self._order = order
        self._quota = quota
        self._broadcast_task: asyncio.Task[None] | None = None
        self._failing = False
        self.loads = GatewayLoads()
        self._cluster_key = cluster_key
        self._is_active = is_active
        self._on_update = on_update
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Bind the port and start broadcasting.

        A port that cannot be bound is logged and otherwise ignored: batch work then yields to
        online requests by the back ends' load reports alone.

        Args:
            address: Host and port to bind.
        """
        host, _, port = address.rpartition(":")
        try:
            await self._loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logger.warning("cannot receive load updates of gateways at {}: {}", address, error)
            return
        self._broadcast_task = self._loop.create_task(self._broadcast_forever())

    def close(self) -> None:
        """Stop broadcasting and close the port."""
        if self._broadcast_task is not None:
            self._broadcast_task.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; its class need not derive from ``DatagramTransport``."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a gateway's update; from then on the gateway receives the broadcasts."""
        envelope = decode_envelope(data, self._cluster_key, addr[0])
        if isinstance(envelope, Failure):
            return
        if envelope.kind is MessageKind.TENANT_USAGE and self._quota is not None:
            self._relay(self._quota, envelope, addr)
        if envelope.kind is not MessageKind.ONLINE_LOADS or not self._is_active():
            return
        update = decode(envelope.body, OnlineLoads, addr[0])
        if isinstance(update, Failure):
            logger.warning("cannot decode a load update from {}: {}", addr[0], update.reason)
            return
        self.loads.apply_update(update, envelope.incarnation, addr, self._loop.time())
        if self._rates is not None:
            self._rates.apply_news(update.rates, self._loop.time())
        self._on_update()

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: a gateway that is down sends no updates and soon expires."""

    async def _broadcast_forever(self) -> None:
        """Send all gateways the sums over all gateways, until the task is cancelled."""
        datagram_bytes = 0
        while True:
            await asyncio.sleep(self.loads.broadcast_interval_s(datagram_bytes))
            try:
                if self._is_active() and self.loads.gateway_count:
                    data = self._encode_broadcast()
                    datagram_bytes = len(data)
                    self._send_to_all(data)
            except Exception:
                # The task must survive: without broadcasts no gateway reports its changes.
                if not self._failing:
                    logger.exception("broadcasting the loads of gateways failed")
                self._failing = True
                continue
            if self._failing:
                logger.info("broadcasting the loads of gateways works again")
            self._failing = False

    def _encode_broadcast(self) -> bytes:
        order = self._order()
        speeds, paces = (
            self._rates.rows(order.ids, self._loop.time()) if self._rates else (b"", b"")
        )
        broadcast = LoadsWanted(
            interval_s=self.loads.update_interval_s(),
            for_s=SUBSCRIPTION_S,
            order=order.key,
            row=order.pack(self._totals()),
            speeds=speeds,
            paces=paces,
        )
        envelope = Envelope(kind=MessageKind.LOADS_WANTED, group=JOBS_GROUP, body=encode(broadcast))
        return encode_envelope(envelope, self._cluster_key)

    def _relay(self, quota: QuotaRelay, envelope: Envelope, sender: Address) -> None:
        relayed = quota.relay(envelope, sender)
        if relayed is not None:
            message, receivers = relayed
            self._send_to(encode_envelope(message, self._cluster_key), receivers)

    def _send_to_all(self, data: bytes) -> None:
        self._send_to(data, self.loads.addresses())

    def _send_to(self, data: bytes, receivers: list[Address]) -> None:
        assert self._transport is not None
        for address in receivers:
            self._transport.sendto(data, address)
