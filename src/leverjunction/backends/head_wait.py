"""Connections that can abort a call before its request is sent or before its read timeout.

urllib3 waits in a single call until the head arrives or the read timeout passes. The timeout is the
caller's deadline, so a frozen back end would hold the request until then although another back end
could serve it. These connections check periodically whether to abort the wait.

The choice of a back end may also become outdated while a connection is opened. These connections
check just before each part of a request is sent whether it still may be.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from typing import Any

import urllib3
from urllib3.util.wait import wait_for_read

from leverjunction.clock import steady_s
from leverjunction.wire.whole_heads import WholeHeadConnection

CHECK_INTERVAL_S = 0.25

ShouldAbort = Callable[[], bool]
"""Returns True once the wait for the response is to be aborted."""

IsOutdated = Callable[[], bool]
"""Returns True once a request must not be sent any more."""

_is_outdated: ContextVar[IsOutdated | None] = ContextVar("is_outdated", default=None)
_should_abort: ContextVar[ShouldAbort | None] = ContextVar("should_abort", default=None)


class HeadWaitAbortedError(urllib3.exceptions.HTTPError):
    """The wait for a response head was aborted; the back end may have run the request."""


class RequestOutdatedError(urllib3.exceptions.HTTPError):
    """The request was not sent, or not completely, so the back end cannot have run it."""


class AbortableConnection(WholeHeadConnection):
    """A connection that applies ``abort_wait_when`` and ``send_unless`` of the thread using it."""

    def send(self, data: Any) -> None:
        """Send a part of a request, after opening the connection if necessary.

        Raises:
            RequestOutdatedError: The ``IsOutdated`` callback returned True.
        """
        if self.sock is None:
            self.connect()
        is_outdated = _is_outdated.get()
        if is_outdated is not None and is_outdated():
            raise RequestOutdatedError("the choice of the back end is outdated")
        super().send(data)

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


@contextlib.contextmanager
def send_unless(is_outdated: IsOutdated | None) -> Iterator[None]:
    """Apply ``is_outdated`` to the calls that this thread makes inside the block."""
    token = _is_outdated.set(is_outdated)
    try:
        yield
    finally:
        _is_outdated.reset(token)
