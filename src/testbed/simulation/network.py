"""A simulated network that delays, loses, duplicates, reorders and cuts."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from leverjunction.errors import Execution, Failure, FailureKind, Step
from testbed.simulation.machine import Machine
from testbed.simulation.scheduler import Scheduler

T = TypeVar("T")
Reply = Callable[[object], None]
"""Sends the answer of a call back to its caller."""

LOCAL_DELAY_S = 0.0002


@dataclass(frozen=True)
class NetworkProfile:
    """How the network behaves when nothing is cut.

    Attributes:
        zone_delay_s: One way between two zones.
        jitter_s: Mean of the exponential extra delay; it reorders messages.
        loss: Share of messages that are lost.
        duplication: Share of messages that arrive twice.
        straggler: Share of messages that arrive up to ``straggler_s`` late.
        straggler_s: Longest delay of a straggler.
    """

    zone_delay_s: float = 0.001
    jitter_s: float = 0.0005
    loss: float = 0.002
    duplication: float = 0.01
    straggler: float = 0.004
    straggler_s: float = 4.0


class Network:
    """Carries messages between machines.

    Attributes:
        machines: Machines by name.
        counts: Number of lost, duplicated, late and cut messages.
    """

    def __init__(
        self, scheduler: Scheduler, randomness: random.Random, profile: NetworkProfile
    ) -> None:
        self.machines: dict[str, Machine] = {}
        self.counts: Counter[str] = Counter()
        self._scheduler = scheduler
        self._random = randomness
        self._profile = profile
        self._cut_links: set[tuple[str, str]] = set()
        self._slow_s: dict[str, float] = {}

    def add(self, machine: Machine) -> Machine:
        """Attach a machine under its name."""
        self.machines[machine.name] = machine
        return machine

    def cut(self, source: str, destination: str) -> None:
        """Drop everything from ``source`` to ``destination`` in silence."""
        self._cut_links.add((source, destination))

    def isolate(self, name: str, others: list[str]) -> None:
        """Cut a machine off from ``others`` in both directions."""
        for other in others:
            self.cut(name, other)
            self.cut(other, name)

    def heal(self, name: str) -> None:
        """Repair every cut link of a machine."""
        self._cut_links = {link for link in self._cut_links if name not in link}

    def heal_all(self) -> None:
        """Repair every cut link."""
        self._cut_links.clear()

    def slow(self, name: str, delay_s: float) -> None:
        """Have all messages of a machine, in both directions, take longer; 0 for no longer."""
        self._slow_s[name] = delay_s

    def calm(self) -> None:
        """From now on lose, duplicate and hold back nothing: the end phase of a run."""
        self._profile = NetworkProfile(loss=0.0, duplication=0.0, straggler=0.0)

    def send(self, source: str, destination: str, on_arrival: Callable[[], None]) -> None:
        """Carry one message; ``on_arrival`` runs on the destination, perhaps never or twice."""
        if self._chance(self._profile.loss):
            self.counts["message_lost"] += 1
            return
        self._carry(source, destination, on_arrival)
        if self._chance(self._profile.duplication):
            self.counts["message_duplicated"] += 1
            self._carry(source, destination, on_arrival)

    def call(
        self,
        caller: Machine,
        destination: str,
        handle: Callable[[Reply], None],
        on_result: Callable[[object], None],
        timeout_s: float,
    ) -> None:
        """Call a machine and hand over its answer, or a failure when none came in time.

        Args:
            caller: Machine that calls and gets the result.
            destination: Machine that runs ``handle``; perhaps twice, as a resent message does.
            handle: Runs on the destination; sends the answer with the given function.
            on_result: Runs once on the caller.
            timeout_s: When to give up.
        """
        call = _Call(caller.guarded, on_result)
        back = caller.name

        def reply(result: object) -> None:
            self.send(destination, back, lambda: call.finish(result))

        self.send(caller.name, destination, lambda: handle(reply))
        caller.after(timeout_s, lambda: call.finish(_timeout(destination)))

    def linked(self, source: str, destination: str) -> bool:
        """Return whether the link in this direction is whole."""
        return (source, destination) not in self._cut_links

    def connects(self, source: str, destination: str) -> bool:
        """Return whether a connection can be opened now; a frozen process's system accepts it."""
        machine = self.machines.get(destination)
        cut = {(source, destination), (destination, source)} & self._cut_links
        return machine is not None and machine.up and not cut

    def refuses(self, source: str, destination: str) -> bool:
        """Return whether a connection is refused: the process has ended, its machine lives."""
        machine = self.machines.get(destination)
        cut = {(source, destination), (destination, source)} & self._cut_links
        return machine is not None and not machine.up and not cut

    def carry_reliably(
        self, source: str, destination: str, delay_s: float, on_arrival: Callable[[], None]
    ) -> None:
        """Carry a message of an ordered connection: lost only when the link is cut."""
        self._scheduler.after(delay_s, lambda: self._arrive(source, destination, on_arrival))

    def ordered_delay_s(self, source: str, destination: str) -> float:
        """Return the delay of the next message of an ordered connection."""
        return self._delay_s(source, destination)

    def _carry(self, source: str, destination: str, on_arrival: Callable[[], None]) -> None:
        self._scheduler.after(
            self._delay_s(source, destination),
            lambda: self._arrive(source, destination, on_arrival),
        )

    def _arrive(self, source: str, destination: str, on_arrival: Callable[[], None]) -> None:
        if (source, destination) in self._cut_links:
            self.counts["message_cut"] += 1
            return
        machine = self.machines.get(destination)
        if machine is not None:
            machine.deliver(on_arrival)

    def _delay_s(self, source: str, destination: str) -> float:
        near = self._zone(source) == self._zone(destination)
        base_s = LOCAL_DELAY_S if near else self._profile.zone_delay_s
        delay_s = base_s + self._random.expovariate(1.0) * self._profile.jitter_s
        if self._chance(self._profile.straggler):
            self.counts["message_late"] += 1
            delay_s += self._random.random() * self._profile.straggler_s
        return delay_s + self._slow_s.get(source, 0.0) + self._slow_s.get(destination, 0.0)

    def _zone(self, name: str) -> str:
        machine = self.machines.get(name)
        return machine.zone if machine else ""

    def _chance(self, share: float) -> bool:
        return share > 0.0 and self._random.random() < share


class _Call:
    """One call in progress; only the first result counts."""

    def __init__(
        self, guard: Callable[[Callable[[], None]], Callable[[], None]], on_result: Reply
    ) -> None:
        self._finished = False
        self._on_result = on_result
        self._result: object = None
        self._hand_over = guard(self._deliver)

    def finish(self, result: object) -> None:
        if self._finished:
            return
        self._finished = True
        self._result = result
        self._hand_over()

    def _deliver(self) -> None:
        self._on_result(self._result)


def _timeout(peer: str) -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason=f"no answer from {peer} in time",
        step=Step.RESPONDING,
        peer=peer,
        execution=Execution.UNKNOWN,
    )
