"""What matters of a prompt for the choice of a back end."""

from __future__ import annotations

from leverjunction.proxy.dialect import PromptPart

PREFILL_TOKENS_PER_MS = 80.0
"""Speed at which an engine reads a prompt: what a part that it holds already saves."""

LONG_READ_MS = 200.0
"""A prompt that takes so long to read is long: requests behind it would be late."""


class Prompt:
    """What matters of a prompt for the choice.

    Attributes:
        parts: Its parts, in order; the last one is the request's own.
        tokens: Its length.
    """

    __slots__ = ("parts", "tokens")

    def __init__(self, parts: tuple[PromptPart, ...], tokens: int) -> None:
        self.parts = parts
        self.tokens = tokens

    @property
    def prefill_ms(self) -> float:
        """Time to read it whole."""
        return self.tokens / PREFILL_TOKENS_PER_MS

    @property
    def is_long(self) -> bool:
        """Whether requests behind it would be late."""
        return self.prefill_ms >= LONG_READ_MS

    @property
    def shared_tokens(self) -> int:
        """Tokens that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])
