"""Stands in for ``backends.client.EngineClient`` over simulated connections."""

from __future__ import annotations

import msgspec

from leverjunction.backends.client import outdated_failure
from leverjunction.backends.echo import ATTEMPT_HEADER, REQUEST_ID_HEADER, response_mismatch
from leverjunction.backends.head_wait import CHECK_INTERVAL_S, IsOutdated, ShouldAbort
from leverjunction.backends.stream import DetachedSocket
from leverjunction.backends.types import EngineCall, HeldRequest, LoadReport
from leverjunction.errors import Execution, Failure, FailureKind, Step
from testbed.engine.openai_bodies import DONE_EVENT, OpenAiRequest, to_engine_request
from testbed.engine.types import FinishReason
from testbed.simulation.channel import Channel, Connections
from testbed.simulation.engine_messages import STATUS_OK, Cancel, Head, Part, Resume, Submit
from testbed.simulation.fiber import Resume as Wakeup
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, Reply
from testbed.simulation.rpc import RpcBoard
from testbed.simulation.runner_node import RunnerNode
from testbed.simulation.virtual_sockets import VirtualSocket

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 1.0
HELD_REQUESTS_TIMEOUT_S = 1.0


class SimulatedStream:
    """An engine's answer (``EngineStream``); the simulated connection's gateway end."""

    def __init__(self, call: EngineCall, board: RpcBoard, machine: Machine) -> None:
        self.address = call.address
        self.status = 0
        self.headers: dict[str, str] = {}
        self.head: Head | None = None
        self._call = call
        self._board = board
        self._machine = machine
        self._body: bytes | None = None
        self._is_broken = False
        self._socket = VirtualSocket(on_close=self.close)
        self._channel: Channel | None = None
        self._waiting: Wakeup | None = None

    def connect(self, channel: Channel) -> None:
        """Begin on a channel."""
        self._channel = channel
        channel.attach(self._machine, self)

    def received(self, channel: Channel, message: object) -> None:
        """Take what the engine sent (``ChannelEnd``)."""
        if isinstance(message, Head):
            self.head = message
            self.status = message.status
            self.headers = {
                REQUEST_ID_HEADER: message.request_id,
                ATTEMPT_HEADER: str(message.attempt),
            }
        elif isinstance(message, Part):
            self._take(message)
        self._wake()

    def broken(self, channel: Channel) -> None:
        """The engine's process is gone, or it closed (``ChannelEnd``)."""
        self._is_broken = True
        if self.status != STATUS_OK and self.head is not None:
            self._body = self._body or b"{}"
        self._socket.break_off()
        self._wake()

    def await_head(self, should_abort: ShouldAbort | None) -> bool:
        """Wait for the head; False when the connection broke, the time ran out, or in vain."""
        end_s = self._machine.monotonic_s() + self._call.timeout_s
        while self.head is None and not self._is_broken:
            left_s = end_s - self._machine.monotonic_s()
            if left_s <= 0.0 or (should_abort is not None and should_abort()):
                break
            self._wait(self._has_head_or_broke, min(left_s, CHECK_INTERVAL_S))
        return self.head is not None

    def _has_head_or_broke(self) -> bool:
        return self.head is not None or self._is_broken

    def read_all(self) -> bytes | Failure:
        """Return the whole body, or a failure when the connection breaks before its end."""
        self._wait(lambda: self._body is not None or self._is_broken, self._call.timeout_s)
        body = self._body
        self.close()
        return self._failure() if body is None else body

    def detach(self) -> DetachedSocket:
        """Hand over the connection of a streaming answer."""
        return DetachedSocket(connection=self._socket, first_bytes=b"")  # type: ignore[arg-type]

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close(self._machine)

    def _take(self, part: Part) -> None:
        choice: dict[str, object] = {
            "index": 0,
            "finish_reason": part.finish.value if part.finish is not None else None,
            "text": part.text,
        }
        chunk = msgspec.json.encode({"choices": [choice]})
        if not self._call.raw_stream:
            self._body = chunk
            return
        self._socket.feed(b"id: %d\ndata: %s\n\n" % (part.index, chunk))
        if isinstance(part.finish, FinishReason):
            self._socket.feed(DONE_EVENT)
            self._socket.end()

    def _wait(self, is_there: object, timeout_s: float) -> None:
        """Wait until a predicate holds or the engine was silent for ``timeout_s``."""
        assert callable(is_there)
        if is_there():
            return

        def arm(resume: Wakeup) -> None:
            self._waiting = resume
            self._machine.after(timeout_s, lambda: resume(None))

        self._board.fibers.wait(arm)
        self._waiting = None

    def _wake(self) -> None:
        if self._waiting is not None:
            resume, self._waiting = self._waiting, None
            resume(None)

    def _failure(self) -> Failure:
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason="the back end's answer broke off or did not come",
            step=Step.RELAYING,
            peer=self.address,
            execution=Execution.UNKNOWN,
        )


class SimulatedEngines:
    """The engine client of one gateway; blocks the calling fiber."""

    def __init__(
        self,
        machine: Machine,
        board: RpcBoard,
        connections: Connections,
        runners: dict[str, RunnerNode],
    ) -> None:
        self._machine = machine
        self._board = board
        self._connections = connections
        self._runners = runners

    def open(
        self,
        call: EngineCall,
        should_abort: ShouldAbort | None = None,
        is_outdated: IsOutdated | None = None,
    ) -> SimulatedStream | Failure:
        """Send a request or a resume and return the answer once its head has come."""
        if not self._connects(call.address, min(CONNECT_TIMEOUT_S, call.timeout_s)):
            return _unreachable(call.address)
        if is_outdated is not None and is_outdated():
            return outdated_failure(call.address)
        stream = SimulatedStream(call, self._board, self._machine)
        runner = self._runners[call.address]
        channel = self._connections.open(self._machine, runner.machine)
        channel.attach(runner.machine, runner)
        stream.connect(channel)
        channel.send(self._machine, self._message(call))
        if not stream.await_head(should_abort):
            stream.close()
            return _no_answer(call.address)
        mismatch = self.mismatch(stream, call)
        if mismatch is not None:
            stream.close()
        return mismatch or stream

    def mismatch(self, stream: SimulatedStream, call: EngineCall) -> Failure | None:
        """Check the echo of an answer, as the product does."""
        return response_mismatch(stream.headers, call.request_id, call.attempt, call.address)

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request at its engine."""
        runner = self._runners[address]

        def handle(reply: Reply) -> None:
            runner.received_cancel(Cancel(request_id))
            reply(True)

        answer = self._ask(address, handle, CANCEL_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else None

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List the owned requests that an engine holds."""
        runner = self._runners[address]
        answer = self._ask(
            address, lambda reply: reply(runner.held_requests()), HELD_REQUESTS_TIMEOUT_S
        )
        assert isinstance(answer, list | Failure)
        return answer

    def load(self, address: str, timeout_s: float = 1.0) -> LoadReport | Failure:
        """Read an engine's load report."""
        runner = self._runners[address]
        answer = self._ask(address, lambda reply: reply(runner.load()), timeout_s)
        assert isinstance(answer, LoadReport | Failure)
        return answer

    def _message(self, call: EngineCall) -> Submit | Resume:
        if call.last_event_id is not None:
            return Resume(call.request_id, call.attempt, int(call.last_event_id))
        body = msgspec.json.decode(call.body, type=OpenAiRequest)
        request = to_engine_request(body, call.request_id, call.attempt, call.priority, call.owner)
        now_s = self._machine.monotonic_s()
        return Submit(request, self._machine.name, stream=body.stream, sent_s=now_s)

    def _connects(self, address: str, timeout_s: float) -> bool:
        network = self._board.network
        if network.connects(self._machine.name, address):
            return True
        up = network.linked(self._machine.name, address)
        self._board.fibers.sleep(self._machine, 0.001 if up else timeout_s)
        return False

    def _ask(self, address: str, handle: object, timeout_s: float) -> object:
        if not self._connects(address, min(CONNECT_TIMEOUT_S, timeout_s)):
            return _unreachable(address)
        network: Network = self._board.network

        def arm(resume: Wakeup) -> None:
            network.call(self._machine, address, handle, resume, timeout_s)  # type: ignore[arg-type]

        return self._board.fibers.wait(arm)


def _unreachable(address: str) -> Failure:
    return Failure(
        kind=FailureKind.UNREACHABLE,
        reason="no connection to the back end",
        step=Step.CONNECTING,
        peer=address,
        execution=Execution.NOT_RUN,
    )


def _no_answer(address: str) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_FAILED,
        reason="no answer from the back end",
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
