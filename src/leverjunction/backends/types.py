"""Typed messages of the engine protocol, which ``docs/BACKENDS.md`` describes."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from leverjunction.settings.commands import Fence

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
MAX_BATCH_PRIORITY = 3
"""Engines count requests of priority 0 to 3 as batch in their load reports."""


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """One request to an engine.

    Attributes:
        address: ``host:port`` of the engine.
        request_id: Id of the caller's request; the engine echoes it.
        attempt: Number of this attempt, starting at 1; the engine echoes it.
        path: ``/v1/chat/completions`` or ``/v1/completions``; ignored for a resume.
        body: JSON body; ignored for a resume.
        priority: Scheduling priority from 0 (lowest) to 9.
        timeout_s: Time in seconds without bytes from the engine after which the call has failed.
        last_event_id: If set, the call resumes the stream of ``request_id`` after this event.
        owner: Label of the process that reads the response; empty for a request that the engine
            ends anyway when its reader disconnects.
        raw_stream: True for a response whose body is relayed unchanged: the request is sent with
            HTTP/1.0, so that the body has no transfer coding and ends with the connection.
    """

    address: str
    request_id: str
    attempt: int
    path: str
    body: bytes
    priority: int
    timeout_s: float
    last_event_id: str | None = None
    owner: str = ""
    raw_stream: bool = False


class HeldRequest(msgspec.Struct, frozen=True):
    """A running or waiting request of an engine, with the owner label that was sent with it."""

    request_id: str
    owner: str


class HeldRequests(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/requests``: the engine's requests that have an owner label."""

    requests: list[HeldRequest]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine at ``as_of_ms`` by the engine's clock; outdated when it is received.

    ``batch_running`` and ``batch_waiting`` count the requests with a priority of 0 to
    ``MAX_BATCH_PRIORITY``, which ``running`` and ``waiting`` include as well.
    """

    as_of_ms: int
    incarnation: int
    running: int
    waiting: int
    batch_running: int
    batch_waiting: int
    kv_blocks_used: int
    kv_blocks_total: int
    step_ms: float
    models: list[str] = []
    versions: dict[str, str] = {}
    leaving: bool = False


class CacheEventKind(StrEnum):
    """Kind of a change of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"
    SNAPSHOT = "snapshot"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's prefix cache.

    Sequence numbers are consecutive: a gap means that events were lost.
    """

    sequence: int
    as_of_ms: int
    kind: CacheEventKind
    blocks: list[str] = []


class OrderAction(StrEnum):
    """Action that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order to an engine; a resend has the same fence and ``order_id``."""

    fence: Fence
    order_id: str
    action: OrderAction
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Whether an engine accepted an order; ``highest_fence`` is set if it refused the fence."""

    accepted: bool
    status_code: int
    highest_fence: Fence | None = None
    reason: str = ""
