"""Runs the product's blocking code in virtual time, one activity at a time.

A fiber is a greenlet that runs only while the simulator waits for it, so a run stays deterministic.
Code in it blocks by ``Fibers.wait``; the simulator then goes on until the awaited result is there.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from greenlet import getcurrent, greenlet

from testbed.simulation.machine import Machine

Resume = Callable[[object], None]
"""Hands the awaited result to a blocked fiber; only the first call counts."""


class FiberKilledError(BaseException):
    """Unwinds a fiber whose process was killed; not an Exception, so nothing swallows it."""


class Fiber:
    """One blocking activity of a simulated process.

    A greenlet in place of a thread: the two switches of a wake-up cost below a microsecond, those
    of threads that hand a lock to each other were over half of the processor time of a run.
    """

    def __init__(self, machine: Machine, run: Callable[[Fiber], None]) -> None:
        self.machine = machine
        self.killed = False
        self.done = False
        self.result: object = None
        self._greenlet = greenlet(lambda: run(self))

    def switch_in(self) -> None:
        """Let the fiber run until it blocks or ends."""
        # It gives control back to whoever lets it run now, not to who made it.
        self._greenlet.parent = getcurrent()
        self._greenlet.switch()

    def switch_out(self) -> None:
        """Give control back to whoever let this fiber run; returns when it may run again."""
        self._greenlet.parent.switch()


class Fibers:
    """All fibers of a run.

    Attributes:
        current: The fiber that runs now; None in the simulator's own code.
        threads: Ids of the threads of the run: the one that made this.
    """

    def __init__(self) -> None:
        self.current: Fiber | None = None
        self.threads = {threading.get_ident()}
        self._error: BaseException | None = None
        self._alive: dict[Fiber, None] = {}
        self._watched: set[Machine] = set()

    def spawn(self, machine: Machine, target: Callable[[], None]) -> None:
        """Run ``target`` on a machine, at once until it first blocks."""
        fiber = Fiber(machine, lambda fiber: self._run(fiber, target))
        self._alive[fiber] = None
        if machine not in self._watched:
            self._watched.add(machine)
            machine.on_kill.append(lambda: self._kill_all_of(machine))
        self._enter(fiber)

    def wait(self, arm: Callable[[Resume], None]) -> object:
        """Block the current fiber until the function given to ``arm`` is called."""
        fiber = self.current
        assert fiber is not None, "only a fiber can block"
        if fiber.killed:
            raise FiberKilledError
        wakeup = _Wakeup(self, fiber)
        arm(wakeup.resume)
        if not wakeup.arrived:
            wakeup.blocked = True
            fiber.switch_out()
        if fiber.killed:
            raise FiberKilledError
        return wakeup.result

    def sleep(self, machine: Machine, seconds: float) -> None:
        """Block the current fiber for a span of virtual time."""
        self.wait(lambda resume: machine.after(seconds, lambda: resume(None)))

    def enter(self, fiber: Fiber) -> None:
        """Let a blocked fiber go on; its result is there."""
        self._enter(fiber)

    def _enter(self, fiber: Fiber) -> None:
        before, self.current = self.current, fiber
        fiber.switch_in()
        self.current = before
        if self._error is not None:
            error, self._error = self._error, None
            raise error

    def _run(self, fiber: Fiber, target: Callable[[], None]) -> None:
        """Run a fiber to its end."""
        try:
            if not fiber.killed:
                target()
        except FiberKilledError:
            pass
        except BaseException as error:
            self._error = error
        del self._alive[fiber]
        fiber.done = True

    def _kill_all_of(self, machine: Machine) -> None:
        for fiber in [fiber for fiber in self._alive if fiber.machine is machine]:
            fiber.killed = True
            # The current one unwinds by itself as soon as it blocks.
            if fiber is not self.current and not fiber.done:
                self._enter(fiber)


class _Wakeup:
    """The result that one blocked fiber waits for."""

    def __init__(self, fibers: Fibers, fiber: Fiber) -> None:
        self.arrived = False
        self.blocked = False
        self.result: object = None
        self._fibers = fibers
        self._fiber = fiber

    def resume(self, result: object) -> None:
        if self.arrived:
            return
        self.arrived = True
        self.result = result
        if not self.blocked:
            return
        if self._fibers.current is None:
            self._go_on()
        else:
            self._fiber.machine.after(0.0, self._go_on)

    def _go_on(self) -> None:
        if not self._fiber.killed and not self._fiber.done:
            self._fibers.enter(self._fiber)
