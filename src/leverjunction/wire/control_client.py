"""A gateway's client of control: proposals, queries and the exchange, through one hub at a time."""

from __future__ import annotations

import random as random_module
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
from loguru import logger

from leverjunction.clock import Clock, SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.backoff import TimeoutBackoff
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.hub_selector import HubSelector
from leverjunction.wire.messages import (
    Acknowledged,
    ExchangeReply,
    ExchangeRequest,
    YieldNotice,
)
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

DEFAULT_CALL_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 2.0
"""Longest wait for one hub. It is above the hub's own wait for the leader (1.5 s)."""

EXCHANGE_TIMEOUT_S = 1.0
FULL_EXCHANGE_TIMEOUT_S = 2.0
"""For the exchange of a gateway that has no settings yet: the reply may hold megabytes."""

YIELD_TIMEOUT_S = 0.5
MAX_QUORUM_AGE_S = 2.0
"""A hub that has not heard the leader for longer is left for another one."""

RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.3

_RETRIED = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LISTENING,
        FailureKind.TIMEOUT,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.OUTCOME_UNKNOWN,
        FailureKind.OVERLOADED,
        FailureKind.STALE,
        FailureKind.STOPPING,
    }
)
"""Failures that another try can mend: every command of the groups is idempotent."""

_HUB_IS_DEAD = frozenset({FailureKind.UNREACHABLE, FailureKind.NOT_LISTENING, FailureKind.STOPPING})
"""Failures that say the hub itself is gone, whatever else is true."""


class ControlClient:
    """Speaks to control through one hub, and to the next when that is dead or stale.

    Safe to share between threads. Called by the gateway's request threads (claims, jobs), its
    harvester (leases, results) and its exchange loop.

    Args:
        rpc: Client of the internal RPC.
        hubs: RPC addresses of the hubs, nearest first.
        clock: Source of monotonic time.
        random: Spreads the retries.
        sleep: Waits between retries.
    """

    def __init__(
        self,
        rpc: RpcClient,
        hubs: list[str],
        clock: Clock | None = None,
        random: random_module.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._rpc = rpc
        self._clock = clock or SystemClock()
        self._random = random or random_module.Random()
        self._sleep = sleep
        self._selector = HubSelector(hubs)
        self._backoff = TimeoutBackoff(self._random)
        self._lock = threading.Lock()

    @property
    def hub(self) -> str:
        """Address of the hub in use."""
        with self._lock:
            return self._selector.current

    def set_hubs(self, hubs: list[str]) -> None:
        """Take a new list of hubs, nearest first; an empty list changes nothing."""
        with self._lock:
            self._selector.replace(hubs)

    def propose(
        self,
        group: str,
        command: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> T | Failure:
        """Replicate a command in ``group`` and return the state machine's reply.

        Retries until ``timeout_s``, since all commands are idempotent.

        Returns:
            The reply; the state machine's own failure; or the last failure of the way there, with
            execution UNKNOWN when any try may have been committed.
        """
        return self._until(MessageKind.PROPOSE, group, command, reply_type, timeout_s)

    def query(
        self,
        group: str,
        query: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> T | Failure:
        """Ask ``group``'s leader a linearizable query; retries until ``timeout_s``."""
        return self._until(MessageKind.QUERY, group, query, reply_type, timeout_s)

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        """Exchange state with the hub; called once a second by the gateway's exchange loop.

        One try only. After a failure the next call goes to another hub, which answers with a full
        view, as its incarnation differs. The reply of a stale hub is returned all the same.
        When several exchanges in a row ran out of time nothing is sent for a while, as the hubs
        are overloaded; the failure says for how long.
        """
        with self._lock:
            wait_s = self._backoff.wait_s(self._clock.monotonic_s())
            if wait_s > 0:
                return _backing_off(self._selector.current, wait_s)
            before = self._selector.current
            hub = self._selector.reconsider(self._clock.monotonic_s())
        if hub != before:
            logger.debug("tries hub {} instead of {}", hub, before)
        timeout_s = EXCHANGE_TIMEOUT_S if request.settings_version else FULL_EXCHANGE_TIMEOUT_S
        reply = self._rpc.call(
            hub, MessageKind.EXCHANGE, request, ExchangeReply, timeout_s=timeout_s
        )
        self._note_in_time(reply)
        if isinstance(reply, Failure) and reply.kind is FailureKind.STALE:
            self._note_stale(hub, reply.reason)
        elif isinstance(reply, Failure):
            self._note_failed(hub, reply.reason)
        elif 0 <= reply.hub_settings_version < request.settings_version:
            # It may have lost its disk: nothing newer is heard from it before it is repaired.
            self._note_failed(hub, f"has settings version {reply.hub_settings_version}")
        elif reply.quorum_age_s > MAX_QUORUM_AGE_S:
            self._note_stale(hub, f"no quorum for {reply.quorum_age_s:.1f} s")
        else:
            with self._lock:
                self._selector.succeeded(hub)
        if not isinstance(reply, Failure):
            self.set_hubs(reply.hubs)
        return reply

    def notify_yield(self, rpc_address: str, notice: YieldNotice) -> Failure | None:
        """Tell a runner's owner gateway that online work arrived; one try, no retry."""
        reply = self._rpc.call(
            rpc_address, MessageKind.YIELD_NOTICE, notice, Acknowledged, timeout_s=YIELD_TIMEOUT_S
        )
        return reply if isinstance(reply, Failure) else None

    def _until(
        self,
        kind: MessageKind,
        group: str,
        message: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | Failure:
        body = encode(message)
        deadline_s = self._clock.monotonic_s() + timeout_s
        pause_s = RETRY_PAUSE_S
        unknown = False
        while True:
            hub = self.hub
            left_s = deadline_s - self._clock.monotonic_s()
            reply = self._attempt(hub, kind, group, body, reply_type, left_s)
            if not isinstance(reply, Failure) or reply.kind not in _RETRIED:
                return reply
            unknown = unknown or reply.execution is not Execution.NOT_RUN
            if reply.peer == hub and _condemns_hub(reply):
                self._note_failed(hub, reply.reason)
            wait_s = max(pause_s * (0.5 + self._random.random()), reply.retry_after_s or 0.0)
            if self._clock.monotonic_s() + wait_s >= deadline_s:
                return _final(reply, unknown)
            self._sleep(wait_s)
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)

    def _attempt(
        self,
        hub: str,
        kind: MessageKind,
        group: str,
        body: bytes,
        reply_type: type[T],
        left_s: float,
    ) -> T | Failure:
        timeout_s = max(min(left_s, ATTEMPT_TIMEOUT_S), RETRY_PAUSE_S)
        raw = self._rpc.call_raw(hub, kind, body, group=group, timeout_s=timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, hub)

    def _note_in_time(self, reply: ExchangeReply | Failure) -> None:
        with self._lock:
            if isinstance(reply, Failure) and reply.kind is FailureKind.TIMEOUT:
                self._backoff.timed_out(self._clock.monotonic_s())
            elif not isinstance(reply, Failure):
                self._backoff.answered()

    def _note_stale(self, hub: str, reason: str) -> None:
        with self._lock:
            newly = self._selector.stale(hub, self._clock.monotonic_s())
            now_used = self._selector.current
        if newly and now_used != hub:
            logger.warning("left hub {} for {}: {}", hub, now_used, reason)
        elif newly:
            logger.warning("stays with hub {}, the others are no better: {}", hub, reason)

    def _note_failed(self, hub: str, reason: str) -> None:
        with self._lock:
            newly = self._selector.failed(hub, self._clock.monotonic_s())
            now_used = self._selector.current
        if newly:
            logger.warning("left hub {} for {}: {}", hub, now_used, reason)


def _condemns_hub(failure: Failure) -> bool:
    """Return whether a failure with the hub as its peer means that the hub itself is out."""
    no_answer = failure.kind is FailureKind.TIMEOUT and failure.step is Step.RESPONDING
    return no_answer or failure.kind in _HUB_IS_DEAD


def _backing_off(hub: str, wait_s: float) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"exchanges ran out of time in a row; the next one is sent in {wait_s:.1f} s",
        step=Step.EXCHANGING,
        peer=hub,
        retry_after_s=wait_s,
    )


def _final(last: Failure, unknown: bool) -> Failure:
    """Return the last failure, never claiming NOT_RUN when an earlier try may have run."""
    if not unknown:
        return last
    return msgspec.structs.replace(last, execution=Execution.UNKNOWN)
