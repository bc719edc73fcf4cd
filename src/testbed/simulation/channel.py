"""Ordered connections over the simulated network, as TCP gives them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from testbed.simulation.machine import Machine
from testbed.simulation.network import Network
from testbed.simulation.scheduler import Scheduler

RESET_DELAY_S = 0.002
"""Time from a peer's death to the reset that its partner sees."""


class ChannelEnd(Protocol):
    """What one end of a channel does with what arrives."""

    def received(self, channel: Channel, message: object) -> None:
        """Handle a message; messages of one direction arrive in the order of sending."""
        ...

    def broken(self, channel: Channel) -> None:
        """The other end's process died or closed; nothing more arrives."""
        ...


class Channel:
    """A connection between two machines; a cut link makes it silent rather than broken.

    Args:
        scheduler: Virtual time.
        network: Network that carries the messages.
        client: Machine that opened it.
        server: Machine that serves it.
    """

    def __init__(
        self, scheduler: Scheduler, network: Network, client: Machine, server: Machine
    ) -> None:
        self.client = client
        self.server = server
        self.closed = False
        self._scheduler = scheduler
        self._network = network
        self._ends: dict[str, ChannelEnd] = {}
        self._incarnations = {
            client.name: client.incarnation,
            server.name: server.incarnation,
        }
        self._next_arrival_s = {client.name: 0.0, server.name: 0.0}

    def attach(self, machine: Machine, end: ChannelEnd) -> None:
        """Set who handles what arrives at ``machine``."""
        self._ends[machine.name] = end

    def send(self, source: Machine, message: object) -> None:
        """Send a message to the other end."""
        destination = self._other(source)
        self._carry(source, destination, lambda end: end.received(self, message))

    def close(self, source: Machine) -> None:
        """Close the connection; the other end sees it as broken."""
        if self.closed:
            return
        destination = self._other(source)
        self._carry(source, destination, lambda end: end.broken(self))
        self._scheduler.after(RESET_DELAY_S, self._mark_closed)

    def reset_by_death_of(self, dead: Machine) -> None:
        """Tell the partner of a killed process, unless the link is cut."""
        destination = self._other(dead)
        self._network.carry_reliably(
            dead.name,
            destination.name,
            RESET_DELAY_S,
            self._guard(destination, lambda end: end.broken(self)),
        )

    def _carry(
        self, source: Machine, destination: Machine, act: Callable[[ChannelEnd], None]
    ) -> None:
        if self.closed:
            return
        now_s = self._scheduler.now_s
        arrival_s = now_s + self._network.ordered_delay_s(source.name, destination.name)
        arrival_s = max(arrival_s, self._next_arrival_s[destination.name])
        self._next_arrival_s[destination.name] = arrival_s
        self._network.carry_reliably(
            source.name, destination.name, arrival_s - now_s, self._guard(destination, act)
        )

    def _guard(self, destination: Machine, act: Callable[[ChannelEnd], None]) -> Callable[[], None]:
        def run() -> None:
            end = self._ends.get(destination.name)
            alive = destination.incarnation == self._incarnations[destination.name]
            if end is not None and alive:
                act(end)

        return run

    def _mark_closed(self) -> None:
        self.closed = True

    def _other(self, machine: Machine) -> Machine:
        return self.server if machine is self.client else self.client
