"""Typed messages of the engine protocol, as ``docs/BACKENDS.md`` publishes it."""

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
        attempt: Number of this attempt, from 1; the engine echoes it.
        path: ``/v1/chat/completions`` or ``/v1/completions``; ignored for a resume.
        body: JSON body; ignored for a resume.
        priority: 0 (lowest) to 9.
        timeout_s: Longest silence of the engine before the call counts as broken.
        last_event_id: When set, resumes the stream of ``request_id`` after this event.
        owner: Label of the process that reads the answer; empty for a request that ends with its
            reader in any case.
        raw_stream: True for an answer whose body is passed on as it comes: it is asked for in
            HTTP/1.0, so that it ends with the connection and carries no transfer coding.
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
    """A request that an engine holds, running or waiting, with the owner label it was sent with."""

    request_id: str
    owner: str


class HeldRequests(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/requests``: the requests that carry an owner label."""

    requests: list[HeldRequest]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's load at its own time ``as_of_ms``; it lags behind.

    ``batch_*`` count requests of priority 0 to ``MAX_BATCH_PRIORITY``, which are also part of
    ``running`` and ``waiting``.
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
    """What happened to blocks of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"
    SNAPSHOT = "snapshot"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's prefix cache; sequence numbers rise by one, a gap is a loss."""

    sequence: int
    as_of_ms: int
    kind: CacheEventKind
    blocks: list[str] = []


class OrderAction(StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order to an engine; a resend carries the same fence and ``order_id``."""

    fence: Fence
    order_id: str
    action: OrderAction
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Whether an engine took an order; ``highest_fence`` is set when it refused the fence."""

    accepted: bool
    status_code: int
    highest_fence: Fence | None = None
    reason: str = ""
