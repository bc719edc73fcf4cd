"""Steps the engine model in real time and hands its tokens to waiting HTTP threads."""

from __future__ import annotations

import random
import threading
import time
from collections import OrderedDict

from testbed.engine.executions import Execution, ExecutionLog
from testbed.engine.model import EngineModel
from testbed.engine.order_log import OrderLog, OrderRecord, effect_of
from testbed.engine.types import (
    CacheEvent,
    Emission,
    EngineConfig,
    EngineOrder,
    EngineRequest,
    FinishReason,
    HeldRequest,
    LoadReading,
    OrderAnswer,
    Submission,
)

FORGET_AFTER = 2000
"""Finished requests kept for resumption."""

_MS_PER_S = 1000
_PROMPT_LOGGED_CHARACTERS = 80


class LiveRequest:
    """A request with the tokens generated so far; readers wait for more of them."""

    def __init__(self, request: EngineRequest, is_chat: bool, started_ms: int) -> None:
        self.request = request
        self.is_chat = is_chat
        self.started_ms = started_ms
        self.continued = len(request.continue_text.split())
        self.finish: FinishReason | None = None
        self._tokens: list[Emission] = []
        self._changed = threading.Condition()

    def publish(self, emission: Emission) -> None:
        """Add a token or the end; ignored once the request has ended."""
        with self._changed:
            if self.finish is not None:
                return
            self._tokens.append(emission)
            self.finish = emission.finish_reason
            self._changed.notify_all()

    def tokens_after(self, position: int, timeout_s: float) -> list[Emission]:
        """Return the emissions from ``position`` on, waiting for one if there is none yet."""
        with self._changed:
            self._changed.wait_for(lambda: len(self._tokens) > position, timeout_s)
            return self._tokens[position:]

    def wait_finished(self, timeout_s: float) -> bool:
        """Wait for the end; False when it did not come in time."""
        with self._changed:
            return self._changed.wait_for(lambda: self.finish is not None, timeout_s)

    def text(self) -> str:
        """Return the text generated here so far."""
        with self._changed:
            return "".join(emission.text for emission in self._tokens)

    def generated(self) -> int:
        """Return the tokens generated here so far."""
        with self._changed:
            return sum(1 for emission in self._tokens if emission.text)


class EngineRuntime:
    """Owns a model and the thread that steps it. Safe to share between threads.

    Args:
        config: Configuration of the model.
        speed: Factor by which real time runs faster than the model's.
        log: Where executions are recorded.
        orders: Where orders are recorded.
        generator: Source of randomness for the model.
    """

    def __init__(
        self,
        config: EngineConfig,
        speed: float,
        log: ExecutionLog,
        orders: OrderLog,
        generator: random.Random,
    ) -> None:
        self._config = config
        self._speed = speed
        self._log = log
        self._orders = orders
        self._incarnation = int(time.time() * _MS_PER_S)
        self._model = EngineModel(config, generator, self._incarnation)
        self._changed = threading.Condition()
        self._live: OrderedDict[str, LiveRequest] = OrderedDict()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="engine-steps", daemon=True)

    def start(self) -> None:
        """Start stepping."""
        self._thread.start()

    def stop(self) -> None:
        """Stop stepping and wait for the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._thread.join()

    def submit(self, request: EngineRequest, is_chat: bool) -> LiveRequest | Submission:
        """Begin an execution, or return why it was refused (and not run)."""
        now_s = time.time()
        live = LiveRequest(request, is_chat, int(now_s * _MS_PER_S))
        self.cancel(request.request_id)
        with self._changed:
            submission = self._model.submit(request, now_s)
            if submission is not Submission.ACCEPTED:
                return submission
            self._record(live)
            self._live[request.request_id] = live
            self._forget_old()
            self._changed.notify_all()
        return live

    def find(self, request_id: str) -> LiveRequest | None:
        """Return a request that runs or has ended not long ago."""
        with self._changed:
            return self._live.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Stop a request; does nothing when it is unknown or has ended."""
        with self._changed:
            emission = self._model.cancel(request_id)
            live = self._live.get(request_id)
        if emission is not None and live is not None:
            live.publish(emission)
            self._record(live)

    def held_requests(self) -> list[HeldRequest]:
        """Return the requests that run or wait and were sent with an owner label."""
        with self._changed:
            return self._model.held_requests()

    def load_report(self) -> LoadReading:
        """Return the lagging load report."""
        with self._changed:
            return self._model.load_report(time.time())

    def order(self, order: EngineOrder) -> OrderAnswer:
        """Carry out a fenced order."""
        with self._changed:
            now_s = time.time()
            held = self._model.held_by(order.name)
            answer = self._model.order(order, now_s)
            self._orders.record(
                OrderRecord(
                    runner_id=self._config.runner_id,
                    incarnation=self._incarnation,
                    received_ms=int(now_s * _MS_PER_S),
                    ready_ms=int(answer.ready_s * _MS_PER_S),
                    effect=effect_of(answer),
                    held=held,
                    order=order,
                )
            )
            return answer

    def cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Return the cache events that can be read by now."""
        with self._changed:
            return self._model.cache_events(after_sequence, time.time())

    def cache_snapshot(self) -> CacheEvent:
        """Return the whole prefix cache as one event."""
        with self._changed:
            return self._model.cache.snapshot(time.time())

    def cached_chain(self, block: str) -> list[str]:
        """Return the cached prefix that ends in ``block``."""
        with self._changed:
            return self._model.cache.chain(block)

    def import_blocks(self, blocks: list[str]) -> None:
        """Take over an exported prefix."""
        with self._changed:
            self._model.import_blocks(blocks, time.time())

    def set_leaving(self) -> None:
        """Refuse new requests from here on."""
        with self._changed:
            self._model.leaving = True

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._stopped:
                    return
                outcome = self._model.step(time.time())
                if not outcome.duration_s:
                    self._changed.wait()
                    continue
            time.sleep(outcome.duration_s / self._speed)
            for emission in outcome.emissions:
                self._publish(emission)

    def _publish(self, emission: Emission) -> None:
        with self._changed:
            live = self._live.get(emission.request_id)
        if live is None or live.request.attempt != emission.attempt:
            return
        live.publish(emission)
        if emission.finish_reason is not None:
            self._record(live)

    def _record(self, live: LiveRequest) -> None:
        self._log.record(
            Execution(
                runner_id=self._config.runner_id,
                request_id=live.request.request_id,
                attempt=live.request.attempt,
                model=live.request.model,
                priority=live.request.priority,
                started_ms=live.started_ms,
                prompt=live.request.prompt[:_PROMPT_LOGGED_CHARACTERS],
                continued=live.continued,
                tokens=live.generated(),
                finish=live.finish or "",
            )
        )

    def _forget_old(self) -> None:
        while len(self._live) > FORGET_AFTER:
            oldest = next(iter(self._live))
            if self._live[oldest].finish is None:
                self._live.move_to_end(oldest)
                return
            del self._live[oldest]
