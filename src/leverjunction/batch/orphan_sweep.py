"""Which batch requests on engines have lost their gateway, and when to look for them. Pure.

An engine goes on with a request whose reader is gone. A gateway that died cannot cancel its
requests, and its next incarnation does not know them. So every batch request is sent with a label
of its owner, and the gateway that owns a runner cancels those of gateways that are gone:

* The requests of an earlier incarnation of a live gateway, and those that may be repeated of a
  gateway that is not in the view, go at once. Should the view be wrong, the live gateway sees its
  run parked, keeps the text and goes on later: a wrong cancel costs time, never a second result.
* One that may not be repeated stays until its gateway has been missing for a whole lease. Until
  then the gateway could come back and commit its answer; after that its outcome is unknown anyway.

A runner is looked at when it is taken over, and when any gateway has gone: it may have left
requests on a runner that it did not own any more. The later looks are for requests that were still
under way, and for those that a gateway without contact starts until its leases end by its clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from leverjunction.backends.types import HeldRequest
from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.wire.messages import GatewayState, RunnerState

LATER_LOOKS_S = (2.0, LEASE_DURATION_S)
"""Waits between an answered look at a runner and the next one."""

_REPEAT = "repeat"
_ONCE = "once"


class RequestOwner(msgspec.Struct, frozen=True):
    """The process that reads a batch request's answer, as the request's owner label tells it.

    Attributes:
        gateway_id: Gateway that sent the request.
        incarnation: Its start time, in milliseconds.
        may_repeat: Whether the item may be run again.
    """

    gateway_id: str
    incarnation: int
    may_repeat: bool

    def label(self) -> str:
        """Return the label; engines keep it as it is."""
        return f"{self.gateway_id}/{self.incarnation}/{_REPEAT if self.may_repeat else _ONCE}"

    @classmethod
    def from_label(cls, label: str) -> RequestOwner | None:
        """Return the owner that a label names, None when it is not such a label."""
        rest, _, repeat = label.rpartition("/")
        gateway_id, _, incarnation = rest.rpartition("/")
        if repeat not in (_REPEAT, _ONCE) or not incarnation.isdecimal():
            return None
        return cls(gateway_id, int(incarnation), repeat == _REPEAT)


@dataclass
class _Schedule:
    """Looks at one runner: how many were answered, and when the next one is due."""

    runner: RunnerState
    due_s: float
    answered: int = 0


class OrphanSweep:
    """State of the looks at all owned runners. Not safe for threads.

    Args:
        gateway_id: This gateway.
        incarnation: This process's start time, in milliseconds.
    """

    def __init__(self, gateway_id: str, incarnation: int) -> None:
        self._gateway_id = gateway_id
        self._incarnation = incarnation
        self._live: dict[str, int] = {}
        self._missing_since_s: dict[str, float] = {}
        self._schedules: dict[str, _Schedule] = {}

    def update(
        self, owned: Iterable[RunnerState], gateways: Iterable[GatewayState], now_s: float
    ) -> None:
        """Take the runners that this gateway owns now, and the gateways that are live."""
        live = {gateway.gateway_id: gateway.incarnation for gateway in gateways}
        live[self._gateway_id] = self._incarnation
        has_lost = any(live.get(name) != before for name, before in self._live.items())
        self._live = live
        for name in self._missing_since_s.keys() & live.keys():
            del self._missing_since_s[name]
        known = {} if has_lost else self._schedules
        self._schedules = {}
        for runner in owned:
            schedule = known.get(runner.runner_id, _Schedule(runner, now_s))
            schedule.runner = runner
            self._schedules[runner.runner_id] = schedule

    def take_due(self, now_s: float) -> list[RunnerState]:
        """Return the runners to look at now.

        Each look ends with ``find_orphans`` or ``query_failed``.
        """
        due = [schedule for schedule in self._schedules.values() if schedule.due_s <= now_s]
        for schedule in due:
            schedule.due_s = math.inf
        return [schedule.runner for schedule in due]

    def find_orphans(
        self, runner_id: str, requests: Iterable[HeldRequest], now_s: float
    ) -> list[str]:
        """Take what a runner holds; returns the ids of the requests to cancel there."""
        schedule = self._schedules.get(runner_id)
        if schedule is None:
            return []
        if schedule.answered < len(LATER_LOOKS_S):
            schedule.due_s = now_s + LATER_LOOKS_S[schedule.answered]
        schedule.answered += 1
        return [held.request_id for held in requests if self._is_orphan(held, now_s)]

    def query_failed(self, runner_id: str, now_s: float) -> None:
        """A runner did not answer, or did not take a cancel: look again at the next chance."""
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
