"""Values of the engine model: configuration, requests, what a step emits and what is reported."""

from __future__ import annotations

from enum import StrEnum

import msgspec

BATCH_PRIORITY_MAX = 3
"""Requests of this priority or lower count as batch work in load reports."""


class EngineConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds and limits of one engine.

    Attributes:
        runner_id: Name in the machine list.
        models: Models (``model`` or ``model:adapter``) loaded at the start.
        base_step_s: Fixed cost of a step, in seconds.
        per_sequence_s: Added cost of each sequence that decodes in the step.
        per_prefill_token_s: Added cost of each prompt token read in the step.
        prefill_chunk_tokens: Most prompt tokens read in one step.
        batch_prefill_chunk_tokens: Most prompt tokens of batch work read in one step.
        max_running: Most sequences in the continuous batch.
        max_waiting: Most requests queued before new ones are refused.
        kv_blocks: KV cache size, in blocks of 16 tokens; the prefix cache uses what is free.
        answer_min_tokens: Shortest answer that a request without limits gets.
        answer_max_tokens: Longest answer that a request without limits gets.
        load_interval_s: Time between two readings of the load.
        load_lag_s: Age that a reading has when it is first reported.
        cache_event_delay_s: Time from a cache change to its event.
        cache_event_gap_ratio: Share of cache events that are lost.
        weights_bytes: Size of a model's weights.
        weights_bytes_per_s: Rate at which the weight store sends them.
    """

    runner_id: str = "runner"
    models: list[str] = []
    base_step_s: float = 0.010
    per_sequence_s: float = 0.0004
    per_prefill_token_s: float = 0.00003
    prefill_chunk_tokens: int = 512
    batch_prefill_chunk_tokens: int = 128
    max_running: int = 32
    max_waiting: int = 256
    kv_blocks: int = 2048
    answer_min_tokens: int = 16
    answer_max_tokens: int = 64
    load_interval_s: float = 0.1
    load_lag_s: float = 0.1
    cache_event_delay_s: float = 0.5
    cache_event_gap_ratio: float = 0.02
    weights_bytes: int = 2_000_000_000
    weights_bytes_per_s: float = 500_000_000.0


class EngineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as the engine runs it.

    Attributes:
        request_id: Value of ``X-Request-Id``.
        attempt: Value of ``X-Attempt``.
        model: ``model`` or ``model:adapter``.
        prompt: Whole prompt text (``text.chat_prompt`` for chat messages).
        priority: 0 to 9; higher runs first.
        max_tokens: Limit of the whole answer, continued text included; 0 means none.
        min_tokens: The answer does not stop by itself before this many tokens.
        continue_text: Text already generated elsewhere; its tokens are not sent again.
        owner: Value of ``X-Owner``, empty when there was none.
    """

    request_id: str
    attempt: int = 1
    model: str = ""
    prompt: str = ""
    priority: int = 5
    max_tokens: int = 0
    min_tokens: int = 0
    continue_text: str = ""
    owner: str = ""


class HeldRequest(msgspec.Struct, frozen=True):
    """A request that the engine holds, in the form that ``GET /v1/requests`` lists."""

    request_id: str
    owner: str


class Submission(StrEnum):
    """Answer to a submitted request; all but ACCEPTED mean that it was not run."""

    ACCEPTED = "accepted"
    FULL = "full"
    LEAVING = "leaving"
    MODEL_NOT_LOADED = "model_not_loaded"


class FinishReason(StrEnum):
    """Why an answer ended."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"


class Emission(msgspec.Struct, frozen=True):
    """One token, or the end of an answer.

    Attributes:
        request_id: Request that it belongs to.
        attempt: Attempt that it belongs to.
        index: Number of the token in the whole answer, from 1.
        text: Text of the token, leading space included; empty for a cancellation.
        finish_reason: Set on the last emission of a request.
    """

    request_id: str
    attempt: int
    index: int
    text: str
    finish_reason: FinishReason | None = None


class StepOutcome(msgspec.Struct, frozen=True):
    """Result of one step.

    Attributes:
        duration_s: Time the step takes; 0 when there was nothing to do.
        emissions: Tokens that appear at the end of the step.
        decoding: Sequences that decoded in the step.
        prefill_tokens: Prompt tokens that were read in the step.
    """

    duration_s: float
    emissions: list[Emission]
    decoding: int = 0
    prefill_tokens: int = 0


class LoadReading(msgspec.Struct, frozen=True, kw_only=True):
    """A load report, in the form that ``GET /load`` publishes."""

    as_of_ms: int
    incarnation: int
    running: int
    waiting: int
    batch_running: int
    batch_waiting: int
    kv_blocks_used: int
    kv_blocks_total: int
    step_ms: float
    models: list[str]
    versions: dict[str, str]
    leaving: bool


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the prefix cache, in the form that ``GET /cache/events`` publishes."""

    sequence: int
    as_of_ms: int
    kind: str
    blocks: list[str]


class OrderFence(msgspec.Struct, frozen=True, order=True):
    """Fence of an order; compared by term, then by sequence."""

    term: int
    sequence: int


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order, in the form that ``POST /orders`` takes."""

    fence: OrderFence
    order_id: str
    action: str
    model: str = ""
    adapter: str = ""
    version: str = "1"
    role: str = ""

    @property
    def name(self) -> str:
        """The name under which the engine lists what is ordered."""
        return f"{self.model}:{self.adapter}" if self.adapter else self.model


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an order.

    Attributes:
        accepted: False when a higher fence was seen.
        fence: Highest fence seen.
        is_resend: Whether the engine had taken this order before.
        ready_s: When a load that begins with it will be ready; 0 for anything else.
    """

    accepted: bool
    fence: OrderFence
    is_resend: bool = False
    ready_s: float = 0.0
