"""The batch traffic of one hollow gateway: lease items, hold them for a while, complete them."""

from __future__ import annotations

import random as random_module
import threading
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    GrantLease,
    ItemResult,
    ItemState,
    Lease,
)
from leverjunction.errors import Failure
from leverjunction.wire.control_client import ControlClient
from testbed.scale.hollow_gateway import HollowGateway

HTTP_OK = 200
HOLD_S = 2.0
SERVICE = "llm"
MODELS = ["m0", "m1", "m2"]


class LeaseCount(msgspec.Struct, frozen=True):
    """What a hollow gateway's batch traffic came to."""

    grants: int = 0
    empty_grants: int = 0
    completed_items: int = 0
    discarded_items: int = 0
    failures: int = 0
    grant_ms_total: float = 0.0
    complete_ms_total: float = 0.0

    def plus(self, other: LeaseCount) -> LeaseCount:
        """Return the sum of two counts."""
        return LeaseCount(*(left + right for left, right in _pairs(self, other)))

    def minus(self, other: LeaseCount) -> LeaseCount:
        """Return this count since ``other``."""
        return LeaseCount(*(left - right for left, right in _pairs(self, other)))


def _pairs(left: LeaseCount, right: LeaseCount) -> Iterator[tuple[Any, Any]]:
    return zip(msgspec.structs.astuple(left), msgspec.structs.astuple(right), strict=True)


class LeaseTraffic:
    """Leases and completes items at a chosen mean rate, until told to stop."""

    def __init__(
        self,
        gateway: HollowGateway,
        control: ControlClient,
        groups: list[str],
        items_per_s: float,
        lease_items: int,
        result_bytes: int,
        random: random_module.Random,
    ) -> None:
        self._gateway = gateway
        self._control = control
        self._groups = groups
        self._grants_per_s = items_per_s / lease_items
        self._lease_items = lease_items
        self._body = '{"text":"' + "x" * result_bytes + '"}'
        self._random = random
        self.count = LeaseCount()

    def run(self, stop: threading.Event) -> None:
        """Work until ``stop`` is set; called on a thread of its own."""
        while not stop.wait(self._random.expovariate(self._grants_per_s)):
            self._one_lease(stop)

    def _one_lease(self, stop: threading.Event) -> None:
        group = self._random.choice(self._groups)
        lease_id = f"{self._random.getrandbits(64):016x}"
        started_s = time.monotonic()
        lease = self._control.propose(group, self._grant(lease_id), Lease)
        grant_ms = (time.monotonic() - started_s) * 1000
        if isinstance(lease, Failure):
            self.count = self.count.plus(LeaseCount(failures=1))
            return
        self.count = self.count.plus(
            LeaseCount(grants=1, empty_grants=int(not lease.items), grant_ms_total=grant_ms)
        )
        if not lease.items:
            return
        self._gateway.hold_lease(group, lease_id)
        stop.wait(HOLD_S)
        self._complete(group, lease)
        self._gateway.drop_lease(group, lease_id)

    def _grant(self, lease_id: str) -> GrantLease:
        return GrantLease(
            lease_id=lease_id,
            owner=self._gateway.profile.gateway_id,
            service=SERVICE,
            models=MODELS,
            max_items=self._lease_items,
        )

    def _complete(self, group: str, lease: Lease) -> None:
        results = [
            ItemResult(
                job_id=leased.job_id,
                index=leased.index,
                attempt=leased.attempt,
                state=ItemState.DONE,
                status_code=HTTP_OK,
                body=self._body,
            )
            for leased in lease.items
        ]
        started_s = time.monotonic()
        reply = self._control.propose(
            group, CompleteItems(lease_id=lease.lease_id, results=results), CompletedItems
        )
        complete_ms = (time.monotonic() - started_s) * 1000
        if isinstance(reply, Failure):
            self.count = self.count.plus(LeaseCount(failures=1))
            return
        self.count = self.count.plus(
            LeaseCount(
                completed_items=reply.accepted,
                discarded_items=reply.discarded,
                complete_ms_total=complete_ms,
            )
        )
