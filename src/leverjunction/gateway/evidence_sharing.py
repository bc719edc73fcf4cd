"""Shares evidence of requests that crash engines with the other gateways.

A caller may repeat such a request at any gateway, so each gateway tells all others of a crash at
once, and gateways that appear in its view of all that stands. Messages may be lost: a reply holds
what the peer knows in addition, and each gateway asks one other from time to time for all that it
knows.
"""

from __future__ import annotations

import math
import random as random_module
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.gateway.crashing_requests import CrashingRequests
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.quarantine.records import (
    MAX_SHARED_RECORDS,
    EvidenceNotice,
    EvidenceReply,
    SharedRecord,
)
from leverjunction.wire.control_client import EVIDENCE_TIMEOUT_S
from leverjunction.wire.messages import GatewayState
from leverjunction.wire.peer_calls import PeerCalls

HEARD_TIMEOUT_S = 0.1
"""Longest wait until the other gateways have heard of a crash. Afterwards the request may be sent
again, here or by its caller at another gateway.
"""

VERDICT_HEARD_TIMEOUT_S = 2 * EVIDENCE_TIMEOUT_S
"""Longest wait until the gateways that answer have heard of the crash from which a request is
refused: it ends here, and its caller may send it again elsewhere at once. A message to a gateway
may wait for the one before it.
"""

SHARING_THREADS = 8
MAX_PENDING_KEYS = 1_000
"""Maximum number of requests that wait for a message to one peer; more are not sent to it."""

FIRST_PULLS = 3
"""Gateways that a starting gateway asks for their evidence."""

PULL_INTERVAL_S = 10.0
"""Mean time between two requests for all evidence of another gateway."""

SendNotice = Callable[[str, EvidenceNotice], "EvidenceReply | Failure"]
"""Sends a notice to a gateway's RPC address and returns its reply; blocks."""


class Countdown:
    """Lets a thread wait until each of several peers has been called. Thread-safe."""

    __slots__ = ("_event", "_left", "_lock")

    def __init__(self, count: int) -> None:
        self._left = count
        self._lock = threading.Lock()
        self._event = threading.Event()
        if count == 0:
            self._event.set()

    def count_down(self) -> None:
        """Record that one peer has been called."""
        with self._lock:
            self._left -= 1
            if self._left <= 0:
                self._event.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for all peers; returns False if time runs out."""
        return self._event.wait(timeout_s)


class _Outbox:
    """Keys whose evidence is still to be sent to one peer, and who waits for that."""

    __slots__ = ("countdowns", "keys")

    def __init__(self) -> None:
        self.keys: dict[str, None] = {}
        self.countdowns: list[Countdown] = []


class EvidenceSharing:
    """Sends evidence to all other gateways, and asks for theirs. Thread-safe.

    Args:
        gateway_id: Name of this gateway.
        zone: Zone of this gateway.
        requests: This gateway's evidence.
        view: The other gateways.
        send: Sends a notice.
        clock: Monotonic clock.
        counters: Metrics of the gateway.
        random: Generator of the peers to ask and of the time between two requests.
    """

    def __init__(
        self,
        gateway_id: str,
        zone: str,
        requests: CrashingRequests,
        view: ClusterView,
        send: SendNotice,
        clock: Clock,
        counters: GatewayCounters,
        random: random_module.Random,
    ) -> None:
        self._gateway_id = gateway_id
        self._zone = zone
        self._requests = requests
        self._view = view
        self._send = send
        self._clock = clock
        self._counters = counters
        self._random = random
        self._lock = threading.Lock()
        self._outboxes: dict[str, _Outbox] = {}
        self._failing: set[tuple[str, int]] = set()
        self._known_peers: set[tuple[str, int]] = set()
        self._seen_gateways: dict[str, GatewayState] | None = None
        self._next_pull_s: float | None = None
        self._stopped = False
        self._threads = ThreadPoolExecutor(SHARING_THREADS, thread_name_prefix="crash-evidence")
        # What waits for a peer is joined in its outbox, so no call is dropped for its age.
        self._calls = PeerCalls(self._threads, SHARING_THREADS, clock, max_wait_s=math.inf)

    def crashed(self, key: str) -> None:
        """Tell the other gateways of a crash, and wait until they have heard of it.

        The wait is longer if the request is refused from now on (``VERDICT_HEARD_TIMEOUT_S``), but
        not for gateways whose last message failed.
        """
        began_s = self._clock.monotonic_s()
        answering, failing = self._by_last_message(self._peers(self._view.snapshot))
        heard, heard_by_failing = self._tell(answering, [key]), self._tell(failing, [key])
        timeout_s = HEARD_TIMEOUT_S
        if self._requests.is_refused(key):
            timeout_s = VERDICT_HEARD_TIMEOUT_S
        is_heard = heard.wait(timeout_s)
        left_s = began_s + HEARD_TIMEOUT_S - self._clock.monotonic_s()
        is_heard &= heard_by_failing.wait(max(0.0, left_s))
        if not is_heard:
            self._counters.crash_evidence.labels("unheard").inc()
            logger.info("some gateways may not have heard of a crash during request {} yet", key)

    def answered(self, key: str) -> None:
        """Tell the other gateways that a suspect request got a complete response."""
        self._publish(key)

    def on_view(self, snapshot: ClusterSnapshot) -> None:
        """Tell new gateways what stands, and ask others if it is time; called after each exchange.

        Must not be called by several threads at a time.
        """
        if snapshot.gateways is not self._seen_gateways:
            self._seen_gateways = snapshot.gateways
            self._greet(self._peers(snapshot))
        now_s = self._clock.monotonic_s()
        if self._next_pull_s is None or now_s >= self._next_pull_s:
            self._ask(self._peers(snapshot), now_s)

    def stop(self) -> None:
        """Stop sending."""
        with self._lock:
            self._stopped = True
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _peers(self, snapshot: ClusterSnapshot) -> list[GatewayState]:
        """Return the other gateways, those of the own zone first: callers mostly go on to them."""
        peers = [
            peer
            for peer in snapshot.gateways.values()
            if peer.gateway_id != self._gateway_id and not peer.stopping
        ]
        return sorted(peers, key=lambda peer: peer.zone != self._zone)

    def _by_last_message(
        self, peers: list[GatewayState]
    ) -> tuple[list[GatewayState], list[GatewayState]]:
        """Return the peers whose last message did not fail, and the others."""
        with self._lock:
            failing = set(self._failing)
        return (
            [peer for peer in peers if _name(peer) not in failing],
            [peer for peer in peers if _name(peer) in failing],
        )

    def _publish(self, key: str) -> Countdown:
        return self._tell(self._peers(self._view.snapshot), [key])

    def _tell(self, peers: list[GatewayState], keys: list[str]) -> Countdown:
        """Send the evidence about some requests to some peers, after what waits for them."""
        countdown = Countdown(len(peers) if keys else 0)
        with self._lock:
            if self._stopped or not keys:
                return countdown
            for peer in peers:
                outbox = self._outboxes.get(peer.rpc_address)
                if outbox is None:
                    outbox = self._outboxes[peer.rpc_address] = _Outbox()
                    self._calls.submit(peer.rpc_address, partial(self._empty, peer))
                outbox.countdowns.append(countdown)
                for key in keys:
                    if key in outbox.keys or len(outbox.keys) < MAX_PENDING_KEYS:
                        outbox.keys[key] = None
                    else:
                        self._counters.crash_evidence.labels("dropped").inc()
        return countdown

    def _greet(self, peers: list[GatewayState]) -> None:
        names = {_name(peer) for peer in peers}
        new = [peer for peer in peers if _name(peer) not in self._known_peers]
        self._known_peers = names
        with self._lock:
            self._failing &= names
        self._tell(new, [record.key for record in self._requests.newest_records()])

    def _ask(self, peers: list[GatewayState], now_s: float) -> None:
        """Ask one other gateway for its evidence, and some at the start."""
        if not peers:
            return
        count = FIRST_PULLS if self._next_pull_s is None else 1
        self._next_pull_s = now_s + PULL_INTERVAL_S * (0.5 + self._random.random())
        with self._lock:
            if not self._stopped:
                for peer in self._random.sample(peers, min(count, len(peers))):
                    self._calls.submit(peer.rpc_address, partial(self._pull, peer))

    def _empty(self, peer: GatewayState) -> Failure | None:
        """Send a peer all that waits for it, one message at a time; return the last failure."""
        failure = None
        while taken := self._take(peer.rpc_address):
            keys = list(taken.keys)
            for first in range(0, len(keys), MAX_SHARED_RECORDS):
                records = self._requests.records(keys[first : first + MAX_SHARED_RECORDS])
                failure = self._call(peer, EvidenceNotice(records=tuple(records)))
            for countdown in taken.countdowns:
                countdown.count_down()
        return failure

    def _take(self, address: str) -> _Outbox | None:
        """Return what waits for a peer; without anything the outbox is removed."""
        with self._lock:
            outbox = self._outboxes.pop(address)
            if not outbox.keys:
                return None
            self._outboxes[address] = _Outbox()
            return outbox

    def _pull(self, peer: GatewayState) -> Failure | None:
        return self._call(peer, EvidenceNotice(wants_all=True))

    def _call(self, peer: GatewayState, notice: EvidenceNotice) -> Failure | None:
        try:
            reply = self._send(peer.rpc_address, notice)
            if isinstance(reply, Failure):
                self._note_failure(peer, reply)
                return reply
            self._merge(reply.records)
        except Exception:
            # Nobody reads the result of a pool's task, and others wait for the next messages.
            logger.exception("could not share evidence of crashes with {}", peer.gateway_id)
            self._counters.crash_evidence.labels("failed").inc()
            return None
        self._counters.crash_evidence.labels("sent").inc()
        with self._lock:
            self._failing.discard(_name(peer))
        return None

    def _merge(self, records: tuple[SharedRecord, ...]) -> None:
        if records:
            self._requests.merge(records)

    def _note_failure(self, peer: GatewayState, failure: Failure) -> None:
        """Count a failure and log it if the last message arrived; an older gateway fails each."""
        self._counters.crash_evidence.labels("failed").inc()
        name = _name(peer)
        with self._lock:
            is_known = name in self._failing
            self._failing.add(name)
        if not is_known:
            logger.warning(
                "gateway {} took no evidence of crashes: {}", peer.gateway_id, failure.reason
            )


def _name(peer: GatewayState) -> tuple[str, int]:
    """Return what tells one start of a gateway from the next."""
    return peer.gateway_id, peer.incarnation


__all__ = ["EvidenceSharing"]
