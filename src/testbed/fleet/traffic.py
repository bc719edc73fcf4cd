"""Online traffic in the background: closed-loop callers whose every answer is checked."""

from __future__ import annotations

import itertools
import threading
import time

import msgspec

from testbed.fleet.caller import Caller, CallerAnswer, expected_text

RETRY_PAUSE_S = 0.05


class SentRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of the traffic with its answer."""

    gateway: str
    content: str
    started_ms: int
    answer: CallerAnswer
    expected: str

    @property
    def is_cut(self) -> bool:
        """Whether an answer began and did not come whole, or came wrong."""
        return self.answer.status == 200 and (
            not self.answer.whole or self.answer.text != self.expected
        )

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused, or not answered at all."""
        return self.answer.status != 200


class Traffic:
    """Callers that ask one question after the other until they are stopped.

    Args:
        gateways: URLs of the gateways to call.
        key: API key of the callers.
        model: Model to ask.
        callers: Number of callers, spread over the gateways.
        tokens: Length of each answer.
        label: Start of each question, to find its executions by.
    """

    def __init__(
        self,
        gateways: list[str],
        key: str,
        model: str,
        *,
        callers: int = 6,
        tokens: int = 24,
        label: str = "traffic",
    ) -> None:
        self._key = key
        self._model = model
        self._tokens = tokens
        self._label = label
        self._stopping = threading.Event()
        self._changed = threading.Condition()
        self._sent: list[SentRequest] = []
        self._numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._call, args=(gateways[i % len(gateways)],), daemon=True)
            for i in range(callers)
        ]

    def __enter__(self) -> Traffic:
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop asking and wait for the last answers."""
        self.stop()

    def stop(self) -> None:
        """Stop asking and wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def sent(self) -> list[SentRequest]:
        """Return all requests that have been answered or have failed."""
        with self._changed:
            return list(self._sent)

    def wait_more(self, count: int, timeout_s: float = 60.0) -> bool:
        """Wait for ``count`` further whole answers; False when they do not come."""
        with self._changed:
            target = self._whole() + count
            return self._changed.wait_for(lambda: self._whole() >= target, timeout_s)

    def _whole(self) -> int:
        return sum(1 for request in self._sent if request.answer.whole)

    def _call(self, gateway: str) -> None:
        caller = Caller(gateway, self._key)
        while not self._stopping.is_set():
            content = f"{self._label} {next(self._numbers)} question"
            started_ms = int(time.time() * 1000)
            answer = caller.chat(self._model, content, self._tokens)
            request = SentRequest(
                gateway=gateway,
                content=content,
                started_ms=started_ms,
                answer=answer,
                expected=expected_text(self._model, content, self._tokens),
            )
            with self._changed:
                self._sent.append(request)
                self._changed.notify_all()
            if request.is_refused:
                self._stopping.wait(RETRY_PAUSE_S)
