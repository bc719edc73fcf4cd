"""Callers that keep their connections to a gateway until its process is gone."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from random import Random

import words
from machines import CALLERS_PORT, Machine
from stop_records import StopRequest, StopRun

from testbed.routed import RawCaller, Seen
from testbed.routed.exchange import EVENTS_HEADER, RESUMABLE_FOLDER, WORK_MS_HEADER
from testbed.routed.runner import RunnerStandIn

LIMIT_MS = 8_000
"""Deadline of the requests, and timeout of their routes."""

READ_TIMEOUT_S = 12.0
EVENTS = 28
SHORT = (("once", "/once/"), ("repeatable", "/repeatable/"))
STREAMS = (("stream", "/stream/"), ("resumed", RESUMABLE_FOLDER))
STREAMS_S: dict[str, tuple[float, float]] = {
    "0.9 s": (0.9, 0.9),
    "7 s": (7.0, 7.0),
    "mixed": (1.0, 7.0),
}
"""Shortest and longest time of a stream; mixed ones take turns with short requests."""

MIXED = "mixed"
FIRST_PAUSES_S = ((0.0, 0.0), (0.0, 0.0), (0.0, 0.45), (0.0, 6.0))
"""Shortest and longest time from a new connection to its first request, drawn for each one."""

PAUSES_S = ((0.0, 0.0), (0.0, 0.1), (0.0, 0.5))
"""The same between an answer and the next request."""

REFUSED_PAUSE_S = 0.1


class StopCallers:
    """What all these callers share.

    Args:
        gateways: Where they send requests.
        streams: Key of ``STREAMS_S``.
        take: Takes what became of each request; called by any thread.
        ending: They send nothing more once it is set.
    """

    __slots__ = ("_ending", "_gateways", "_is_mixed", "_streams_s", "_take")

    def __init__(
        self,
        gateways: list[Machine],
        streams: str,
        take: Callable[[StopRequest], None],
        ending: threading.Event,
    ) -> None:
        self._gateways = gateways
        self._streams_s = STREAMS_S[streams]
        self._is_mixed = streams == MIXED
        self._take = take
        self._ending = ending

    def keep(self, random: Random, home: Machine | None = None) -> None:
        """Send requests until the end, on one connection after the other.

        Args:
            random: Draws kinds and times.
            home: The gateway to begin with; any if None.
        """
        machine = home or random.choice(self._gateways)
        while not self._ending.is_set():
            try:
                caller = RawCaller(f"{machine.host}:{CALLERS_PORT}", READ_TIMEOUT_S)
            except OSError:
                self._ending.wait(REFUSED_PAUSE_S)
                machine = random.choice(self._gateways)
                continue
            try:
                self._use(caller, machine, random)
            finally:
                caller.close()

    def _use(self, caller: RawCaller, machine: Machine, random: Random) -> None:
        """Send one request after the other for as long as the connection lasts."""
        number = random.randrange(2)
        self._ending.wait(random.uniform(*random.choice(FIRST_PAUSES_S)))
        while not (self._ending.is_set() or caller.has_ended()):
            is_short = self._is_mixed and number % 2 == 0
            kind, folder = random.choice(SHORT if is_short else STREAMS)
            work_s = 0.0 if is_short else random.uniform(*self._streams_s)
            if not self._ask(caller, machine, kind, folder, work_s, random):
                return
            number += 1
            self._ending.wait(random.uniform(*random.choice(PAUSES_S)))

    def _ask(
        self,
        caller: RawCaller,
        machine: Machine,
        kind: str,
        folder: str,
        work_s: float,
        random: Random,
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        request_id = f"p{random.getrandbits(48):012x}"
        headers = {
            "Host": words.HOST,
            words.REQUEST_ID: request_id,
            words.DEADLINE_MS: str(LIMIT_MS),
        }
        if work_s:
            headers |= {EVENTS_HEADER: str(EVENTS), WORK_MS_HEADER: str(round(work_s * 1000))}
        began_s = sent_s = time.monotonic()
        status, is_whole, events, kept = 0, False, 0, False
        try:
            caller.send("POST", folder + request_id, headers, b"ask")
            sent_s = time.monotonic()
            reply = caller.receive()
        except OSError:
            pass
        else:
            status, is_whole = reply.status, reply.complete
            events = reply.body.count(b"\n\n")
            kept = is_whole and "close" not in reply.headers.get("connection", "").lower()
        self._take(
            StopRequest(
                request_id,
                kind,
                machine.name,
                began_s,
                sent_s,
                time.monotonic(),
                status,
                is_whole,
                events,
                EVENTS if work_s else 0,
                LIMIT_MS / 1000,
            )
        )
        return kept


def fall_silent(runner: RunnerStandIn, requests: int) -> None:
    """Have a runner answer none of its next requests of callers; it goes on to tell of itself."""
    for _, folder in (*SHORT, *STREAMS):
        runner.then_below(folder, *["silent"] * requests)


def run_of(seen: Seen, *, has_broken_off: bool) -> StopRun:
    """Return a request as it reached a runner, which may have broken its answer off."""
    has_no_slot = seen.placed_s is None
    request_id = seen.headers.get(words.REQUEST_ID.lower(), "")
    return StopRun(request_id, seen.began_s, seen.ended_s, has_no_slot, has_broken_off)
