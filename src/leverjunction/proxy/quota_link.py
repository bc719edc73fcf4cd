"""Exchange of a gateway with the owner of the tenants' limits, by datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.proxy.tenant_shares import TenantShares
from leverjunction.quota.local_limiter import LocalLimiter
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.wire.codec import decode

Address = tuple[str, int]
Send = Callable[[TenantUsage, list[Address]], None]

WHOLE_REPORT_INTERVAL_S = 0.5
"""Interval of whole reports: the longest time for which a lost report stays unknown."""

MIN_INTERVAL_S = 0.1


class QuotaLink:
    """Reports what the limiter admitted, and gives it what the owner tells.

    Args:
        gateway: Name of this gateway.
        limiter: Limiter of this gateway.
        has_tenants: Returns whether the route table has tenants; without, nothing is sent.
        candidates: Returns the addresses of the processes that may be the owner.
        shares: Shares of the tenants at this gateway; None to neither report nor hear demands.
    """

    def __init__(
        self,
        gateway: str,
        limiter: LocalLimiter,
        has_tenants: Callable[[], bool],
        candidates: Callable[[], list[str]],
        shares: TenantShares | None = None,
    ) -> None:
        self._gateway = gateway
        self._limiter = limiter
        self._has_tenants = has_tenants
        self._candidates = candidates
        self._shares = shares
        self._loop = asyncio.get_running_loop()
        self._owner: Address | None = None
        self._was_in_contact = False
        self._whole_report_s = float("-inf")
        self._task: asyncio.Task[None] | None = None

    def start(self, send: Send) -> None:
        """Start to report.

        Args:
            send: Sends a report to some addresses.
        """
        self._task = self._loop.create_task(self._run(send))

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def receive(self, body: bytes, sender: Address) -> None:
        """Process a message of the owner."""
        levels = decode(body, TenantLevels, sender[0])
        if isinstance(levels, Failure):
            logger.warning("invalid tenant levels from {}: {}", sender[0], levels.reason)
            return
        if self._owner != sender:
            logger.info("limits of tenants are kept by {}", sender[0])
        self._owner = sender
        self._limiter.apply_levels(levels, self._loop.time(), sender[0])
        if self._shares is not None:
            self._shares.apply(levels.offered, levels.gateways, self._loop.time())

    async def _run(self, send: Send) -> None:
        while True:
            try:
                if self._has_tenants():
                    self._report(send)
            except Exception:
                # The task must survive: without its reports the owner takes this gateway for dead.
                logger.exception("reporting the use of tenants' limits failed")
            await asyncio.sleep(max(MIN_INTERVAL_S, self._limiter.report_interval_s))

    def _report(self, send: Send) -> None:
        now_s = self._loop.time()
        in_contact = self._limiter.is_in_contact(now_s)
        self._note_contact(in_contact)
        is_whole_due = now_s - self._whole_report_s >= WHOLE_REPORT_INTERVAL_S
        if is_whole_due:
            self._whole_report_s = now_s
        if not (is_whole_due or (in_contact and self._limiter.has_changes)):
            return
        receivers = [self._owner] if in_contact and self._owner else self._candidate_addresses()
        usage = self._limiter.report(self._gateway, now_s, whole=is_whole_due)
        if self._shares is not None:
            offered = self._shares.counts.report(is_whole_due)
            usage = msgspec.structs.replace(usage, offered=offered)
        send(usage, receivers)

    def _candidate_addresses(self) -> list[Address]:
        parts = [address.rpartition(":") for address in self._candidates()]
        return [(host, int(port)) for host, _, port in parts]

    def _note_contact(self, in_contact: bool) -> None:
        if self._was_in_contact and not in_contact:
            logger.warning(
                "no message from the owner of tenants' limits; deciding by this gateway's share"
            )
        self._was_in_contact = in_contact


__all__ = ["QuotaLink"]
