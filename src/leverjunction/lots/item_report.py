"""Reports for operators on the open items of a store: why each does not run, or that it does."""

from __future__ import annotations

import asyncio
import concurrent.futures
from collections.abc import Callable
from typing import TypeVar

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.item_lines import ItemLine

T = TypeVar("T")

MAX_ITEMS_REPORTED = 200
"""Most items of a report; those without an event for longest come first."""

LOOP_TIMEOUT_S = 1.0
"""Time in which the runner's event loop has to answer; its steps take a small part of it."""


class ReadItems(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a report on a store's open items.

    Attributes:
        item_id: Only items with this id; empty for all.
    """

    item_id: str = ""


class ItemsReport(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``ReadItems``, by the store that leads, or by any store while no leader is known.

    Attributes:
        group: The group.
        role: Role of the store's replica in it.
        term: Its term.
        open_items: Number of open items in the store's applied state; None if it cannot be read.
        no_leader_s: For how long the store has known no leader, in seconds; None if it leads.
        summary: The open items by reason; empty if the store does not lead.
        items: The items, at most ``MAX_ITEMS_REPORTED``, each as in its log lines.
    """

    group: str
    role: str
    term: int
    open_items: int | None
    no_leader_s: float | None
    summary: str
    items: tuple[ItemLine, ...]


def call_on_loop(
    loop: asyncio.AbstractEventLoop | None, function: Callable[[], T], timeout_s: float
) -> T | Failure:
    """Call a function on the event loop of another thread and return its result.

    Args:
        loop: The event loop, None before there is one.
        function: Called there; an exception that it raises becomes a failure.
        timeout_s: Longest time to wait, in seconds.
    """
    result: concurrent.futures.Future[T] = concurrent.futures.Future()

    def run() -> None:
        try:
            result.set_result(function())
        except Exception as error:
            result.set_exception(error)

    try:
        if loop is None:
            return _not_answered("has not started")
        loop.call_soon_threadsafe(run)
        return result.result(timeout_s)
    except TimeoutError:
        return _not_answered(f"did not answer within {timeout_s:g} s")
    except Exception as error:
        return _not_answered(f"failed: {error!r}")


def not_leading(leader: str) -> Failure:
    """Return the failure of a store that does not lead, for a caller that can ask the leader."""
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"this store does not lead; ask the one at {leader}",
        step=Step.QUERYING,
        detail=leader,
        execution=Execution.NOT_RUN,
    )


def _not_answered(what: str) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=f"the event loop of the lots runner {what}; see this store's log",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )


__all__ = [
    "LOOP_TIMEOUT_S",
    "MAX_ITEMS_REPORTED",
    "ItemsReport",
    "ReadItems",
    "call_on_loop",
    "not_leading",
]
