"""Properties of a prompt that matter for the choice of a back end."""

from __future__ import annotations

from leverjunction.proxy.dialect import PromptPart

PREFILL_TOKENS_PER_MS = 80.0
"""Prefill speed of an engine, which also gives the time saved by a cached part of a prompt."""

LONG_PREFILL_MS = 200.0
"""Prefill time from which a prompt counts as long: requests that wait behind it would be late."""


class Prompt:
    """Length and parts of a prompt.

    Attributes:
        parts: Parts of the prompt in order; only the last one is never shared by other requests.
        tokens: Length of the whole prompt in tokens.
    """

    __slots__ = ("parts", "tokens")

    def __init__(self, parts: tuple[PromptPart, ...], tokens: int) -> None:
        self.parts = parts
        self.tokens = tokens

    @property
    def prefill_ms(self) -> float:
        """Prefill time of the whole prompt, in milliseconds."""
        return self.tokens / PREFILL_TOKENS_PER_MS

    @property
    def is_long(self) -> bool:
        """Whether the prompt would make requests that wait behind it late."""
        return self.prefill_ms >= LONG_PREFILL_MS

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])
