"""To which request an answer belongs that arrives on a connection to a back end. No I/O.

A back end may send an answer a second time, late, in the place of the answer to the next request on
the connection. The id that each answer echoes tells whose it is, as long as the connection carries
no id twice.
"""

from __future__ import annotations

from array import array
from enum import StrEnum


class AnswerOwner(StrEnum):
    """The request that an answer belongs to."""

    OWN = "own"
    """The request that the connection carries now."""
    EARLIER = "earlier"
    """A request that the connection carried before."""
    FOREIGN = "foreign"
    """A request that the connection never carried."""
    UNNAMED = "unnamed"
    """Unknown: the answer has no id."""


MAX_CARRIED_REQUESTS = 256
"""Requests after which a connection is replaced, so that all of its ids can be kept."""


class CarriedRequests:
    """Ids of the requests that one connection has carried, as 64-bit hashes.

    Two ids with one hash cost a connection: the second one is sent on another. Requests without an
    id, such as reads of a load, may follow each other on one connection.
    """

    __slots__ = ("_count", "_current_id", "_earlier", "_has_earlier_unnamed")

    def __init__(self) -> None:
        self._count = 0
        self._earlier: array[int] = array("q")
        self._has_earlier_unnamed = False
        self._current_id: str | None = None

    def __len__(self) -> int:
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether the connection has carried as many requests with an id as it may."""
        return len(self._earlier) + 1 >= MAX_CARRIED_REQUESTS

    def has(self, request_id: str) -> bool:
        """Return whether the connection has carried a request."""
        return request_id == self._current_id or self._is_earlier(request_id)

    def add(self, request_id: str) -> None:
        """Record that the connection carries a request now; empty for one without an id."""
        if self._current_id:
            self._earlier.append(hash(self._current_id))
        elif self._current_id is not None:
            self._has_earlier_unnamed = True
        self._current_id = request_id
        self._count += 1

    def owner_of(self, answer_id: str) -> AnswerOwner:
        """Return whose answer it is that echoes an id; empty for an answer without one."""
        if answer_id == self._current_id:
            return AnswerOwner.OWN
        if self._is_earlier(answer_id):
            return AnswerOwner.EARLIER
        return AnswerOwner.FOREIGN if answer_id else AnswerOwner.UNNAMED

    def _is_earlier(self, request_id: str) -> bool:
        if not request_id:
            return self._has_earlier_unnamed
        return hash(request_id) in self._earlier


__all__ = ["MAX_CARRIED_REQUESTS", "AnswerOwner", "CarriedRequests"]
