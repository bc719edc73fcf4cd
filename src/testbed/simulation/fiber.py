"""Runs the product's blocking code in virtual time, one thread at a time.

A fiber is a thread that runs only while the simulator waits for it, so a run stays deterministic.
Code in it blocks by ``Fibers.wait``; the simulator then goes on until the awaited result is there.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from testbed.simulation.machine import Machine

Resume = Callable[[object], None]
"""Hands the awaited result to a blocked fiber; only the first call counts."""


class FiberKilledError(BaseException):
    """Unwinds a fiber whose process was killed; not an Exception, so nothing swallows it."""


class Fiber:
    """One blocking activity of a simulated process."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.killed = False
        self.done = False
        self.result: object = None
        self._go = threading.Lock()
        self._back = threading.Lock()
        self._go.acquire()
        self._back.acquire()

    def switch_in(self) -> None:
        """Let the fiber run until it blocks or ends."""
        self._go.release()
        self._back.acquire()

    def switch_out(self) -> None:
        """Give control back to whoever let this fiber run; returns when it may run again."""
        self._back.release()
        self._go.acquire()

    def await_start(self) -> None:
        """Block the new thread until the fiber is first switched in."""
        self._go.acquire()

    def leave(self) -> None:
        """Give control back for good."""
        self.done = True
        self._back.release()


class Fibers:
    """All fibers of a run.

    Attributes:
        current: The fiber that runs now; None in the simulator's own thread.
        threads: Ids of the threads of the run: the one that made this, and those of fibers.
    """

    def __init__(self) -> None:
        self.current: Fiber | None = None
        self.threads = {threading.get_ident()}
        self._error: BaseException | None = None
        self._alive: dict[Fiber, None] = {}
        self._idle: list[_Worker] = []
        self._watched: set[Machine] = set()

    def spawn(self, machine: Machine, target: Callable[[], None]) -> None:
        """Run ``target`` on a machine, at once until it first blocks."""
        fiber = Fiber(machine)
        self._alive[fiber] = None
        if machine not in self._watched:
            self._watched.add(machine)
            machine.on_kill.append(lambda: self._kill_all_of(machine))
        worker = self._idle.pop() if self._idle else _Worker(self)
        worker.begin(fiber, target)
        self._enter(fiber)

    def close(self) -> None:
        """End the threads that wait for another fiber."""
        for worker in self._idle:
            worker.end()
        self._idle.clear()

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

    def run(self, worker: _Worker, fiber: Fiber, target: Callable[[], None]) -> None:
        """Run a fiber to its end; called by a worker's thread."""
        fiber.await_start()
        try:
            if not fiber.killed:
                target()
        except FiberKilledError:
            pass
        except BaseException as error:
            self._error = error
        del self._alive[fiber]
        self._idle.append(worker)
        fiber.leave()

    def _kill_all_of(self, machine: Machine) -> None:
        for fiber in [fiber for fiber in self._alive if fiber.machine is machine]:
            fiber.killed = True
            # The current one unwinds by itself as soon as it blocks.
            if fiber is not self.current and not fiber.done:
                self._enter(fiber)


class _Worker:
    """A thread that runs one fiber after another: starting a thread costs more than a fiber."""

    def __init__(self, fibers: Fibers) -> None:
        self._fibers = fibers
        self._task: tuple[Fiber, Callable[[], None]] | None = None
        self._wake = threading.Semaphore(0)
        threading.Thread(target=self._run, daemon=True).start()

    def begin(self, fiber: Fiber, target: Callable[[], None]) -> None:
        """Take a fiber; it runs once it is switched in."""
        self._task = (fiber, target)
        self._wake.release()

    def end(self) -> None:
        """End the thread."""
        self._task = None
        self._wake.release()

    def _run(self) -> None:
        self._fibers.threads.add(threading.get_ident())
        while True:
            self._wake.acquire()
            if self._task is None:
                return
            self._fibers.run(self, *self._task)


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
