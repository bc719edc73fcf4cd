"""The internal RPC over the simulated network: the product's clients and handlers, no sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import TypeVar

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import Envelope, MessageKind
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, Reply

T = TypeVar("T")

CONNECT_TIMEOUT_S = 0.5
DEFAULT_TIMEOUT_S = 2.0
REFUSAL_S = 0.002

Handler = Callable[[Envelope, str], bytes]
"""Handles a call in a fiber of the called machine."""


class RpcBoard:
    """The handlers of all machines, by name and kind.

    Attributes:
        answered_bytes: Bytes of the answers that each machine has sent.
    """

    def __init__(self, network: Network, fibers: Fibers) -> None:
        self.network = network
        self.fibers = fibers
        self.answered_bytes: Counter[str] = Counter()
        self._handlers: dict[str, Mapping[MessageKind, Handler]] = {}
        self._quick: dict[str, Mapping[MessageKind, Handler]] = {}

    def serve(
        self,
        machine: Machine,
        handlers: Mapping[MessageKind, Handler],
        quick: Mapping[MessageKind, Handler],
    ) -> None:
        """Set the handlers of a machine; a restart sets them anew.

        Args:
            machine: The called machine.
            handlers: Handlers that may block; each call gets a fiber.
            quick: Handlers that never block.
        """
        self._handlers[machine.name] = handlers
        self._quick[machine.name] = quick

    def listens(self, name: str) -> bool:
        """Return whether a machine's process serves any call."""
        return bool(self._handlers.get(name))

    def handle(self, machine: Machine, envelope: Envelope, peer: str, reply: Reply) -> None:
        """Run the handler of a call and send back its answer."""

        def answer(body: bytes) -> None:
            self.answered_bytes[machine.name] += len(body)
            reply(body)

        quick = self._quick[machine.name].get(envelope.kind)
        if quick is not None:
            answer(quick(envelope, peer))
            return
        handler = self._handlers[machine.name].get(envelope.kind)
        if handler is None:
            # Its port was closed while the call was on its way.
            return
        self.fibers.spawn(machine, lambda: answer(handler(envelope, peer)))


class SimulatedRpc:
    """Stands in for ``wire.rpc_client.RpcClient`` on one machine; blocks the calling fiber."""

    def __init__(self, machine: Machine, board: RpcBoard) -> None:
        self._machine = machine
        self._board = board

    def call(
        self,
        peer: str,
        kind: MessageKind,
        message: object,
        result_type: type[T],
        *,
        group: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> T | Failure:
        """Send a typed message and wait for its typed reply."""
        body = self.call_raw(peer, kind, encode(message), group=group, timeout_s=timeout_s)
        return body if isinstance(body, Failure) else decode_reply(body, result_type, peer)

    def call_raw(
        self,
        peer: str,
        kind: MessageKind,
        body: bytes,
        *,
        group: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> bytes | Failure:
        """Send encoded bytes and wait for the bytes of the reply."""
        envelope = Envelope(kind=kind, group=group, body=body)
        network = self._board.network

        def arm(resume: Resume) -> None:
            if not network.connects(self._machine.name, peer):
                delay_s = min(CONNECT_TIMEOUT_S, timeout_s)
                self._machine.after(delay_s, lambda: resume(_unreachable(peer)))
                return
            if not self._board.listens(peer):
                self._machine.after(REFUSAL_S, lambda: resume(_refused(peer)))
                return
            network.call(
                self._machine,
                peer,
                lambda reply: self._board.handle(
                    network.machines[peer], envelope, self._machine.name, reply
                ),
                resume,
                timeout_s,
            )

        result = self._board.fibers.wait(arm)
        assert isinstance(result, bytes | Failure)
        return result

    def close(self) -> None:
        """Do nothing: there are no connections."""


def _refused(peer: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_LISTENING,
        reason="no connection: refused",
        step=Step.CONNECTING,
        peer=peer,
        execution=Execution.NOT_RUN,
    )


def _unreachable(peer: str) -> Failure:
    return Failure(
        kind=FailureKind.UNREACHABLE,
        reason="no connection",
        step=Step.CONNECTING,
        peer=peer,
        execution=Execution.NOT_RUN,
    )
