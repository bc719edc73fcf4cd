"""One request inside the engine: how much of it is read, generated and held in the KV cache."""

from __future__ import annotations

from testbed.engine.text import BLOCK_TOKENS, Answer, block_hashes
from testbed.engine.types import Emission, EngineConfig, EngineRequest, FinishReason


class Sequence:
    """State of one request from its arrival to its last token.

    Args:
        request: The request.
        arrival: Number of its arrival; earlier ones go first within a priority.
        config: Engine's configuration (answer lengths).
    """

    __slots__ = (
        "_answer",
        "_arrival",
        "_context_tokens",
        "_generated",
        "_prompt_tokens",
        "_read",
        "_request",
        "_stop_at",
        "hashes",
        "model",
        "owner",
        "priority",
    )

    def __init__(self, request: EngineRequest, arrival: int, config: EngineConfig) -> None:
        self._request = request
        self._arrival = arrival
        self._answer = Answer(
            request.model, request.prompt, config.answer_min_tokens, config.answer_max_tokens
        )
        self._prompt_tokens = len(request.prompt.split())
        self._generated = len(request.continue_text.split())
        self._stop_at = max(self._answer.length, request.min_tokens, self._generated + 1)
        self._context_tokens = self._prompt_tokens + self._generated
        self._read = 0
        self.hashes = block_hashes(request.prompt)
        self.model = request.model
        self.owner = request.owner
        self.priority = request.priority

    def order(self) -> tuple[int, int]:
        """Return the sort key: higher priority first, then earlier arrival."""
        return (-self.priority, self._arrival)

    @property
    def prefilled(self) -> bool:
        """Whether the whole context has been read, so that the sequence decodes."""
        return self._read >= self._context_tokens

    def start(self, cached_blocks: int) -> None:
        """Enter the running batch; the cached prefix need not be read (but its last token)."""
        self._read = min(cached_blocks * BLOCK_TOKENS, self._context_tokens - 1)

    def preempted(self) -> None:
        """Leave the running batch; the context has to be read again, the answer is kept."""
        self._context_tokens = self._prompt_tokens + self._generated
        self._read = 0

    def prefill(self, budget: int) -> int:
        """Read up to ``budget`` tokens of the context and return how many were read."""
        read = min(budget, max(self._context_tokens - self._read, 0))
        self._read += read
        return read

    def decode(self) -> Emission:
        """Generate the next token."""
        self._generated += 1
        return Emission(
            self._request.request_id,
            self._request.attempt,
            self._generated,
            self._answer.token(self._generated),
            self._finish_reason(),
        )

    def cancelled(self) -> Emission:
        """Return the emission that ends a cancelled request."""
        return Emission(
            self._request.request_id,
            self._request.attempt,
            self._generated,
            "",
            FinishReason.CANCELLED,
        )

    def blocks_held(self) -> int:
        """Return the KV blocks that hold its context and its answer so far."""
        return -(-(self._prompt_tokens + self._generated) // BLOCK_TOKENS)

    def blocks_for_step(self) -> int:
        """Return the KV blocks that it needs to generate the next token."""
        return -(-(self._prompt_tokens + self._generated + 1) // BLOCK_TOKENS)

    def _finish_reason(self) -> FinishReason | None:
        if self._request.max_tokens and self._generated >= self._request.max_tokens:
            return FinishReason.LENGTH
        if self._generated >= self._stop_at:
            return FinishReason.STOP
        return None
