"""Keeps a gateway's or a store's copy of the registry up to date."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from random import Random

import msgspec
from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.quarantine.records import SuspectList
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.records import FleetView
from leverjunction.registry.watch_schedule import RETRY_PAUSE_S, WatchSchedule, check_not_behind
from leverjunction.routes.types import RouteTable
from leverjunction.standstills import Freshness
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

NEVER_COMPLETE_S = 3600.0

STANDSTILL_S = 0.5
"""Shortest standstill after which a control process is asked before back ends are chosen. With the
longest wait for an answer it is below the 2 s in which news are to be in force.
"""

DOUBT_S = 2.0
"""How long requests wait for that answer: two silent control processes, and an election."""


class Snapshot(msgspec.Struct, frozen=True):
    """What a process knows of the registry.

    Attributes:
        table: The route table in force.
        view: The runners and the machines.
        suspects: Requests under which back ends ended.
    """

    table: RouteTable
    view: FleetView
    suspects: SuspectList = SuspectList()


class RegistryFollower:
    """One thread that asks one control process at a time, the next one when that is silent.

    Attributes:
        standstills: How often this process was found to have stood still.

    Args:
        rpc: Client of the internal RPC.
        seeds: RPC addresses to begin with.
        member: Name of this machine if it may hold replicas, else empty.
        clock: Source of monotonic time.
        random: Chooses where to begin.
        changed: Called with each newer state, from this thread.
    """

    def __init__(
        self,
        rpc: RpcClient,
        seeds: tuple[str, ...],
        member: str,
        clock: Clock,
        random: Random,
        changed: Callable[[Snapshot], None],
    ) -> None:
        self._rpc = rpc
        self._member = member
        self._clock = clock
        self._random = random
        self._plan = WatchSchedule(random)
        self._changed = changed
        self._hubs = list(seeds)
        self._seeds = seeds
        random.shuffle(self._hubs)
        self._snapshot: Snapshot | None = None
        self._is_told = True
        self._answered_s = clock.monotonic_s()
        self._complete_s = -math.inf
        """Until when the newest state is known to be all that was committed."""
        self._in_touch = False
        self._freshness = Freshness(STANDSTILL_S, DOUBT_S)
        self.standstills = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="registry-follower", daemon=True)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopped.set()

    def snapshot(self) -> Snapshot | None:
        """Return the newest state, None before the first."""
        return self._snapshot

    def hubs(self) -> list[str]:
        """Return the RPC addresses of control processes, the one that answers first."""
        return list(self._hubs)

    def age_s(self) -> float:
        """Return the seconds since a control process last answered."""
        return self._clock.monotonic_s() - self._answered_s

    def table_age_s(self) -> float:
        """Return how old the newest state may be, in seconds: what changed since is not known."""
        return min(self._clock.monotonic_s() - self._complete_s, NEVER_COMPLETE_S)

    def is_in_doubt(self) -> bool:
        """Return whether this process stood still and has not been told the newest state since."""
        return self._freshness.is_in_doubt(self._clock.monotonic_s())

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._ask_once()
            except Exception:
                # This thread must go on: nothing else would learn of routes and back ends.
                logger.exception("asking control process {} failed", self._hubs[0])
                self._ask_another(RETRY_PAUSE_S)

    def _ask_once(self) -> None:
        sent_s = self._clock.monotonic_s()
        reply = self._ask(self._hubs[0])
        if isinstance(reply, Failure):
            self._note_loss(reply)
            lasted_s = self._clock.monotonic_s() - sent_s
            self._ask_another(self._plan.record_failure(reply, lasted_s))
            return
        self._answered_s = self._clock.monotonic_s()
        self._plan.record_success()
        self._note_answer(reply)
        self._learn_hubs(reply.controls)
        self._take(reply)
        complete_s = sent_s + reply.held_s - reply.contact_age_s
        self._complete_s = max(self._complete_s, complete_s)
        # A hub that answers has heard its leader lately; one that stood still as well says so.
        self._freshness.refreshed(sent_s)

    def _step_begins(self, longest_s: float) -> None:
        stood_s = self._freshness.step_begins(self._clock.monotonic_s(), longest_s)
        if stood_s > 0:
            self.standstills += 1
            logger.warning("this process stood still for {:.1f} s; work waits for news", stood_s)

    def _ask_another(self, pause_s: float) -> None:
        self._step_begins(pause_s)
        self._hubs.append(self._hubs.pop(0))
        self._stopped.wait(pause_s)

    def _ask(self, hub: str) -> WatchReply | Failure:
        known = self._snapshot
        ask = self._plan.next_options(
            known is not None, len(self._hubs), at_once=self.is_in_doubt()
        )
        self._step_begins(ask.timeout_s)
        request = WatchRequest(
            table_version=known.table.version if known else -1,
            revision=known.view.revision if known else -1,
            wait_ms=ask.wait_ms,
            member=self._member,
            fresh=known is None,
            suspects_revision=known.suspects.revision if known else 0,
        )
        reply = self._rpc.call(
            hub, MessageKind.REGISTRY_WATCH, request, WatchReply, timeout_s=ask.timeout_s
        )
        if isinstance(reply, Failure):
            return reply
        return check_not_behind(reply, request.table_version, request.revision) or reply

    def _take(self, reply: WatchReply) -> None:
        known = self._snapshot or Snapshot(RouteTable(), FleetView())
        table = known.table
        if reply.table is not None and reply.table.version > table.version:
            table = reply.table
        view = known.view
        if reply.view is not None and reply.view.revision > view.revision:
            view = reply.view
        suspects = known.suspects
        if reply.suspects is not None and reply.suspects.revision > suspects.revision:
            suspects = reply.suspects
        unchanged = table is known.table and view is known.view and suspects is known.suspects
        if self._snapshot is not None and unchanged and self._is_told:
            return
        if table is not known.table:
            logger.info("route table {} is in force, after {}", table.version, known.table.version)
        self._snapshot = Snapshot(table, view, suspects)
        self._deliver(self._snapshot)

    def _deliver(self, snapshot: Snapshot) -> None:
        """Pass a state on; one whose receiver fails is passed on again with the next answer."""
        self._is_told = False
        try:
            self._changed(snapshot)
        except Exception:
            # This thread must go on: without it the process would never hear of anything again.
            logger.exception("a change of the registry could not be taken over")
            return
        self._is_told = True

    def _learn_hubs(self, controls: tuple[str, ...]) -> None:
        known = dict.fromkeys([self._hubs[0], *controls, *self._seeds])
        if set(known) != set(self._hubs):
            others = [hub for hub in known if hub != self._hubs[0]]
            self._random.shuffle(others)
            self._hubs = [self._hubs[0], *others]

    def _note_loss(self, failure: Failure) -> None:
        if self._in_touch:
            logger.warning("control process {} is lost: {}", self._hubs[0], failure.reason)
        self._in_touch = False

    def _note_answer(self, reply: WatchReply) -> None:
        if not self._in_touch:
            logger.info(
                "following control process {}: table {}, contact {:.1f} s ago, held {:.1f} s",
                self._hubs[0],
                reply.table_version,
                reply.contact_age_s,
                reply.held_s,
            )
        self._in_touch = True
