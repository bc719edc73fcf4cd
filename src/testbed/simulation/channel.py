"""Ordered connections over the simulated network, as TCP gives them.

What meets a cut link is sent again until the link heals, so it arrives late but whole and in order;
after ``GIVE_UP_S`` both ends see a reset. The end of a process resets its connections.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from testbed.simulation.machine import Machine
from testbed.simulation.network import Network
from testbed.simulation.scheduler import Scheduler

RESET_DELAY_S = 0.002
"""Time from a peer's death to the reset that its partner sees."""

RESEND_INTERVAL_S = 0.25
GIVE_UP_S = 15.0


class ChannelEnd(Protocol):
    """What one end of a channel does with what arrives."""

    def received(self, channel: Channel, message: object) -> None:
        """Handle a message; messages of one direction arrive in the order of sending."""
        ...

    def broken(self, channel: Channel) -> None:
        """The other end's process died or closed; nothing more arrives."""
        ...


class Connections:
    """Opens channels and resets them when one of their processes is killed."""

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        self._scheduler = scheduler
        self._network = network
        self._open: dict[str, dict[Channel, None]] = {}

    def open(self, client: Machine, server: Machine) -> Channel:
        """Return a new channel; whether the server can be reached is the caller's question."""
        channel = Channel(self._scheduler, self._network, client, server)
        for machine in (client, server):
            if machine.name not in self._open:
                self._open[machine.name] = {}
                machine.on_kill.append(self._resetter(machine))
            self._open[machine.name][channel] = None
        channel.on_closed = self._forget
        return channel

    def of(self, machine: Machine) -> list[Channel]:
        """Return the open channels of a machine."""
        return list(self._open.get(machine.name, ()))

    def _resetter(self, machine: Machine) -> Callable[[], None]:
        def reset() -> None:
            for channel in list(self._open[machine.name]):
                channel.reset_by_death_of(machine)

        return reset

    def _forget(self, channel: Channel) -> None:
        for machine in (channel.client, channel.server):
            self._open[machine.name].pop(channel, None)


class Channel:
    """A connection between two machines.

    Attributes:
        client: Machine that opened it.
        server: Machine that serves it.
        closed: One end has closed it.
        silent: Its path is gone for good: nothing arrives any more, and nobody is told.
        on_closed: Called when it is closed.

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
        self.silent = False
        self.on_closed: Callable[[Channel], None] = lambda _channel: None
        self._scheduler = scheduler
        self._network = network
        self._ends: dict[str, ChannelEnd] = {}
        self._incarnations = {client.name: client.incarnation, server.name: server.incarnation}
        self._on_way: dict[str, deque[Callable[[ChannelEnd], None]]] = {
            client.name: deque(),
            server.name: deque(),
        }
        self._next_arrival_s = {client.name: 0.0, server.name: 0.0}
        self._stuck_since_s: dict[str, float] = {}

    def attach(self, machine: Machine, end: ChannelEnd) -> None:
        """Set who handles what arrives at ``machine``."""
        self._ends[machine.name] = end

    def send(self, source: Machine, message: object) -> None:
        """Send a message to the other end."""
        if not self.closed:
            self._carry(self._other(source), lambda end: end.received(self, message))

    def close(self, source: Machine) -> None:
        """Close the connection; the other end sees it as broken after all that was sent."""
        if self.closed:
            return
        self._carry(self._other(source), lambda end: end.broken(self))
        self._end()

    def reset_by_death_of(self, dead: Machine) -> None:
        """Tell the partner of a killed process."""
        if self.closed:
            return
        self._next_arrival_s[self._other(dead).name] += RESET_DELAY_S
        self._carry(self._other(dead), lambda end: end.broken(self))
        self._end()

    def reaches_both_ways(self) -> bool:
        """Return whether a packet, and the answer to it, would arrive now."""
        names = self.client.name, self.server.name
        linked = self._network.linked(*names) and self._network.linked(*reversed(names))
        return linked and not self.silent

    def _end(self) -> None:
        self.closed = True
        self.on_closed(self)

    def _carry(self, destination: Machine, act: Callable[[ChannelEnd], None]) -> None:
        source = self._other(destination)
        delay_s = self._network.ordered_delay_s(source.name, destination.name)
        now_s = self._scheduler.now_s
        arrival_s = max(now_s + delay_s, self._next_arrival_s[destination.name])
        self._next_arrival_s[destination.name] = arrival_s
        self._on_way[destination.name].append(act)
        self._scheduler.after(arrival_s - now_s, lambda: self._arrive(destination))

    def _arrive(self, destination: Machine) -> None:
        """Hand over all that can arrive; keep the rest in order while the link is cut."""
        waiting = self._on_way[destination.name]
        if not waiting:
            return
        if self.silent:
            waiting.clear()
            return
        source = self._other(destination)
        if not self._network.linked(source.name, destination.name):
            self._wait_for_link(destination)
            return
        self._stuck_since_s.pop(destination.name, None)
        self._deliver(destination, waiting.popleft())

    def _wait_for_link(self, destination: Machine) -> None:
        now_s = self._scheduler.now_s
        since_s = self._stuck_since_s.setdefault(destination.name, now_s)
        if now_s - since_s < GIVE_UP_S:
            self._scheduler.after(RESEND_INTERVAL_S, lambda: self._arrive(destination))
            return
        for machine in (self.client, self.server):
            self._on_way[machine.name].clear()
            self._deliver(machine, lambda end: end.broken(self))
        self._end()

    def _deliver(self, destination: Machine, act: Callable[[ChannelEnd], None]) -> None:
        end = self._ends.get(destination.name)
        incarnation = self._incarnations[destination.name]

        def run() -> None:
            if end is not None and destination.incarnation == incarnation:
                act(end)

        destination.deliver(run)

    def _other(self, machine: Machine) -> Machine:
        return self.server if machine is self.client else self.client
