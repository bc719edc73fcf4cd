"""A simulated process on its own machine: it can be killed, restarted and frozen."""

from __future__ import annotations

from collections.abc import Callable

from testbed.simulation.scheduler import WALL_EPOCH_MS, Callback, Scheduler

SECONDS_TO_MS = 1000


class Machine:
    """Runs the callbacks of one process and drops those of earlier incarnations.

    A killed process loses its timers and everything on its way to it. A frozen one (SIGSTOP) keeps
    both: they run when it wakes, while its clock went on all the time.

    Attributes:
        name: Unique name; also its network address in the simulation.
        zone: Zone that decides the delay to other machines.
        incarnation: Number of starts; callbacks of an earlier one never run.
        up: False between a kill and the next start.
        frozen: True between a freeze and the wake-up.
        on_kill: Called when the process is killed.
        clock_counts_frozen_time: Its steady clock goes on while it is frozen, as the product's does
            while a machine is suspended.
    """

    clock_counts_frozen_time = True

    def __init__(self, name: str, zone: str, scheduler: Scheduler, wall_offset_ms: int = 0) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = 1
        self.up = True
        self.frozen = False
        self.on_kill: list[Callback] = []
        self._scheduler = scheduler
        self._wall_offset_ms = wall_offset_ms
        self._held_back: list[tuple[int, Callback]] = []
        self._frozen_s = 0.0
        self._uncounted_s = 0.0

    def monotonic_s(self) -> float:
        """Return the machine's steady clock, in seconds."""
        uncounted_s = 0.0 if self.clock_counts_frozen_time else self._uncounted_s
        return self._scheduler.now_s - uncounted_s

    def wall_ms(self) -> int:
        """Return the machine's wall clock, which may be off by a constant, in milliseconds."""
        elapsed_ms = int(self._scheduler.now_s * SECONDS_TO_MS)
        return WALL_EPOCH_MS + elapsed_ms + self._wall_offset_ms

    def step_wall_clock(self, by_ms: int) -> None:
        """Set the wall clock forward, or back by a negative number."""
        self._wall_offset_ms += by_ms

    def after(self, delay_s: float, callback: Callback) -> None:
        """Set a timer of the running incarnation."""
        incarnation = self.incarnation
        self._scheduler.after(delay_s, lambda: self._run(incarnation, callback))

    def every(self, interval_s: float, callback: Callback, first_s: float | None = None) -> None:
        """Call back again and again while the running incarnation lives."""

        def tick() -> None:
            callback()
            self.after(interval_s, tick)

        self.after(interval_s if first_s is None else first_s, tick)

    def deliver(self, callback: Callback) -> None:
        """Handle something that arrives from the network now; lost when the process is down."""
        if self.up:
            self._run(self.incarnation, callback)

    def kill(self) -> None:
        """End the process at once."""
        self.up = False
        self.frozen = False
        self.incarnation += 1
        self._held_back.clear()
        for callback in self.on_kill:
            callback()

    def start(self) -> None:
        """Begin the next incarnation."""
        self.up = True

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.frozen = self.up
        self._frozen_s = self._scheduler.now_s

    def wake(self) -> None:
        """Let a frozen process go on: all that fell due meanwhile runs now."""
        if not self.frozen:
            return
        self.frozen = False
        self._uncounted_s += self._scheduler.now_s - self._frozen_s
        held_back, self._held_back = self._held_back, []
        for incarnation, callback in held_back:
            self._run(incarnation, callback)

    def guarded(self, callback: Callable[[], None]) -> Callback:
        """Return ``callback`` bound to the running incarnation."""
        incarnation = self.incarnation
        return lambda: self._run(incarnation, callback)

    def _run(self, incarnation: int, callback: Callback) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        if self.frozen:
            self._held_back.append((incarnation, callback))
            return
        callback()
