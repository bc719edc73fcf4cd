"""Prompt affinity: which back ends serve long prompts, and which one caches a shared prompt part.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from leverjunction.proxy.prompt import Prompt

LONG_PROMPT_RUNNER_SHARE = 1 / 3
"""Share of a service's back ends that serve long prompts."""

MIN_RUNNERS_TO_SPLIT = 3
"""Number of back ends below which a service sets none apart for long prompts."""

MIN_SHARED_TOKENS = 512
"""Minimum length of shared parts that get an affinity: prefilling shorter ones again costs less
than concentrating their requests on one back end.
"""


def affinity_runner(prompt: Prompt, ids: Sequence[str], long_prompt_ids: frozenset[str]) -> str:
    """Return the id of the back end preferred for a prompt's largest shared part; empty if none.

    Rendezvous hashing makes all gateways choose the same back end, and moves few prompts when back
    ends come and go. Long prompts prefer a back end that serves long prompts, others one that does
    not.

    Args:
        prompt: Prompt of the request.
        ids: Ids of the available back ends.
        long_prompt_ids: Ids of the back ends that serve long prompts.
    """
    if prompt.shared_tokens < MIN_SHARED_TOKENS:
        return ""
    key = max(prompt.parts[:-1], key=lambda part: part.tokens).key
    eligible = [runner_id for runner_id in ids if (runner_id in long_prompt_ids) is prompt.is_long]
    return max(eligible or ids, key=lambda runner_id: _rank(key, runner_id))


def long_prompt_runners(service: str, ids: Sequence[str]) -> list[str]:
    """Return the ids of the back ends that serve long prompts, the same at all gateways.

    A gateway doesn't know what the others have just sent. If long prompts could go anywhere, any
    short request might wait behind one. They are therefore limited to a third of the back ends,
    which get fewer of the other requests.

    Args:
        service: Name of the service.
        ids: Ids of its back ends.
    """
    if len(ids) < MIN_RUNNERS_TO_SPLIT:
        return []
    ranked = sorted(ids, key=lambda runner_id: _rank(service, runner_id), reverse=True)
    return ranked[: max(1, round(len(ids) * LONG_PROMPT_RUNNER_SHARE))]


def _rank(key: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{runner_id}".encode())
