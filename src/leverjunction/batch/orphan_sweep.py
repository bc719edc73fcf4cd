"""Detects batch requests on engines whose gateway is gone, and schedules the search for them.

An engine continues a request after its client has gone. A gateway that died cannot cancel its
requests, and its next incarnation does not know them. Every batch request therefore carries an
owner label, and the gateway that owns a runner cancels the orphaned requests on it:

* Requests of an earlier incarnation of a live gateway are cancelled immediately, and so are the
  repeatable requests of a gateway that is missing from the cluster view. If the view is wrong, the
  live gateway sees its run as parked, keeps the text and continues later. A wrong cancel costs
  time, but never produces a second result.
* A request that may not be repeated is cancelled only after its gateway has been missing for a
  whole lease duration. Before that the gateway could return and commit the answer. Afterwards the
  outcome is unknown anyway.

A runner is queried when this gateway takes it over, and when any gateway has gone, because that
gateway may have left requests on a runner that it no longer owned. Repeated queries find requests
that were still in transit, and requests that a disconnected gateway starts until its leases expire
by its own clock.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from leverjunction.backends.types import HeldRequest
from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.wire.messages import GatewayState, RunnerState

REPEAT_QUERY_DELAYS_S = (2.0, LEASE_DURATION_S)
"""Delays after the first and the second answered query of a runner until the next one."""

_REPEAT = "repeat"
_ONCE = "once"


class RequestOwner(msgspec.Struct, frozen=True):
    """Content of the owner label of a batch request: the process that waits for the answer.

    Attributes:
        gateway_id: Gateway that sent the request.
        incarnation: Start time of the gateway process, in milliseconds.
        may_repeat: Whether the item may be run again.
    """

    gateway_id: str
    incarnation: int
    may_repeat: bool

    def label(self) -> str:
        """Return the label as text; engines store it unchanged."""
        return f"{self.gateway_id}/{self.incarnation}/{_REPEAT if self.may_repeat else _ONCE}"

    @classmethod
    def from_label(cls, label: str) -> RequestOwner | None:
        """Return the owner that a label describes, or None if the label has another format."""
        rest, _, repeat = label.rpartition("/")
        gateway_id, _, incarnation = rest.rpartition("/")
        if repeat not in (_REPEAT, _ONCE) or not incarnation.isdecimal():
            return None
        return cls(gateway_id, int(incarnation), repeat == _REPEAT)


@dataclass
class _QuerySchedule:
    """Queries of one runner: the time of the next one and the number of answered ones."""

    runner: RunnerState
    due_s: float
    answered: int = 0


class OrphanSweep:
    """Schedules the queries of the owned runners and selects orphaned requests. Not thread-safe.

    Args:
        gateway_id: Id of this gateway.
        incarnation: Start time of this process, in milliseconds.
    """

    def __init__(self, gateway_id: str, incarnation: int) -> None:
        self._gateway_id = gateway_id
        self._incarnation = incarnation
        self._live: dict[str, int] = {}
        self._missing_since_s: dict[str, float] = {}
        self._schedules: dict[str, _QuerySchedule] = {}

    def update(
        self, owned: Iterable[RunnerState], gateways: Iterable[GatewayState], now_s: float
    ) -> None:
        """Replace the owned runners and the live gateways; a gone gateway restarts all queries.

        Args:
            owned: Runners that this gateway owns now.
            gateways: Gateways in the cluster view.
            now_s: Monotonic time in seconds.
        """
        live = {gateway.gateway_id: gateway.incarnation for gateway in gateways}
        live[self._gateway_id] = self._incarnation
        gateway_lost = any(live.get(name) != before for name, before in self._live.items())
        self._live = live
        for name in self._missing_since_s.keys() & live.keys():
            del self._missing_since_s[name]
        known = {} if gateway_lost else self._schedules
        self._schedules = {}
        for runner in owned:
            schedule = known.get(runner.runner_id, _QuerySchedule(runner, now_s))
            schedule.runner = runner
            self._schedules[runner.runner_id] = schedule

    def take_due(self, now_s: float) -> list[RunnerState]:
        """Return the runners to query now.

        The caller must end each query with ``find_orphans`` or ``query_failed``; until then the
        runner is not returned again.
        """
        due = [schedule for schedule in self._schedules.values() if schedule.due_s <= now_s]
        for schedule in due:
            schedule.due_s = math.inf
        return [schedule.runner for schedule in due]

    def find_orphans(
        self, runner_id: str, requests: Iterable[HeldRequest], now_s: float
    ) -> list[str]:
        """Return the ids of a runner's orphaned requests, and schedule the next query.

        Args:
            runner_id: Runner that was queried.
            requests: Requests that the runner holds.
            now_s: Monotonic time in seconds.
        """
        schedule = self._schedules.get(runner_id)
        if schedule is None:
            return []
        if schedule.answered < len(REPEAT_QUERY_DELAYS_S):
            schedule.due_s = now_s + REPEAT_QUERY_DELAYS_S[schedule.answered]
        schedule.answered += 1
        return [held.request_id for held in requests if self._is_orphan(held, now_s)]

    def query_failed(self, runner_id: str, now_s: float) -> None:
        """Make a runner due again after it failed to answer a query or a cancel."""
        schedule = self._schedules.get(runner_id)
        if schedule is not None:
            schedule.due_s = now_s

    def _is_orphan(self, held: HeldRequest, now_s: float) -> bool:
        owner = RequestOwner.from_label(held.owner)
        if owner is None:
            return False
        live_incarnation = self._live.get(owner.gateway_id)
        if live_incarnation is not None:
            return owner.incarnation < live_incarnation
        missing_since_s = self._missing_since_s.setdefault(owner.gateway_id, now_s)
        return owner.may_repeat or now_s - missing_since_s >= LEASE_DURATION_S
