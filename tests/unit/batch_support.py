"""A control client for tests that applies commands to state machines in this process."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable
from typing import TypeVar

import msgspec

from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

GROUPS = ["jobs-0", "jobs-1"]


class LocalControl:
    """Applies each proposal at once; ``refuse`` may answer a command with a failure instead."""

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self.machine = JobsStateMachine()
        self.connections: dict[str, sqlite3.Connection] = {}
        self.refuse: Callable[[msgspec.Struct], Failure | None] = lambda _command: None
        self.applied = threading.Condition()
        self._wall_ms = wall_ms
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
            context = ApplyContext(index=self._index, term=1, wall_ms=self._wall_ms())
            reply = self.machine.apply(self.connections[group], context, encode(command))
            self.applied.notify_all()
        return decode_reply(reply, reply_type)

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        with self.applied:
            reply = self.machine.query(self.connections[group], encode(query))
        return decode_reply(reply, reply_type)
