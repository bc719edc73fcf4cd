"""Passes reports of gateways of an earlier release on to the owner of the tenants' limits.

Such gateways report to the stores. The owner then answers them directly, and from then on they
report to it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.quota.messages import TenantUsage
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope

Address = tuple[str, int]


class QuotaRelay:
    """Relay of the store that leads batch work. Performs no I/O.

    Args:
        leads: Returns whether this process leads batch work; one relay is enough.
        controls: Returns the addresses of the control processes, one of which may be the owner.
    """

    def __init__(self, leads: Callable[[], bool], controls: Callable[[], list[str]]) -> None:
        self._leads = leads
        self._controls = controls

    def relay(self, envelope: Envelope, sender: Address) -> tuple[Envelope, list[Address]] | None:
        """Return the message to pass on and its receivers, None if there is none."""
        if not self._leads():
            return None
        usage = decode(envelope.body, TenantUsage, sender[0])
        if isinstance(usage, Failure):
            logger.warning("cannot decode tenant usage from {}: {}", sender[0], usage.reason)
            return None
        if not usage.gateway or usage.address:
            return None
        named = msgspec.structs.replace(usage, address=f"{sender[0]}:{sender[1]}")
        relayed = msgspec.structs.replace(envelope, body=encode(named))
        parts = [control.rpartition(":") for control in self._controls()]
        return relayed, [(host, int(port)) for host, _, port in parts]


__all__ = ["QuotaRelay"]
