"""Connections whose wait for an answer's head can be given up before its timeout.

urllib3 waits in one call until the head comes or the read timeout ends. A caller's deadline is
that timeout, so a back end that froze would hold the request for the whole of it although another
one could serve it. These connections look in between whether the wait is still of use.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextvars import ContextVar

import urllib3
from urllib3.util.wait import wait_for_read

from leverjunction.clock import steady_s

CHECK_INTERVAL_S = 0.25

ShouldAbort = Callable[[], bool]
"""Returns True once the answer is not to be waited for any more."""

_should_abort: ContextVar[ShouldAbort | None] = ContextVar("should_abort", default=None)


class HeadWaitAbortedError(urllib3.exceptions.HTTPError):
    """The head was not waited for to the end; the back end may have run the request."""


class WatchedConnection(urllib3.connection.HTTPConnection):
    """A connection that obeys ``abort_wait_when`` of the thread that uses it."""

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the answer once its head has come.

        Raises:
            HeadWaitAbortedError: The wait became hopeless.
            TimeoutError: The read timeout passed.
        """
        should_abort = _should_abort.get()
        if should_abort is not None:
            self._wait_for_head(should_abort)
        return super().getresponse()

    def _wait_for_head(self, should_abort: ShouldAbort) -> None:
        limit_s = float("inf") if self.timeout is None else float(self.timeout)
        end_s = steady_s() + limit_s
        while not wait_for_read(self.sock, timeout=CHECK_INTERVAL_S):
            if should_abort():
                raise HeadWaitAbortedError(
                    "the back end became unreachable before its answer began"
                )
            if steady_s() >= end_s:
                raise TimeoutError("timed out")


@contextlib.contextmanager
def abort_wait_when(should_abort: ShouldAbort | None) -> Iterator[None]:
    """Let calls of this thread inside the block give up their wait when it is hopeless."""
    token = _should_abort.set(should_abort)
    try:
        yield
    finally:
        _should_abort.reset(token)
