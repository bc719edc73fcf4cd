"""Owner of the tenants' limits: receives the gateways' reports and tells all of them the levels.

The leader of batch work is the owner, since gateways already know how to find it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from leverjunction.errors import Failure
from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.ledger import Ledger
from leverjunction.quota.messages import TenantUsage
from leverjunction.routes.matching import RouteIndex
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope

Address = tuple[str, int]
Broadcast = Callable[[bytes, list[Address]], None]

LOG_INTERVAL_S = 10.0
MAX_TENANTS_LOGGED = 5


class QuotaOwner:
    """Ledger of this process while it leads; used by one event loop.

    Args:
        bounds: Tolerance of the deployment.
        leads: Returns whether this process leads batch work.
    """

    def __init__(self, bounds: QuotaBounds, leads: Callable[[], bool]) -> None:
        self._ledger = Ledger(bounds)
        self._leads = leads
        self._loop = asyncio.get_running_loop()
        self._index: RouteIndex | None = None
        self._task: asyncio.Task[None] | None = None
        self._logged_s = float("-inf")

    def start(self, broadcast: Broadcast) -> None:
        """Start to tell the levels.

        Args:
            broadcast: Sends a message to some addresses.
        """
        self._task = self._loop.create_task(self._run(broadcast))

    def stop(self) -> None:
        """Stop telling the levels."""
        if self._task is not None:
            self._task.cancel()

    def set_table(self, index: RouteIndex) -> None:
        """Use the limits of a route table."""
        if index is self._index:
            return
        self._index = index
        limits = {tenant.name: tenant.limit for tenant in index.table.tenants}
        self._ledger.set_limits(limits, self._loop.time())

    def clear(self) -> None:
        """Forget the state of all tenants: this process does not lead."""
        if self._index is not None:
            self._index = None
            self._ledger.clear()

    def receive(self, envelope: Envelope, sender: Address) -> None:
        """Apply a gateway's report, if this process is the owner."""
        if self._index is None or not self._leads():
            return
        usage = decode(envelope.body, TenantUsage, sender[0])
        if isinstance(usage, Failure):
            logger.warning("cannot decode tenant usage from {}: {}", sender[0], usage.reason)
            return
        self._ledger.apply_usage(usage, envelope.incarnation, sender, self._loop.time())

    async def _run(self, broadcast: Broadcast) -> None:
        while True:
            await asyncio.sleep(self._ledger.interval_s())
            try:
                self._tell(broadcast)
            except Exception:
                # The task must survive: without it all gateways decide alone.
                logger.exception("telling the levels of tenants' limits failed")

    def _tell(self, broadcast: Broadcast) -> None:
        addresses = self._ledger.addresses()
        if not addresses or not self._leads():
            return
        now_s = self._loop.time()
        for levels in self._ledger.levels(now_s):
            broadcast(encode(levels), addresses)
        self._log(now_s)

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


__all__ = ["QuotaOwner"]
