"""Races two ways to an answer: the first head that comes is taken, the other way is left."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from leverjunction.errors import Failure
from leverjunction.proxy.dispatch import OpenedResponse

Outcome = OpenedResponse | Failure


async def first_opened(
    late: Coroutine[Any, Any, Outcome],
    other: Coroutine[Any, Any, Outcome],
    let_go: Callable[[OpenedResponse], None],
) -> Outcome:
    """Return the answer that opens first; a failure only when both have failed.

    Args:
        late: Waits on for the head that is late.
        other: Asks elsewhere.
        let_go: Takes an answer that opened beside the one that is returned.

    Returns:
        The first answer, or the failure of ``other``.
    """
    ways = [asyncio.ensure_future(way) for way in (late, other)]
    taken: Outcome | None = None
    try:
        for way in asyncio.as_completed(ways):
            taken = await way
            if not isinstance(taken, Failure):
                return taken
        return ways[1].result()
    finally:
        for way in ways:
            _leave(way, taken, let_go)


def _leave(
    way: asyncio.Future[Outcome], taken: Outcome | None, let_go: Callable[[OpenedResponse], None]
) -> None:
    if not way.done():
        way.cancel()
        return
    if way.cancelled() or way.exception() is not None:
        return
    outcome = way.result()
    if isinstance(outcome, OpenedResponse) and outcome is not taken:
        let_go(outcome)


__all__ = ["Outcome", "first_opened"]
