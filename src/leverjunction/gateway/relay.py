"""Relay loop: one thread passes the bytes of all streams from engines to callers.

Engine bodies end with their connections (HTTP/1.0), so that their bytes are SSE text and pass
unparsed. A caller that reads slowly makes its own engine wait and nobody else.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.relay_caller import CallerSide
from leverjunction.gateway.relay_stream import (
    DONE_EVENT,
    LAST_CHUNK,
    EngineSide,
    RelayStream,
    ResponseComplete,
    Watch,
)
from leverjunction.observability.counters import GatewayCounters

READ_BYTES = 65536
SCAN_INTERVAL_S = 0.5
UNHEALTHY_SILENCE_S = 2.0
CALLER_STALL_S = 60.0
REPAIR_THREADS = 32

Action = Callable[[], None]


class RelayLoop:
    """Selector-driven relay. ``expect``, ``abandon`` and ``submit`` may be called by any thread."""

    def __init__(self, counters: GatewayCounters) -> None:
        self._counters = counters
        self._selector = selectors.DefaultSelector()
        self._callers = CallerSide(
            self._selector,
            gone=self._caller_gone,
            written=self._caller_caught_up,
            full=self._pause_engine,
            now_s=steady_s,
        )
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._actions: deque[tuple[RelayStream, Action]] = deque()
        self._streams: set[RelayStream] = set()
        self._repairs = ThreadPoolExecutor(REPAIR_THREADS, thread_name_prefix="stream-repair")
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._stopped = False
        self._idle = threading.Condition()
        self._open_count = 0

    def start(self) -> None:
        """Start the relay thread."""
        watch = Watch(None, self._drain_wakeups)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, watch)
        self._thread.start()

    def stop(self) -> None:
        """End the relay thread; streams that are still open are cut."""
        self._stopped = True
        self._wake()
        self._thread.join()
        self._repairs.shutdown(wait=False, cancel_futures=True)

    def expect(self) -> None:
        """Count a stream whose head is about to be written; ``submit`` or ``abandon`` follows."""
        with self._idle:
            self._open_count += 1
        self._counters.open_streams.inc()

    def abandon(self) -> None:
        """Take back an ``expect``: the stream's head could not be written."""
        self._counters.open_streams.dec()
        with self._idle:
            self._open_count -= 1
            self._idle.notify_all()

    def submit(self, stream: RelayStream) -> None:
        """Start to relay a stream that was announced by ``expect``."""
        self._post(stream, lambda: self._begin(stream))

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no stream is open; returns False when ``timeout_s`` passed before that."""
        with self._idle:
            return self._idle.wait_for(lambda: self._open_count == 0, timeout_s)

    def _post(self, stream: RelayStream, action: Action) -> None:
        self._actions.append((stream, action))
        self._wake()

    def _wake(self) -> None:
        self._wake_writer.send(b"\0")

    def _drain_wakeups(self, _mask: int) -> None:
        self._wake_reader.recv(4096)
        while self._actions:
            stream, action = self._actions.popleft()
            try:
                action()
            except Exception:
                self._fault(stream)

    def _run(self) -> None:
        next_scan_s = steady_s() + SCAN_INTERVAL_S
        while not self._stopped:
            for key, mask in self._selector.select(SCAN_INTERVAL_S):
                self._handle(key.data, mask)
            now_s = steady_s()
            if now_s >= next_scan_s:
                next_scan_s = now_s + SCAN_INTERVAL_S
                self._scan(now_s)

    def _handle(self, watch: Watch, mask: int) -> None:
        if watch.stream is not None and watch.stream not in self._streams:
            # An earlier event of the same round ended the stream.
            return
        try:
            watch.handle(mask)
        except Exception:
            # One stream's fault must not end the thread that carries all others.
            self._fault(watch.stream)

    def _fault(self, stream: RelayStream | None) -> None:
        """End a stream whose handling failed: with an error event, or else without."""
        logger.exception("relay handler failed")
        if stream is None or (stream not in self._streams and stream.finishing):
            return
        failure = _internal_failure()
        try:
            if stream.finishing:
                self._finish(stream, failure, reusable=False)
            else:
                self._end_with_error(stream, failure)
        except Exception:
            logger.exception("no error event could be written")
            self._finish(stream, failure, reusable=False)

    def _begin(self, stream: RelayStream) -> None:
        self._streams.add(stream)
        stream.last_byte_s = steady_s()
        self._callers.open(stream)
        if stream.engine is not None:
            self._attach(stream, stream.engine)
        else:
            assert stream.initial_failure is not None
            self._ask_repair(stream, stream.initial_failure)

    def _attach(self, stream: RelayStream, engine: EngineSide) -> None:
        """Start to read an engine's side."""
        stream.engine = engine
        stream.partial = b""
        stream.paused = True
        engine.connection.setblocking(False)
        self._resume_engine(stream)
        if engine.first_bytes:
            self._pass_on(stream, engine.first_bytes)

    def _on_engine(self, stream: RelayStream) -> None:
        if stream.engine is None or stream.paused:
            # An earlier event of the same round took the engine's side away.
            return
        try:
            data = stream.engine.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._break(stream, f"the back end's connection broke: {error}")
            return
        if not data:
            self._break(stream, "the back end closed the stream before its end")
            return
        self._pass_on(stream, data)

    def _pass_on(self, stream: RelayStream, data: bytes) -> None:
        stream.last_byte_s = steady_s()
        events = stream.complete_events(data)
        if not events:
            return
        stream.transcript += events
        frame = stream.framed(events)
        if events.endswith(DONE_EVENT):
            self._end(stream, frame, None)
        else:
            self._callers.send(stream, frame)

    def _end(self, stream: RelayStream, frame: bytes, failure: Failure | None) -> None:
        """Write the last bytes of a stream; it is finished once the caller has taken them."""
        self._detach_engine(stream)
        stream.finishing = True
        stream.failure = failure
        if stream.client.chunked:
            frame += LAST_CHUNK
        if self._callers.send(stream, frame) and not stream.queued:
            self._finish(stream, failure, reusable=True)

    def _caller_caught_up(self, stream: RelayStream) -> None:
        if stream.finishing:
            self._finish(stream, stream.failure, reusable=True)
        else:
            self._resume_engine(stream)

    def _pause_engine(self, stream: RelayStream) -> None:
        if stream.engine is not None and not stream.paused:
            stream.paused = True
            self._selector.unregister(stream.engine.connection)

    def _resume_engine(self, stream: RelayStream) -> None:
        if stream.engine is not None and stream.paused:
            stream.paused = False
            stream.last_byte_s = steady_s()
            watch = Watch(stream, lambda _mask: self._on_engine(stream))
            self._selector.register(stream.engine.connection, selectors.EVENT_READ, watch)

    def _detach_engine(self, stream: RelayStream) -> None:
        if stream.engine is None:
            return
        engine, stream.engine = stream.engine, None
        if engine.connection in self._selector.get_map():
            self._selector.unregister(engine.connection)
        engine.connection.close()

    def _break(self, stream: RelayStream, reason: str) -> None:
        """The engine's side is lost."""
        address = stream.engine.address if stream.engine is not None else ""
        self._detach_engine(stream)
        failure = Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=reason,
            step=Step.RELAYING,
            peer=address,
            execution=Execution.UNKNOWN,
        )
        self._ask_repair(stream, failure)

    def _ask_repair(self, stream: RelayStream, failure: Failure) -> None:
        """Let a helper thread find another engine's side."""
        self._repairs.submit(self._repair, stream, bytes(stream.transcript), failure)

    def _repair(self, stream: RelayStream, transcript: bytes, failure: Failure) -> None:
        outcome: EngineSide | ResponseComplete | Failure
        try:
            outcome = stream.callbacks.repair(transcript, failure)
        except Exception:
            logger.exception("stream repair failed")
            outcome = failure
        self._post(stream, lambda: self._repaired(stream, outcome))

    def _repaired(
        self, stream: RelayStream, outcome: EngineSide | ResponseComplete | Failure
    ) -> None:
        if stream not in self._streams or stream.finishing:
            # The caller went away meanwhile, or the deadline passed.
            if isinstance(outcome, EngineSide):
                outcome.connection.close()
            return
        if isinstance(outcome, EngineSide):
            self._attach(stream, outcome)
        elif isinstance(outcome, ResponseComplete):
            stream.transcript += DONE_EVENT
            self._end(stream, stream.framed(DONE_EVENT), None)
        else:
            self._end_with_error(stream, outcome)

    def _end_with_error(self, stream: RelayStream, failure: Failure) -> None:
        """End a stream by an explicit error event: it is never cut in silence."""
        self._end(stream, stream.framed(stream.callbacks.error_event(failure)), failure)

    def _caller_gone(self, stream: RelayStream, error: object) -> None:
        self._counters.client_gone.inc()
        stream.queued.clear()
        failure = Failure(
            kind=FailureKind.CANCELLED,
            reason=f"the caller went away: {error}",
            step=Step.RELAYING,
            execution=Execution.RAN,
        )
        self._finish(stream, failure, reusable=False)

    def _finish(self, stream: RelayStream, failure: Failure | None, reusable: bool) -> None:
        if stream not in self._streams:
            return
        self._streams.discard(stream)
        self._detach_engine(stream)
        stream.finishing = True
        self._callers.close(stream)
        self._counters.relayed_bytes.inc(len(stream.transcript))
        self._repairs.submit(self._close, stream, failure, reusable)

    def _close(self, stream: RelayStream, failure: Failure | None, reusable: bool) -> None:
        """Give the caller's connection back and tell the stream's owner; on a helper thread."""
        with contextlib.suppress(OSError):  # the caller closed first
            stream.client.release(reusable)
        try:
            stream.callbacks.on_end(bytes(stream.transcript), failure)
        except Exception:
            logger.exception("end of a stream not recorded")
        self.abandon()

    def _scan(self, now_s: float) -> None:
        """Find streams that are silent, past their deadline, or whose caller stalls."""
        for stream in list(self._streams):
            try:
                self._scan_one(stream, now_s)
            except Exception:
                self._fault(stream)

    def _scan_one(self, stream: RelayStream, now_s: float) -> None:
        silent_s = now_s - stream.last_byte_s
        if stream.queued:
            if silent_s > CALLER_STALL_S:
                self._caller_gone(stream, "it does not read")
            return
        if now_s > stream.deadline_s:
            self._end_with_error(stream, _deadline_failure(stream))
            return
        if stream.client_half_closed and silent_s > SCAN_INTERVAL_S:
            self._callers.probe(stream)
        if stream.engine is None or silent_s < UNHEALTHY_SILENCE_S:
            return
        if silent_s > stream.silence_s or not stream.callbacks.runner_is_healthy():
            self._break(stream, f"the back end was silent for {silent_s:.1f} s")


def _internal_failure() -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason="the gateway failed to relay this stream",
        step=Step.RELAYING,
        execution=Execution.RAN,
    )


def _deadline_failure(stream: RelayStream) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="the service's deadline_s passed before the answer was whole",
        step=Step.RELAYING,
        peer=stream.engine.address if stream.engine is not None else "",
        execution=Execution.RAN,
    )
