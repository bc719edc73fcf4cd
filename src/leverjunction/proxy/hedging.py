"""Request hedging: races two attempts for a response head, and cancels the slower one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from leverjunction.errors import Failure
from leverjunction.proxy.dispatch import OpenedResponse

Outcome = OpenedResponse | Failure


async def first_response(
    primary: Coroutine[Any, Any, Outcome],
    hedge: Coroutine[Any, Any, Outcome],
    discard: Callable[[OpenedResponse], None],
) -> Outcome:
    """Return the response whose head arrives first; a failure only if both attempts fail.

    Args:
        primary: Keeps waiting for the overdue head of the first attempt.
        hedge: Sends the request to another back end.
        discard: Called with a response that has opened but is not returned.

    Returns:
        The first response, or the failure of ``hedge``.
    """
    tasks = [asyncio.ensure_future(task) for task in (primary, hedge)]
    chosen: Outcome | None = None
    try:
        for task in asyncio.as_completed(tasks):
            chosen = await task
            if not isinstance(chosen, Failure):
                return chosen
        return tasks[1].result()
    finally:
        for task in tasks:
            _discard_task(task, chosen, discard)


def _discard_task(
    task: asyncio.Future[Outcome], chosen: Outcome | None, discard: Callable[[OpenedResponse], None]
) -> None:
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, OpenedResponse) and outcome is not chosen:
        discard(outcome)


__all__ = ["Outcome", "first_response"]
