"""Decides how much of callers' requests a gateway keeps. No I/O.

Load pattern: many callers that send large bodies at once, or begin them and never end them. Each
body is bounded, but their sum is not, and it would end the process and the requests of all others.
Beyond the room the largest unfinished body is refused, so that a few large ones cost the many small
ones nothing; a request in progress is never given up for it.
"""

from __future__ import annotations

MEMORY_SHARE = 8
"""The room is the process's memory limit divided by this: a body may be held twice, as received
and as sent to a back end, and the answers for slow callers need a quarter of the memory.
"""


class KeptRequest:
    """What is kept of the request of one connection.

    Attributes:
        kept_bytes: Bytes of its body.
        is_whole: Whether all of it has arrived, so that it may run.
    """

    __slots__ = ("is_whole", "kept_bytes")

    def __init__(self) -> None:
        self.kept_bytes = 0
        self.is_whole = False


class RequestBuffer:
    """The bodies of requests that are received or in progress, and the room for them.

    Args:
        limit_bytes: The room, in bytes.

    Attributes:
        limit_bytes: The room, in bytes.
        total_bytes: What is kept in all, in bytes.
    """

    __slots__ = ("_requests", "limit_bytes", "total_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._requests: set[KeptRequest] = set()

    @classmethod
    def for_memory(cls, memory_mb: int) -> RequestBuffer:
        """Return the buffer of a process with a memory limit, in MB."""
        return cls(memory_mb * 1024 * 1024 // MEMORY_SHARE)

    def update(self, request: KeptRequest, kept_bytes: int) -> None:
        """Set what is kept of a request; 0 forgets it."""
        self.total_bytes += kept_bytes - request.kept_bytes
        request.kept_bytes = kept_bytes
        if kept_bytes:
            self._requests.add(request)
        else:
            self._requests.discard(request)

    def next_refusal(self) -> KeptRequest | None:
        """Return the unfinished request to refuse first, None while all fit.

        A single request is bounded by the limit on its body alone, however small the room is.
        """
        if self.total_bytes <= self.limit_bytes or len(self._requests) < 2:
            return None
        unfinished = [item for item in self._requests if not item.is_whole]
        return max(unfinished, key=lambda item: item.kept_bytes, default=None)


__all__ = ["KeptRequest", "RequestBuffer"]
