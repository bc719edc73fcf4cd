"""Relay loop: one thread copies the bytes of all streams from engines to callers.

Engines are called with HTTP/1.0, so a body ends with its connection and has no transfer coding:
its bytes are server-sent events and are relayed without parsing. If a caller reads slowly, only
the reads from its own engine are paused.
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

from leverjunction.backends.sse import has_event
from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.relay_caller import CallerConnections
from leverjunction.gateway.relay_stream import (
    DONE_EVENT,
    LAST_CHUNK,
    EngineSide,
    OutputTimes,
    Registration,
    RelayStream,
    ResponseComplete,
)
from leverjunction.observability.counters import GatewayCounters

READ_BYTES = 65536
CHECK_INTERVAL_S = 0.5
UNHEALTHY_SILENCE_S = 2.0
"""Silence after which a stream is broken if its runner is also reported as unhealthy."""

CALLER_STALL_S = 60.0
"""Time without progress after which a caller with queued bytes counts as disconnected."""

REPAIR_THREADS = 32

Action = Callable[[], None]


class RelayLoop:
    """Relays streams in one thread that waits on a selector.

    The public methods may be called from any thread. The private ones run in the relay thread,
    except ``_post``, ``_wake``, ``_repair`` and ``_close``.

    A stream is announced by ``expect``, then passed to ``submit`` or cancelled by ``abandon``.

    Args:
        counters: Metrics of the gateway.
    """

    def __init__(self, counters: GatewayCounters) -> None:
        self._counters = counters
        self._selector = selectors.DefaultSelector()
        self._callers = CallerConnections(
            self._selector,
            on_disconnect=self._handle_disconnect,
            on_queue_sent=self._handle_queue_sent,
            on_queue_full=self._pause_engine,
            now_s=steady_s,
        )
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._actions: deque[tuple[RelayStream | None, Action]] = deque()
        self._streams: set[RelayStream] = set()
        self._helpers = ThreadPoolExecutor(REPAIR_THREADS, thread_name_prefix="stream-repair")
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._stopped = False
        self._idle = threading.Condition()
        self._open_count = 0

    def start(self) -> None:
        """Start the relay thread."""
        registration = Registration(None, self._run_actions)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, registration)
        self._thread.start()

    def stop(self) -> None:
        """Stop the relay thread; streams that are still open are not relayed any further."""
        self._stopped = True
        self._wake()
        self._thread.join()
        self._helpers.shutdown(wait=False, cancel_futures=True)

    def expect(self) -> None:
        """Count a stream as open before its response head is written."""
        with self._idle:
            self._open_count += 1
        self._counters.open_streams.inc()

    def abandon(self) -> None:
        """Revert ``expect``: the stream has ended, or its response head could not be written."""
        self._counters.open_streams.dec()
        with self._idle:
            self._open_count -= 1
            self._idle.notify_all()

    def submit(self, stream: RelayStream) -> None:
        """Start to relay a stream that was counted by ``expect``."""
        self._post(stream, lambda: self._begin(stream))

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no stream is open.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            False if streams were still open at the end of the timeout.
        """
        with self._idle:
            return self._idle.wait_for(lambda: self._open_count == 0, timeout_s)

    def end_streams(self) -> None:
        """End all open streams with an error event, since the process is about to end."""
        self._actions.append((None, self._end_streams))
        self._wake()

    def _end_streams(self) -> None:
        for stream in list(self._streams):
            if not stream.finishing:
                self._end_with_error(stream, _stopped_failure())

    def _post(self, stream: RelayStream, action: Action) -> None:
        self._actions.append((stream, action))
        self._wake()

    def _wake(self) -> None:
        self._wake_writer.send(b"\0")

    def _run_actions(self, _mask: int) -> None:
        self._wake_reader.recv(4096)
        while self._actions:
            stream, action = self._actions.popleft()
            try:
                action()
            except Exception:
                self._handle_error(stream)

    def _run(self) -> None:
        next_check_s = steady_s() + CHECK_INTERVAL_S
        while not self._stopped:
            for key, mask in self._selector.select(CHECK_INTERVAL_S):
                self._handle(key.data, mask)
            now_s = steady_s()
            if now_s >= next_check_s:
                next_check_s = now_s + CHECK_INTERVAL_S
                self._check_streams(now_s)

    def _handle(self, registration: Registration, mask: int) -> None:
        if registration.stream is not None and registration.stream not in self._streams:
            # An earlier event of the same select call ended the stream.
            return
        try:
            registration.handle(mask)
        except Exception:
            # An error in one stream must not end the thread that relays all others.
            self._handle_error(registration.stream)

    def _handle_error(self, stream: RelayStream | None) -> None:
        """End a stream after an unexpected error, if possible with an error event.

        Must be called from the ``except`` block, whose exception it logs.
        """
        logger.exception("unexpected error in the relay loop")
        if stream is None or (stream not in self._streams and stream.finishing):
            return
        failure = _internal_failure()
        try:
            if stream.finishing:
                self._finish(stream, failure, reusable=False)
            else:
                self._end_with_error(stream, failure)
        except Exception:
            logger.exception("could not write the error event of a stream")
            self._finish(stream, failure, reusable=False)

    def _begin(self, stream: RelayStream) -> None:
        self._streams.add(stream)
        stream.last_byte_s = steady_s()
        self._callers.open(stream)
        if stream.engine is not None:
            self._attach(stream, stream.engine)
        else:
            assert stream.initial_failure is not None
            self._request_repair(stream, stream.initial_failure)

    def _attach(self, stream: RelayStream, engine: EngineSide) -> None:
        """Start to relay from an engine's side."""
        stream.engine = engine
        stream.partial = b""
        stream.output = None
        stream.paused = True
        engine.connection.setblocking(False)
        self._resume_engine(stream)
        if engine.first_bytes:
            self._relay_bytes(stream, engine.first_bytes)

    def _on_engine(self, stream: RelayStream) -> None:
        if stream.engine is None or stream.paused:
            # An earlier event of the same select call detached or paused the engine's side.
            return
        try:
            data = stream.engine.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._handle_engine_failure(stream, f"the back end's connection failed: {error}")
            return
        if not data:
            self._handle_engine_failure(
                stream, "the back end closed the connection before the end of the stream"
            )
            return
        self._relay_bytes(stream, data)

    def _relay_bytes(self, stream: RelayStream, data: bytes) -> None:
        stream.last_byte_s = steady_s()
        events = stream.complete_events(data)
        if not events:
            return
        if has_event(events):
            stream.note_output(stream.last_byte_s)
        stream.transcript += events
        frame = stream.encode_body(events)
        if events.endswith(DONE_EVENT):
            self._end(stream, frame, None)
        else:
            self._callers.send(stream, frame)

    def _end(self, stream: RelayStream, frame: bytes, failure: Failure | None) -> None:
        """Write the last bytes of a stream and finish it once they are sent to the caller."""
        self._detach_engine(stream)
        stream.finishing = True
        stream.failure = failure
        if stream.client.chunked:
            frame += LAST_CHUNK
        if self._callers.send(stream, frame) and not stream.queued:
            self._finish(stream, failure, reusable=True)

    def _handle_queue_sent(self, stream: RelayStream) -> None:
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
            registration = Registration(stream, lambda _mask: self._on_engine(stream))
            self._selector.register(stream.engine.connection, selectors.EVENT_READ, registration)

    def _detach_engine(self, stream: RelayStream) -> None:
        if stream.engine is None:
            return
        engine, stream.engine = stream.engine, None
        if engine.connection in self._selector.get_map():
            self._selector.unregister(engine.connection)
        engine.connection.close()

    def _handle_engine_failure(self, stream: RelayStream, reason: str) -> None:
        """Request a repair of a stream whose engine's side failed."""
        address = stream.engine.address if stream.engine is not None else ""
        self._detach_engine(stream)
        failure = Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=reason,
            step=Step.RELAYING,
            peer=address,
            execution=Execution.UNKNOWN,
        )
        self._request_repair(stream, failure)

    def _request_repair(self, stream: RelayStream, failure: Failure) -> None:
        """Run the stream's repair callback in a helper thread."""
        self._helpers.submit(self._repair, stream, bytes(stream.transcript), failure, stream.output)

    def _repair(
        self,
        stream: RelayStream,
        transcript: bytes,
        failure: Failure,
        output: OutputTimes | None,
    ) -> None:
        outcome: EngineSide | ResponseComplete | Failure
        try:
            outcome = stream.callbacks.repair(transcript, failure, output)
        except Exception:
            logger.exception("unexpected error during the repair of a stream")
            outcome = failure
        self._post(stream, lambda: self._repaired(stream, outcome))

    def _repaired(
        self, stream: RelayStream, outcome: EngineSide | ResponseComplete | Failure
    ) -> None:
        if stream not in self._streams or stream.finishing:
            # The caller disconnected during the repair, or the deadline passed.
            if isinstance(outcome, EngineSide):
                outcome.connection.close()
            return
        if isinstance(outcome, EngineSide):
            self._attach(stream, outcome)
        elif isinstance(outcome, ResponseComplete):
            stream.transcript += DONE_EVENT
            self._end(stream, stream.encode_body(DONE_EVENT), None)
        else:
            self._end_with_error(stream, outcome)

    def _end_with_error(self, stream: RelayStream, failure: Failure) -> None:
        """End a stream with an error event, so that the caller can tell it from a complete one."""
        self._end(stream, stream.encode_body(stream.callbacks.error_event(failure)), failure)

    def _handle_disconnect(self, stream: RelayStream, error: object) -> None:
        self._counters.client_gone.inc()
        stream.queued.clear()
        failure = Failure(
            kind=FailureKind.CANCELLED,
            reason=f"the caller disconnected: {error}",
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
        self._helpers.submit(self._close, stream, failure, reusable)

    def _close(self, stream: RelayStream, failure: Failure | None, reusable: bool) -> None:
        """Release the caller's connection and notify the stream's owner, in a helper thread."""
        with contextlib.suppress(OSError):  # the caller has already closed the connection
            stream.client.release(reusable)
        try:
            stream.callbacks.on_end(bytes(stream.transcript), failure)
        except Exception:
            logger.exception("could not record the end of a stream")
        self.abandon()

    def _check_streams(self, now_s: float) -> None:
        """Check all streams for a silent engine, an expired deadline and a stalled caller."""
        for stream in list(self._streams):
            try:
                self._check_stream(stream, now_s)
            except Exception:
                self._handle_error(stream)

    def _check_stream(self, stream: RelayStream, now_s: float) -> None:
        silent_s = now_s - stream.last_byte_s
        if stream.queued:
            if silent_s > CALLER_STALL_S:
                self._handle_disconnect(stream, "it stopped reading the stream")
            return
        if now_s > stream.deadline_s:
            self._end_with_error(stream, _deadline_failure(stream))
            return
        if stream.client_half_closed and silent_s > CHECK_INTERVAL_S:
            self._callers.probe(stream)
        if stream.engine is None or silent_s < UNHEALTHY_SILENCE_S:
            return
        if silent_s > stream.silence_s or not stream.callbacks.runner_is_healthy():
            self._handle_engine_failure(stream, f"the back end was silent for {silent_s:.1f} s")


def _internal_failure() -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason="the gateway failed to relay this stream",
        step=Step.RELAYING,
        execution=Execution.RAN,
    )


def _stopped_failure() -> Failure:
    return Failure(
        kind=FailureKind.STOPPING,
        reason="this gateway stopped before the response was complete",
        step=Step.STOPPING,
        execution=Execution.RAN,
    )


def _deadline_failure(stream: RelayStream) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="the service's deadline_s passed before the response was complete",
        step=Step.RELAYING,
        peer=stream.engine.address if stream.engine is not None else "",
        execution=Execution.RAN,
    )
