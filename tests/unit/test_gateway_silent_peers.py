"""Tests of a gateway's background calls to engines and gateways while some of them are silent."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any, cast

import pytest
from silent_peer import SilentPeer

from leverjunction.backends.client import CANCEL_TIMEOUT_S, EngineClient
from leverjunction.clock import SystemClock
from leverjunction.gateway.sender import Sender

CANCELS = 24
NOTHING = cast(Any, None)


class Listener:
    """A peer that notes when each connection arrives, and closes it.

    Attributes:
        address: ``host:port`` of the peer.
        arrived: Set once a connection has arrived.
    """

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.arrived = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.arrived.set()
            connection.close()

    def close(self) -> None:
        self._socket.close()


@pytest.fixture
def listener() -> Iterator[Listener]:
    made = Listener()
    yield made
    made.close()


def sender_of(engines: EngineClient) -> Sender:
    return Sender(engines, NOTHING, NOTHING, NOTHING, NOTHING, NOTHING, NOTHING, SystemClock())


@pytest.mark.parametrize("silent_engines", [1, 8])
def test_a_cancel_is_sent_at_once_while_other_engines_are_silent(
    silent_engines: int, listener: Listener, paused_s: Callable[[], float]
) -> None:
    """Guards against cancels that queue behind those for an engine that stands still.

    The failure: callers of an engine that stood still hung up. Their cancels kept all threads for a
    second each, and requests of callers who hung up elsewhere ran on for seconds.
    """
    with ExitStack() as stack:
        silent = [stack.enter_context(SilentPeer()) for _ in range(silent_engines)]
        engines = EngineClient()
        sender = sender_of(engines)
        for number in range(CANCELS):
            sender.cancel(silent[number % silent_engines].address, f"request-{number}")
        time.sleep(CANCEL_TIMEOUT_S * 1.5)
        paused_before_s, started_s = paused_s(), time.monotonic()
        sender.cancel(listener.address, "request")
        assert listener.arrived.wait(10)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        engines.close()
    assert took_s < CANCEL_TIMEOUT_S / 4
