"""Connections whose wait for a response head can be aborted before the read timeout.

urllib3 waits in a single call until the head arrives or the read timeout passes. The timeout is the
caller's deadline, so a frozen back end would hold the request until then although another back end
could serve it. These connections check periodically whether to abort the wait.
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
"""Returns True once the wait for the response is to be aborted."""

_should_abort: ContextVar[ShouldAbort | None] = ContextVar("should_abort", default=None)


class HeadWaitAbortedError(urllib3.exceptions.HTTPError):
    """The wait for a response head was aborted; the back end may have run the request."""


class AbortableConnection(urllib3.connection.HTTPConnection):
    """A connection that applies the ``abort_wait_when`` of the thread that uses it."""

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the response once its head has arrived.

        Raises:
            HeadWaitAbortedError: The ``ShouldAbort`` callback returned True.
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
                    "the back end became unreachable before its response began"
                )
            if steady_s() >= end_s:
                raise TimeoutError("timed out")


@contextlib.contextmanager
def abort_wait_when(should_abort: ShouldAbort | None) -> Iterator[None]:
    """Apply ``should_abort`` to the calls that this thread makes inside the block."""
    token = _should_abort.set(should_abort)
    try:
        yield
    finally:
        _should_abort.reset(token)
