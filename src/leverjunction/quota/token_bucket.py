"""Token bucket: a rate with a bounded burst."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accumulate with time up to a depth. Rate and depth may change at any time.

    Args:
        tokens: Tokens at the beginning.
        now_s: Monotonic time in seconds.

    Attributes:
        tokens: Tokens as of the last ``refill``.
    """

    __slots__ = ("_updated_s", "tokens")

    def __init__(self, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self._updated_s = now_s

    def refill(self, per_s: float, depth: float, now_s: float) -> None:
        """Add the tokens of the time since the last refill; tokens beyond the depth are lost."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self.tokens = min(depth, self.tokens + elapsed_s * per_s)
        self._updated_s = now_s


__all__ = ["TokenBucket"]
