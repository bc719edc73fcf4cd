"""On which back ends long prompts are read, and large shared parts kept together. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from leverjunction.proxy.prompt import Prompt

READER_SHARE = 1 / 3

READERS_FROM = 3
"""Back ends that a service must have for some of them to be readers."""

SHARED_TOKENS_MIN = 512
"""Shorter shared parts are read faster than it takes to keep them together."""


def home_of(prompt: Prompt, ids: Sequence[str], readers: frozenset[str]) -> str:
    """Return the back end on which requests with the same large shared part are kept together.

    Rendezvous hashing: all gateways choose the same one, and few move when back ends come
    and go. Long prompts have theirs among the readers, others elsewhere.
    """
    if prompt.shared_tokens < SHARED_TOKENS_MIN:
        return ""
    key = max(prompt.parts[:-1], key=lambda part: part.tokens).key
    fitting = [item for item in ids if (item in readers) is prompt.is_long]
    return max(fitting or ids, key=lambda item: _rank(key, item))


def readers_of(service: str, ids: Sequence[str]) -> list[str]:
    """Return the back ends that read long prompts; all gateways choose the same ones.

    No gateway knows what the others have just sent. With long prompts anywhere, any short request
    may find itself behind one; so they are kept to a third of the back ends, which get less of
    the rest.
    """
    if len(ids) < READERS_FROM:
        return []
    ranked = sorted(ids, key=lambda item: _rank(service, item), reverse=True)
    return ranked[: max(1, round(len(ids) * READER_SHARE))]


def _rank(key: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{runner_id}".encode())
