"""Test doubles for batch tests: an in-process control client and fake engines."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable
from typing import TypeVar

import msgspec

from leverjunction.backends.client import outdated_failure
from leverjunction.backends.head_wait import IsOutdated
from leverjunction.backends.types import EngineCall
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

WAIT_S = 20.0
GROUPS = ["jobs-0", "jobs-1"]


class LocalControl:
    """Control client that applies each proposal immediately to in-process state machines.

    ``refuse`` may return a failure for a command, which is then not applied.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self.machine = JobsStateMachine()
        self.connections: dict[str, sqlite3.Connection] = {}
        self.refuse: Callable[[msgspec.Struct], Failure | None] = lambda _command: None
        self.applied = threading.Condition()
        self.wall_ms = wall_ms
        self._index = 0
        for group in GROUPS:
            connection = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
            self.machine.create_tables(connection)
            self.connections[group] = connection

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        refusal = self.refuse(command)
        if refusal is not None:
            return refusal
        with self.applied:
            self._index += 1
            context = ApplyContext(index=self._index, term=1, wall_ms=self.wall_ms())
            reply = self.machine.apply(self.connections[group], context, encode(command))
            self.applied.notify_all()
        return decode_reply(reply, reply_type)

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        with self.applied:
            reply = self.machine.query(self.connections[group], encode(query))
        return decode_reply(reply, reply_type)


class FakeStream:
    """A response that is already complete."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self._body = body

    def read_all(self) -> bytes | Failure:
        return self._body


class FakeEngines:
    """Engine client whose responses a test controls.

    If ``held`` is true, requests wait until ``release`` or a cancel. ``answer`` returns the
    response to a request that was not cancelled.
    """

    def __init__(self) -> None:
        self.calls: list[EngineCall] = []
        self.cancels: list[str] = []
        self.answer: Callable[[EngineCall], FakeStream | Failure] = whole_answer
        self.held = False
        self.changed = threading.Condition()
        self._open: dict[str, EngineCall] = {}

    def open(
        self, call: EngineCall, *, is_outdated: IsOutdated | None = None
    ) -> FakeStream | Failure:
        if is_outdated is not None and is_outdated():
            return outdated_failure(call.address)
        with self.changed:
            self.calls.append(call)
            self._open[call.request_id] = call
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: not self.held or call.request_id not in self._open, WAIT_S
            )
            cancelled = self._open.pop(call.request_id, None) is None
        return completion(call, " half", "cancelled") if cancelled else self.answer(call)

    def cancel(self, address: str, request_id: str) -> Failure | None:
        with self.changed:
            self.cancels.append(request_id)
            self._open.pop(request_id, None)
            self.changed.notify_all()
        return None

    def release(self) -> None:
        """Let all held requests finish, and hold no new ones."""
        with self.changed:
            self.held = False
            self.changed.notify_all()

    def wait_open(self, count: int) -> None:
        """Wait until exactly this many requests are open."""
        with self.changed:
            assert self.changed.wait_for(lambda: len(self._open) == count, WAIT_S), self._open


def whole_answer(call: EngineCall) -> FakeStream:
    return completion(call, " done", "stop")


def completion(call: EngineCall, text: str, finish: str) -> FakeStream:
    choice = {"index": 0, "text": text, "finish_reason": finish}
    return FakeStream(200, msgspec.json.encode({"choices": [choice], "id": call.request_id}))
