"""Open-loop callers of a real fleet: requests leave at fixed times, and each token is timed."""

from __future__ import annotations

import itertools
import json
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import urllib3

from testbed.fleet.caller import CHAT_PATH, DONE, chat_body
from testbed.load.latency import LatencyRecorder
from testbed.load.workload import Arrival

CALLER_THREADS = 256
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 60.0
EVENT_PREFIX = b"data:"


@dataclass
class CallerMeasures:
    """Latencies and outcomes of online requests, as their callers saw them."""

    first_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    inter_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    finished: int = 0
    refused: int = 0


class OpenLoopCallers:
    """Sends arrivals through gateways in turn.

    A request's clock starts at its planned time, so a late sender counts as latency.
    """

    def __init__(self, gateways: list[str], key: str, model: str) -> None:
        self.measures = CallerMeasures()
        self._gateways = gateways
        self._key = key
        self._model = model
        self._lock = threading.Lock()
        self._threads = ThreadPoolExecutor(CALLER_THREADS, thread_name_prefix="caller")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        self._pool = urllib3.PoolManager(maxsize=CALLER_THREADS, retries=False, timeout=timeout)

    def run(self, arrivals: list[Arrival], start_s: float) -> None:
        """Send every arrival at its time after ``start_s`` (monotonic) and wait for all answers."""
        calls: list[Future[None]] = []
        for number, arrival in enumerate(arrivals):
            due_s = start_s + arrival.at_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            gateway = self._gateways[number % len(self._gateways)]
            calls.append(self._threads.submit(self._call, arrival, gateway, due_s))
        for call in calls:
            call.result()
        self._threads.shutdown()
        self._pool.clear()

    def _call(self, arrival: Arrival, gateway: str, due_s: float) -> None:
        body = chat_body(self._model, arrival.prompt, arrival.output_tokens) | {"stream": True}
        try:
            times_s, whole = self._token_times(gateway, json.dumps(body).encode())
        except urllib3.exceptions.HTTPError:
            times_s, whole = [], False
        with self._lock:
            self._record(times_s, due_s, whole=whole)

    def _token_times(self, gateway: str, body: bytes) -> tuple[list[float], bool]:
        """Return when each token came, and whether the answer came to its end."""
        headers = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json"}
        response = self._pool.request(
            "POST", gateway + CHAT_PATH, body=body, headers=headers, preload_content=False
        )
        if response.status != 200:
            response.drain_conn()
            return [], False
        times_s: list[float] = []
        pending = b""
        is_done = False
        for chunk in response.stream(65536):
            now_s = time.monotonic()
            *lines, pending = (pending + chunk).split(b"\n")
            for line in lines:
                text = line.removeprefix(EVENT_PREFIX).strip().decode()
                is_done = is_done or text == DONE
                if line.startswith(EVENT_PREFIX) and _has_token(text):
                    times_s.append(now_s)
        return times_s, is_done

    def _record(self, times_s: list[float], due_s: float, *, whole: bool) -> None:
        if not whole or not times_s:
            self.measures.refused += 1
            return
        self.measures.finished += 1
        self.measures.first_token.record(times_s[0] - due_s)
        for before_s, after_s in itertools.pairwise(times_s):
            self.measures.inter_token.record(after_s - before_s)


def _has_token(text: str) -> bool:
    if text == DONE or not text:
        return False
    choices = json.loads(text).get("choices", [])
    return any(choice.get("delta", {}).get("content") for choice in choices)
