"""An event loop whose time jumps to the next timer, with datagrams between its own ports."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from random import Random
from typing import Any

Address = tuple[str, int]


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time.

    Attributes:
        now_s: Virtual time.
        datagrams: The network between the ports that are opened on this loop.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        super().__init__(_JumpingSelector(self))
        self.datagrams = DatagramNetwork(self)

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Address, **_options: object
    ) -> tuple[Any, Any]:
        """Open a port on the virtual network."""
        protocol = protocol_factory()
        transport = self.datagrams.open(local_addr, protocol)
        protocol.connection_made(transport)
        return transport, protocol


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the time that would pass has passed."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing will ever happen: every task waits for another")
        self._loop.now_s += max(0.0, timeout)
        return []


class DatagramNetwork:
    """Carries datagrams late, and loses some.

    Attributes:
        delay_s: From a send to the receiver's code.
        lost_share: Share that never arrives.
        sent: Datagrams so far.
        sent_bytes: Their size.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.delay_s = 0.002
        self.lost_share = 0.0
        self.sent = 0
        self.sent_bytes = 0
        self._loop = loop
        self._random = Random(0)
        self._ports: dict[Address, Any] = {}

    def open(self, address: Address, protocol: Any) -> VirtualTransport:
        """Have datagrams to an address reach a protocol."""
        self._ports[address] = protocol
        return VirtualTransport(self, address)

    def close(self, address: Address) -> None:
        """Drop what is sent to an address from now on."""
        self._ports.pop(address, None)

    def send(self, data: bytes, sender: Address, receiver: Address) -> None:
        """Carry a datagram."""
        self.sent += 1
        self.sent_bytes += len(data)
        if self._random.random() >= self.lost_share:
            self._loop.call_later(self.delay_s, self._arrive, data, sender, receiver)

    def _arrive(self, data: bytes, sender: Address, receiver: Address) -> None:
        protocol = self._ports.get(receiver)
        if protocol is not None:
            protocol.datagram_received(data, sender)


class VirtualTransport:
    """What a protocol sends through."""

    def __init__(self, network: DatagramNetwork, address: Address) -> None:
        self._network = network
        self._address = address

    def sendto(self, data: bytes, addr: Address) -> None:
        """Send a datagram."""
        self._network.send(data, self._address, addr)

    def close(self) -> None:
        """Close the port."""
        self._network.close(self._address)
