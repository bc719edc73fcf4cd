"""An engine of the testbed stepped in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

from testbed.engine.model import EngineModel
from testbed.engine.types import (
    Emission,
    EngineConfig,
    EngineRequest,
    LoadReading,
    Submission,
)
from testbed.simulation.scheduler import Scheduler

EmissionHandler = Callable[[Emission], None]


class VirtualRunner:
    """One engine whose steps follow each other in virtual time.

    Tokens of a step are handed to the handler of their request at the end of the step.
    """

    def __init__(
        self, scheduler: Scheduler, runner_id: str, zone: str, config: EngineConfig, seed: int
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.engine = EngineModel(config, random.Random(seed))
        self._scheduler = scheduler
        self._handlers: dict[str, EmissionHandler] = {}
        self._stepping = False
        self.observers: list[Callable[[VirtualRunner], None]] = []

    def submit(self, request: EngineRequest, handler: EmissionHandler) -> bool:
        """Queue a request; False when the engine refuses it."""
        if self.engine.submit(request, self._scheduler.now_s) is not Submission.ACCEPTED:
            return False
        self._handlers[request.request_id] = handler
        self._notify()
        self._wake()
        return True

    def cancel(self, request_id: str) -> None:
        """Stop a request; its handler gets the last emission, if it is still here."""
        emission = self.engine.cancel(request_id)
        if emission is not None:
            self._deliver([emission])

    def load_report(self) -> LoadReading:
        """Return the lagging load report."""
        return self.engine.load_report(self._scheduler.now_s)

    def load_now(self) -> LoadReading:
        """Return the state without lag; for the oracle only."""
        return self.engine.load_now(self._scheduler.now_s)

    def _wake(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._scheduler.after(0.0, self._step)

    def _step(self) -> None:
        if not self.engine.has_work():
            self._stepping = False
            return
        outcome = self.engine.step(self._scheduler.now_s)
        self._scheduler.after(outcome.duration_s, lambda: self._end_step(outcome.emissions))

    def _end_step(self, emissions: list[Emission]) -> None:
        self._deliver(emissions)
        self._notify()
        self._step()

    def _deliver(self, emissions: list[Emission]) -> None:
        for emission in emissions:
            handler = self._handlers.get(emission.request_id)
            if emission.finish_reason is not None:
                self._handlers.pop(emission.request_id, None)
            if handler is not None:
                handler(emission)

    def _notify(self) -> None:
        for observer in self.observers:
            observer(self)
