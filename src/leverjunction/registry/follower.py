"""Keeps a gateway's or a store's copy of the registry up to date by long polling.

A *hub* is a control process that serves the registry. A *stall* is a time in which this process did
not run, for example because its machine was suspended: the copy may be out of date afterwards.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from random import Random

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.registry.commands import WatchReply
from leverjunction.registry.metrics import UNFIT_CHANGES
from leverjunction.registry.version_leases import SharedRevisions, VersionChanges
from leverjunction.registry.watch_schedule import (
    RETRY_PAUSE_S,
    WatchSchedule,
    check_not_behind,
    near_first,
)
from leverjunction.registry.watched_state import Snapshot, WatchedState
from leverjunction.standstills import Freshness
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

MAX_AGE_S = 3600.0
"""Age that is reported for older state, and before any state is complete."""

MIN_STALL_S = 0.5
"""Shortest stall after which the copy must be confirmed by a hub before back ends are chosen. With
the longest wait for a reply it is below the 2 s in which changes must be in force.
"""

MAX_DOUBT_S = 2.0
"""Longest wait of requests for that reply: covers two unresponsive hubs and an election."""


class RegistryFollower:
    """Polls one hub at a time from a thread, and switches to the next one when a call fails.

    Attributes:
        standstills: Number of stalls of this process that were detected.

    Args:
        rpc: Client of the internal RPC.
        seeds: RPC addresses of the hubs that are known at the start.
        member: Name of this machine if it may hold replicas, else empty.
        clock: Source of monotonic time.
        random: Shuffles the order of the hubs and varies the pauses between calls.
        changed: Called with each newer state, from the follower's thread.
        zone: Zone of this machine: of the hubs that are known, those of the zone are polled first.
        gateway: Name of this process if it is a gateway, else empty. Its calls then acknowledge
            the versions of the back ends' software.
        confirmed: Called after each reply with which the newest state is complete, from the
            follower's thread and after ``changed``: with the latest monotonic time, in seconds, up
            to which that state includes all commits.
    """

    def __init__(
        self,
        rpc: RpcClient,
        seeds: tuple[str, ...],
        member: str,
        clock: Clock,
        random: Random,
        changed: Callable[[Snapshot], None],
        zone: str = "",
        gateway: str = "",
        confirmed: Callable[[float], None] = lambda _until_s: None,
    ) -> None:
        self._rpc = rpc
        self._member = member
        self._zone = zone
        # Each start has a name of its own: what a former one acknowledged says nothing of this one.
        self._gateway = f"{gateway}/{random.getrandbits(48):x}" if gateway else ""
        self._shared = SharedRevisions()
        self._version_changes = VersionChanges()
        self._clock = clock
        self._random = random
        self._schedule = WatchSchedule(random)
        self._changed = changed
        self._confirmed = confirmed
        self._hubs = list(seeds)
        self._seeds = seeds
        random.shuffle(self._hubs)
        self._state = WatchedState()
        self._is_delivered = True
        self._replied_s = clock.monotonic_s()
        self._complete_until_s = -math.inf
        """Latest time up to which the newest state is known to include all commits."""
        self._verified_until_s = -math.inf
        self._is_connected = False
        self._freshness = Freshness(MIN_STALL_S, MAX_DOUBT_S)
        self.standstills = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="registry-follower", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to stop, without waiting for it."""
        self._stopped.set()

    def snapshot(self) -> Snapshot | None:
        """Return the newest state, None before the first reply."""
        return self._state.snapshot

    def shared_revisions(self) -> SharedRevisions:
        """Return the revisions that all gateways and control processes have, as last told."""
        return self._shared

    def hubs(self) -> list[str]:
        """Return the RPC addresses of all known hubs, beginning with the one being polled."""
        return list(self._hubs)

    def age_s(self) -> float:
        """Return the seconds since the last successful reply of a hub."""
        return self._clock.monotonic_s() - self._replied_s

    def table_age_s(self) -> float:
        """Return the upper bound of the newest state's age, in seconds.

        Changes during that time may be unknown to this process.
        """
        return min(self._clock.monotonic_s() - self._complete_until_s, MAX_AGE_S)

    def verified_age_s(self) -> float:
        """Return the same by calls to the leader: sound also beside a hub that is slow."""
        return min(self._clock.monotonic_s() - self._verified_until_s, MAX_AGE_S)

    def is_in_doubt(self) -> bool:
        """Return whether this process stalled and has not confirmed its state since."""
        return self._freshness.is_in_doubt(self._clock.monotonic_s())

    def last_pause_end_s(self) -> float:
        """Return when the last detected stall of this process ended; see ``Freshness``."""
        return self._freshness.last_pause_end_s(self._clock.monotonic_s())

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._poll_once()
            except Exception:
                # The thread must survive: nothing else receives changes of routes and back ends.
                logger.exception("polling control process {} failed", self._hubs[0])
                self._switch_hub(RETRY_PAUSE_S)

    def _poll_once(self) -> None:
        sent_s = self._clock.monotonic_s()
        reply = self._poll(self._hubs[0])
        if isinstance(reply, Failure):
            self._log_loss(reply)
            lasted_s = self._clock.monotonic_s() - sent_s
            self._switch_hub(self._schedule.record_failure(reply, lasted_s))
            return
        self._replied_s = self._clock.monotonic_s()
        self._schedule.record_success()
        self._log_reply(reply)
        self._update_hubs(reply.controls)
        is_first = self._state.snapshot is None
        is_complete = self._merge_reply(reply)
        snapshot = self._state.snapshot
        if is_first and snapshot is not None:
            # Only now the zones of the hubs are known.
            followed = self._hubs[0]
            self._hubs = near_first(self._hubs, snapshot.view, self._zone)
            self._is_connected = self._hubs[0] == followed
        if not is_complete:
            # The next call, at once, gets a whole state; until then nothing newer is known here.
            return
        complete_s = sent_s + reply.held_s - reply.contact_age_s
        self._complete_until_s = max(self._complete_until_s, complete_s)
        if reply.verified_age_s is not None:
            verified_s = sent_s + reply.held_s - reply.verified_age_s
            self._verified_until_s = max(self._verified_until_s, verified_s)
        self._confirmed(self._complete_until_s)
        # A hub without recent contact with its leader, for example after a stall of its own,
        # replies with a failure and never gets here.
        self._freshness.refreshed(sent_s)

    def _begin_step(self, longest_s: float) -> None:
        stalled_s = self._freshness.step_begins(self._clock.monotonic_s(), longest_s)
        if stalled_s > 0:
            self.standstills += 1
            logger.warning(
                "this process stalled for {:.1f} s; requests wait for the current registry",
                stalled_s,
            )

    def _switch_hub(self, pause_s: float) -> None:
        self._begin_step(pause_s)
        self._hubs.append(self._hubs.pop(0))
        self._stopped.wait(pause_s)

    def _poll(self, hub: str) -> WatchReply | Failure:
        has_state = self._state.snapshot is not None
        options = self._schedule.next_options(
            has_state, len(self._hubs), at_once=self.is_in_doubt()
        )
        self._begin_step(options.timeout_s)
        request = self._state.make_request(
            options.wait_ms, self._member, self._gateway, self._awaited_revision()
        )
        reply = self._rpc.call(
            hub, MessageKind.REGISTRY_WATCH, request, WatchReply, timeout_s=options.timeout_s
        )
        if isinstance(reply, Failure):
            return reply
        return check_not_behind(reply, request.table_version, request.revision) or reply

    def _awaited_revision(self) -> int:
        snapshot = self._state.snapshot
        if snapshot is None or not self._gateway:
            return -1
        now_s = self._clock.monotonic_s()
        self._version_changes.update(snapshot.view, now_s)
        is_pending = self._version_changes.is_pending(self._shared, now_s)
        return self._version_changes.revision if is_pending else -1

    def _merge_reply(self, reply: WatchReply) -> bool:
        """Take over a reply and deliver what is newer; return whether all of it fitted."""
        known = self._state.snapshot
        self._shared = self._shared.merged(reply.shared)
        is_complete = self._state.merge(reply)
        snapshot = self._state.snapshot
        if not is_complete:
            UNFIT_CHANGES.inc()
            logger.warning(
                "changes of the registry from {} do not fit table {} and revision {} here",
                self._hubs[0],
                known.table.version if known else 0,
                known.view.revision if known else 0,
            )
        if snapshot is None or (snapshot is known and self._is_delivered):
            return is_complete
        replaced = known.table.version if known else 0
        if snapshot.table.version != replaced:
            logger.info("route table {} is in force, replaces {}", snapshot.table.version, replaced)
        self._deliver(snapshot)
        return is_complete

    def _deliver(self, snapshot: Snapshot) -> None:
        """Call the receiver with a state; if it raises, the next reply triggers another call."""
        self._is_delivered = False
        try:
            self._changed(snapshot)
        except Exception:
            # The thread must survive: without it the process would miss all later changes.
            logger.exception("applying a change of the registry failed")
            return
        self._is_delivered = True

    def _update_hubs(self, controls: tuple[str, ...]) -> None:
        known = dict.fromkeys([self._hubs[0], *controls, *self._seeds])
        if set(known) != set(self._hubs):
            others = [hub for hub in known if hub != self._hubs[0]]
            self._random.shuffle(others)
            snapshot = self._state.snapshot
            if snapshot is not None:
                others = near_first(others, snapshot.view, self._zone)
            self._hubs = [self._hubs[0], *others]

    def _log_loss(self, failure: Failure) -> None:
        if self._is_connected:
            logger.warning("lost control process {}: {}", self._hubs[0], failure.reason)
        self._is_connected = False

    def _log_reply(self, reply: WatchReply) -> None:
        if not self._is_connected:
            logger.info(
                "following control process {}: table {}, contact {:.1f} s ago, held {:.1f} s",
                self._hubs[0],
                reply.table_version,
                reply.contact_age_s,
                reply.held_s,
            )
        self._is_connected = True


__all__ = ["MAX_AGE_S", "RegistryFollower", "Snapshot"]
