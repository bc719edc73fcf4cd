"""Owner of the tenants' limits: the control process that leads the registry group.

It receives the gateways' reports and tells all of them the levels. Performs no I/O: the time is
passed in, and datagrams are received and returned.

A store of an earlier release owns the limits while it leads batch work. Two owners would each grant
the whole limit to the gateways that they hear, so this one waits until no such store answers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.ledger import Ledger
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind

Address = tuple[str, int]

STEP_S = 0.1
READ_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 0.5

OTHER_OWNER_S = 2.0
"""Time without a message from another owner after which this process owns the limits: covers a few
lost probes, and a store whose event loop is late.
"""

LOG_INTERVAL_S = 10.0
MAX_TENANTS_LOGGED = 5


class Registry(Protocol):
    """The part of ``RegistryHub`` that the owner uses."""

    def watch(self, request: WatchRequest) -> WatchReply | Failure:
        """Return the state that is newer than the sender's."""
        ...


class Datagram(msgspec.Struct, frozen=True):
    """A message and its receivers."""

    kind: MessageKind
    body: bytes
    receivers: tuple[Address, ...]


class QuotaOwner:
    """Ledger of this process while it leads the registry group; used by one thread.

    Args:
        bounds: Tolerance of the deployment.
        registry: State of the registry at this process.
        leads: Returns whether this process leads the registry group.
    """

    def __init__(self, bounds: QuotaBounds, registry: Registry, leads: Callable[[], bool]) -> None:
        self._ledger = Ledger(bounds)
        self._registry = registry
        self._leads = leads
        self._is_owner = False
        self._table_version = -1
        self._revision = -1
        self._stores: tuple[Address, ...] = ()
        self._other_owner_s = float("-inf")
        self._read_s = float("-inf")
        self._probed_s = float("-inf")
        self._tell_due_s = float("-inf")
        self._logged_s = float("-inf")

    def receive(self, envelope: Envelope, sender: Address, now_s: float) -> None:
        """Process a gateway's report, or a message of another owner.

        Args:
            envelope: The message.
            sender: Host and port from which it came.
            now_s: Monotonic time in seconds.
        """
        if envelope.kind is MessageKind.TENANT_LEVELS:
            self._apply_other_owner(envelope, sender, now_s)
        elif envelope.kind is MessageKind.TENANT_USAGE and self._is_owner:
            self._apply_usage(envelope, sender, now_s)

    def step(self, now_s: float) -> list[Datagram]:
        """Return the messages that are due; call it each ``STEP_S``."""
        if not self._leads():
            self._end_ownership("this process does not lead the registry")
            return []
        self._read_if_due(now_s)
        if not self._is_owner:
            return self._probe(now_s)
        return [*self._probe(now_s), *self._tell(now_s)]

    def _read_if_due(self, now_s: float) -> None:
        if now_s - self._read_s < READ_INTERVAL_S:
            return
        self._read_s = now_s
        request = WatchRequest(
            table_version=self._table_version, revision=self._revision, wait_ms=0
        )
        reply = self._registry.watch(request)
        if isinstance(reply, Failure):
            return
        if reply.view is not None:
            self._revision = reply.view.revision
            self._stores = tuple(_parse_address(store) for store in reply.view.voters(JOBS_GROUP))
        if now_s - self._other_owner_s < OTHER_OWNER_S:
            return
        if reply.table is not None:
            self._table_version = reply.table.version
            limits = {tenant.name: tenant.limit for tenant in reply.table.tenants}
            self._ledger.set_limits(limits, now_s)
            if not self._is_owner:
                logger.info(
                    "this process keeps the limits of tenants: table {}", self._table_version
                )
            self._is_owner = True

    def _end_ownership(self, reason: str) -> None:
        if self._is_owner:
            logger.info("this process no longer keeps the limits of tenants: {}", reason)
        self._is_owner = False
        self._table_version = -1
        self._read_s = float("-inf")
        self._ledger.clear()

    def _apply_other_owner(self, envelope: Envelope, sender: Address, now_s: float) -> None:
        if sender not in self._stores or isinstance(
            decode(envelope.body, TenantLevels, sender[0]), Failure
        ):
            return
        self._other_owner_s = now_s
        self._end_ownership(f"the store at {sender[0]} does, it runs an earlier release")

    def _apply_usage(self, envelope: Envelope, sender: Address, now_s: float) -> None:
        usage = decode(envelope.body, TenantUsage, sender[0])
        if isinstance(usage, Failure):
            logger.warning("cannot decode tenant usage from {}: {}", sender[0], usage.reason)
            return
        if usage.gateway:
            address = _parse_address(usage.address) if usage.address else sender
            self._ledger.apply_usage(usage, envelope.incarnation, address, now_s)

    def _probe(self, now_s: float) -> list[Datagram]:
        """Return the report that makes a store of an earlier release answer if it is the owner."""
        if not self._stores or now_s - self._probed_s < PROBE_INTERVAL_S:
            return []
        self._probed_s = now_s
        body = encode(TenantUsage(gateway="", tenants={}))
        return [Datagram(MessageKind.TENANT_USAGE, body, self._stores)]

    def _tell(self, now_s: float) -> list[Datagram]:
        receivers = tuple(self._ledger.addresses())
        # A step may be called a little early.
        if not receivers or now_s < self._tell_due_s - STEP_S / 2:
            return []
        self._tell_due_s = now_s + self._ledger.interval_s()
        self._log(now_s)
        return [
            Datagram(MessageKind.TENANT_LEVELS, encode(levels), receivers)
            for levels in self._ledger.levels(now_s)
        ]

    def _log(self, now_s: float) -> None:
        """Log the tenants that use most of their rate, at intervals."""
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        rows = sorted(
            self._ledger.usage(now_s).items(), key=lambda row: row[1][0] / row[1][1], reverse=True
        )
        shown = [
            f"{name} {demand:.1f} of {per_s:g}/s, {level:.1f} left"
            for name, (demand, per_s, level) in rows[:MAX_TENANTS_LOGGED]
        ]
        logger.info("limited tenants: {}; most used: {}", len(rows), "; ".join(shown))


def _parse_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)


__all__ = ["STEP_S", "Datagram", "QuotaOwner"]
