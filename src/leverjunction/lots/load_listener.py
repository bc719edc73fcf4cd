"""Datagram port of a store: hears from gateways which online requests they have."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from loguru import logger

from leverjunction.errors import Failure
from leverjunction.lots.gateway_loads import GatewayLoads
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.online_loads import LoadsWanted, OnlineLoads
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope

WANTED_S = 1.5
"""How long a gateway tells its changes after an answer: three of its whole words."""


class LoadListener(asyncio.DatagramProtocol):
    """Used by one event loop.

    Args:
        cluster_key: Signs the words.
        wants: Returns whether this process runs batch work.
        heard: Called after each word that was taken.
        totals: Returns the online requests at each back end.
        order: Returns the back ends that this process knows.
    """

    def __init__(
        self,
        cluster_key: bytes,
        wants: Callable[[], bool],
        heard: Callable[[], None],
        totals: Callable[[], dict[str, int]],
        order: Callable[[], BackEndOrder],
    ) -> None:
        self._totals = totals
        self._order = order
        self._sharing: asyncio.Task[None] | None = None
        self.loads = GatewayLoads()
        self._key = cluster_key
        self._wants = wants
        self._heard = heard
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Bind the port; without it batch gives way by the back ends' reports alone."""
        host, _, port = address.rpartition(":")
        try:
            await self._loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logger.warning("no datagrams of gateways are heard at {}: {}", address, error)
            return
        self._sharing = self._loop.create_task(self._share())

    def close(self) -> None:
        """Close the port."""
        if self._sharing is not None:
            self._sharing.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; the event loop's class does not name its base."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a gateway's word; the first one is answered with the next that is shared."""
        if not self._wants():
            return
        envelope = decode_envelope(data, self._key, addr[0])
        if isinstance(envelope, Failure) or envelope.kind is not MessageKind.ONLINE_LOADS:
            return
        word = decode(envelope.body, OnlineLoads, addr[0])
        if isinstance(word, Failure):
            logger.warning("a word of {} is not understood: {}", addr[0], word.reason)
            return
        self.loads.take(word, envelope.incarnation, addr, self._loop.time())
        self._heard()

    def error_received(self, exc: Exception) -> None:
        """Do nothing: a gateway that is down tells nothing either."""

    async def _share(self) -> None:
        """Tell all gateways, again and again, what all have at the back ends."""
        word_bytes = 0
        while True:
            await asyncio.sleep(self.loads.share_interval_s(word_bytes))
            if self._wants() and self.loads.gateway_count:
                data = self._word()
                word_bytes = len(data)
                self._tell_all(data)

    def _word(self) -> bytes:
        order = self._order()
        wanted = LoadsWanted(
            interval_s=self.loads.update_interval_s(),
            for_s=WANTED_S,
            order=order.key,
            row=order.pack(self._totals()),
        )
        envelope = Envelope(kind=MessageKind.LOADS_WANTED, group=JOBS_GROUP, body=encode(wanted))
        return encode_envelope(envelope, self._key)

    def _tell_all(self, data: bytes) -> None:
        assert self._transport is not None
        for address in self.loads.addresses():
            self._transport.sendto(data, address)
