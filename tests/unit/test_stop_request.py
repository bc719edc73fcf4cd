"""When a process was asked to stop, also while it still loads its code."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator

import pytest

from leverjunction.clock import steady_s
from leverjunction.listener import STOP_SIGNALS
from leverjunction.stop_request import StopRequest


@pytest.fixture(autouse=True)
def usual_handlers() -> Iterator[None]:
    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_stop_during_the_start_counts_from_its_signal(number: signal.Signals) -> None:
    request = StopRequest()
    request.listen()
    assert request.requested_s is None
    before_s = steady_s()
    os.kill(os.getpid(), number)
    after_s = steady_s()
    time.sleep(0.05)
    os.kill(os.getpid(), number)
    request.note(steady_s())
    assert request.requested_s is not None
    assert before_s <= request.requested_s <= after_s + 0.04
