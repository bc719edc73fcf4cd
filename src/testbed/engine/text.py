"""Deterministic text of the stand-in: prompts, their block hashes and the answers to them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import xxhash

BLOCK_TOKENS = 16
"""Tokens (words) of one KV block."""

_HASH_BYTES = 8
_MASK_64 = (1 << 64) - 1
_GOLDEN_64 = 0x9E3779B97F4A7C15
_MIX_64 = 0xBF58476D1CE4E5B9

_SYLLABLES = ("ba", "ke", "mi", "no", "tu", "ra", "se", "li", "do", "hu", "pa", "ye", "zi", "go")
_VOCABULARY = tuple(a + b + c for a in _SYLLABLES for b in _SYLLABLES for c in _SYLLABLES[:6])


def chat_prompt(messages: Sequence[Mapping[str, object]]) -> str:
    """Return the prompt of chat messages: ``role: content`` of each, joined by a space."""
    return " ".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def block_hashes(prompt: str) -> list[str]:
    """Return the hashes of the full blocks of a prompt, each chained to the one before it."""
    words = prompt.split()
    full = len(words) // BLOCK_TOKENS
    return list(_chain(words[i * BLOCK_TOKENS : (i + 1) * BLOCK_TOKENS] for i in range(full)))


def _chain(blocks: Iterator[list[str]]) -> Iterator[str]:
    parent = 0
    for words in blocks:
        data = parent.to_bytes(_HASH_BYTES, "big") + " ".join(words).encode()
        parent = xxhash.xxh64_intdigest(data)
        yield f"{parent:016x}"


class Answer:
    """The answer that a model gives to a prompt; the same for the same pair, anywhere.

    Args:
        model: Model that answers.
        prompt: Whole prompt text.
        shortest: Fewest tokens of an answer that stops by itself.
        longest: Most tokens of an answer that stops by itself.
    """

    __slots__ = ("_seed", "length")

    def __init__(self, model: str, prompt: str, shortest: int, longest: int) -> None:
        self._seed = xxhash.xxh64_intdigest(f"{model}\n{prompt}".encode())
        self.length = shortest + self._seed % (longest - shortest + 1)

    def token(self, index: int) -> str:
        """Return the text of token ``index`` (from 1), with its leading space after the first."""
        mixed = ((self._seed + index * _GOLDEN_64) & _MASK_64) * _MIX_64 & _MASK_64
        word = _VOCABULARY[(mixed >> 24) % len(_VOCABULARY)]
        return word if index == 1 else f" {word}"

    def text(self, tokens: int) -> str:
        """Return the first ``tokens`` tokens of the answer as one text."""
        return "".join(self.token(index) for index in range(1, tokens + 1))
