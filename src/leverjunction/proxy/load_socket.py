"""Datagram port of a gateway: tells leaders of batch work its online requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from loguru import logger

from leverjunction.errors import Failure
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.online_loads import (
    WHOLE_INTERVAL_S,
    LoadsWanted,
    LoadTeller,
    OnlineLoads,
)
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope

Address = tuple[str, int]


class LoadSocket(asyncio.DatagramProtocol):
    """Used by one event loop.

    Args:
        gateway: Name of this gateway.
        cluster_key: Signs the words.
        incarnation: Start time of this process, in milliseconds since the Unix epoch.
        stores: Returns the addresses of the stores that may lead.
        order: Returns the back ends that this gateway knows.
        others_told: Takes the requests of other gateways at back ends, and how old they are on
            average, in seconds.
    """

    def __init__(
        self,
        gateway: str,
        cluster_key: bytes,
        incarnation: int,
        stores: Callable[[], tuple[str, ...]],
        order: Callable[[], BackEndOrder],
        others_told: Callable[[dict[str, int], float], None],
    ) -> None:
        self._teller = LoadTeller(gateway)
        self._key = cluster_key
        self._incarnation = incarnation
        self._stores = stores
        self._order = order
        self._others_told = others_told
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._leader: Address | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ticks: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Bind the port, and begin to tell; without it batch gives way by reports alone."""
        host, _, port = address.rpartition(":")
        try:
            await self._loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logger.warning("online requests are not told from {}: {}", address, error)
            return
        self._ticks = self._loop.create_task(self._tick())

    def stop(self) -> None:
        """Close the port."""
        if self._ticks is not None:
            self._ticks.cancel()
        if self._transport is not None:
            self._transport.close()

    def runner_changed(self, runner: TrackedRunner) -> None:
        """Take the count of a back end at which a request of this gateway began or ended."""
        self._teller.runner_changed(runner.record.start, runner.own_requests)
        self._schedule()

    def held_changed(self, service: str, count: int) -> None:
        """Take the requests of a service that wait at this gateway."""
        self._teller.held_changed(service, count)
        self._schedule()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; the event loop's class does not name its base."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a leader's answer."""
        envelope = decode_envelope(data, self._key, addr[0])
        if isinstance(envelope, Failure) or envelope.kind is not MessageKind.LOADS_WANTED:
            return
        word = decode(envelope.body, LoadsWanted, addr[0])
        if isinstance(word, Failure):
            logger.warning("a word of {} is not understood: {}", addr[0], word.reason)
            return
        if self._leader != addr:
            logger.info("telling online requests to {}", addr[0])
        self._leader = addr
        self._teller.wanted(word, self._loop.time())
        self._take_row(word)
        self._schedule()

    def _take_row(self, word: LoadsWanted) -> None:
        order = self._order()
        if word.order != order.key:
            # One of the two knows of a back end that the other does not: for a moment only.
            return
        self._others_told(self._teller.others(order.unpack(word.row)), word.interval_s / 2)

    def error_received(self, exc: Exception) -> None:
        """Do nothing: a store that is down is told again with the next word."""

    def _schedule(self) -> None:
        due_s = self._teller.change_due_s(self._loop.time())
        if due_s is not None and self._timer is None:
            self._timer = self._loop.call_later(due_s, self._tell_change)

    def _tell_change(self) -> None:
        self._timer = None
        if self._leader is not None and self._teller.change_due_s(self._loop.time()) is not None:
            self._send(self._teller.change(self._loop.time()), [self._leader])

    async def _tick(self) -> None:
        while True:
            now_s = self._loop.time()
            word = self._teller.whole(now_s)
            if word is not None:
                known = self._leader if self._teller.is_wanted(now_s) else None
                self._send(word, [known] if known else self._store_addresses())
            await asyncio.sleep(WHOLE_INTERVAL_S)

    def _store_addresses(self) -> list[Address]:
        parts = [store.rpartition(":") for store in self._stores()]
        return [(host, int(port)) for host, _, port in parts]

    def _send(self, word: OnlineLoads, receivers: list[Address]) -> None:
        if self._transport is None:
            return
        envelope = Envelope(
            kind=MessageKind.ONLINE_LOADS,
            group=JOBS_GROUP,
            incarnation=self._incarnation,
            body=encode(word),
        )
        data = encode_envelope(envelope, self._key)
        for receiver in receivers:
            self._transport.sendto(data, receiver)
