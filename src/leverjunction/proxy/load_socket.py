"""Datagram socket of a gateway that reports its online requests to the leader of batch work."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.online_loads import (
    FULL_REPORT_INTERVAL_S,
    LoadReporter,
    LoadsWanted,
    OnlineLoads,
)
from leverjunction.proxy.quota_link import QuotaLink
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.quota.messages import TenantUsage
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope

Address = tuple[str, int]


class LoadSocket(asyncio.DatagramProtocol):
    """Datagram socket of a gateway; sends load reports, and receives the loads of other gateways.

    Used by one event loop.

    Args:
        gateway: Name of this gateway.
        cluster_key: Key that authenticates the datagrams.
        incarnation: Start time of this process, in milliseconds since the Unix epoch.
        stores: Returns the addresses of the stores that may be the leader.
        order: Returns the order of the back ends that this gateway knows.
        on_other_loads: Called with the number of other gateways' requests by start of the back
            end, and the average age of these numbers in seconds.
        quota: Receives the messages on tenants' limits, and is given a way to send its own; None
            for none.
        rates: Knows the rates of back ends; None if they are not to be shared.
    """

    def __init__(
        self,
        gateway: str,
        cluster_key: bytes,
        incarnation: int,
        stores: Callable[[], tuple[str, ...]],
        order: Callable[[], BackEndOrder],
        on_other_loads: Callable[[dict[str, int], float], None],
        quota: QuotaLink | None = None,
        rates: RateExchange | None = None,
    ) -> None:
        self._rates = rates
        self._reporter = LoadReporter(gateway)
        self._key = cluster_key
        self._incarnation = incarnation
        self._stores = stores
        self._order = order
        self._on_other_loads = on_other_loads
        self._quota = quota
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._leader: Address | None = None
        self._change_timer: asyncio.TimerHandle | None = None
        self._report_task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Bind the socket and start to report.

        If the port can't be bound, batch work yields by the back ends' own load reports alone.

        Args:
            address: Host and port, separated by a colon.
        """
        host, _, port = address.rpartition(":")
        try:
            await self._loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        except OSError as error:
            logger.warning("cannot bind {}, online requests are not reported: {}", address, error)
            return
        self._report_task = self._loop.create_task(self._report_loop())
        if self._quota is not None:
            self._quota.start(self._send_quota)

    def stop(self) -> None:
        """Stop reporting and close the socket."""
        if self._report_task is not None:
            self._report_task.cancel()
        if self._quota is not None:
            self._quota.stop()
        if self._transport is not None:
            self._transport.close()

    def runner_changed(self, runner: TrackedRunner) -> None:
        """Report a new number of this gateway's requests at a back end."""
        self._reporter.runner_changed(runner.record.start, runner.own_requests)
        self._schedule()

    def held_changed(self, service: str, count: int) -> None:
        """Report a new number of requests of a service that this gateway holds."""
        self._reporter.held_changed(service, count)
        self._schedule()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; the event loop's class doesn't derive from ``DatagramTransport``."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a message of the leader; others are ignored."""
        envelope = decode_envelope(data, self._key, addr[0])
        if isinstance(envelope, Failure):
            return
        if envelope.kind is MessageKind.TENANT_LEVELS and self._quota is not None:
            self._quota.receive(envelope.body, addr)
        if envelope.kind is not MessageKind.LOADS_WANTED:
            return
        message = decode(envelope.body, LoadsWanted, addr[0])
        if isinstance(message, Failure):
            logger.warning("invalid load message from {}: {}", addr[0], message.reason)
            return
        if self._leader != addr:
            logger.info("reporting online requests to {}", addr[0])
        self._leader = addr
        self._reporter.apply_request(message, self._loop.time())
        self._apply_row(message)
        self._schedule()

    def _apply_row(self, message: LoadsWanted) -> None:
        order = self._order()
        if message.order != order.key:
            # One side knows a back end that the other doesn't know yet.
            return
        if self._rates is not None and (message.speeds or message.paces):
            now_s = self._loop.time()
            self._rates.apply_rows(order.ids, message.speeds, message.paces, now_s)
        self._on_other_loads(
            self._reporter.other_loads(order.unpack(message.row)), message.interval_s / 2
        )

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the next full report reaches a store that was down."""

    def _schedule(self) -> None:
        due_s = self._reporter.change_due_s(self._loop.time())
        if due_s is not None and self._change_timer is None:
            self._change_timer = self._loop.call_later(due_s, self._send_change)

    def _send_change(self) -> None:
        self._change_timer = None
        if self._leader is not None and self._reporter.change_due_s(self._loop.time()) is not None:
            self._send(self._reporter.change_report(self._loop.time()), [self._leader])

    async def _report_loop(self) -> None:
        while True:
            try:
                self._report()
            except Exception:
                # The task must survive: without its reports this gateway is soon not counted, and
                # batch work takes the slots of its requests.
                logger.exception("reporting online requests failed")
            await asyncio.sleep(FULL_REPORT_INTERVAL_S)

    def _report(self) -> None:
        now_s = self._loop.time()
        message = self._reporter.full_report(now_s)
        if message is not None:
            leader = self._leader if self._reporter.is_requested(now_s) else None
            self._send(message, [leader] if leader else self._store_addresses())

    def _store_addresses(self) -> list[Address]:
        parts = [store.rpartition(":") for store in self._stores()]
        return [(host, int(port)) for host, _, port in parts]

    def _send(self, message: OnlineLoads, receivers: list[Address]) -> None:
        if self._rates is not None and receivers == [self._leader]:
            message = msgspec.structs.replace(message, rates=self._rates.take_news())
        self._send_body(MessageKind.ONLINE_LOADS, encode(message), receivers)

    def _send_quota(self, message: TenantUsage, receivers: list[Address]) -> None:
        self._send_body(MessageKind.TENANT_USAGE, encode(message), receivers)

    def _send_body(self, kind: MessageKind, body: bytes, receivers: list[Address]) -> None:
        if self._transport is None:
            return
        envelope = Envelope(kind=kind, group=JOBS_GROUP, incarnation=self._incarnation, body=body)
        data = encode_envelope(envelope, self._key)
        for receiver in receivers:
            self._transport.sendto(data, receiver)
