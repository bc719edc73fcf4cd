"""A simulated back end: the engine model behind ordered connections."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from leverjunction.backends.types import HeldRequest, LoadReport
from testbed.engine.model import EngineModel
from testbed.engine.types import (
    Emission,
    EngineConfig,
    EngineRequest,
    StepOutcome,
    Submission,
)
from testbed.simulation.channel import Channel
from testbed.simulation.engine_messages import (
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TOO_MANY,
    STATUS_UNAVAILABLE,
    Cancel,
    Head,
    Part,
    Resume,
    Submit,
)
from testbed.simulation.history import (
    EngineRun,
    History,
    SharedStep,
    is_batch_work,
    job_key_of,
)
from testbed.simulation.machine import SECONDS_TO_MS, Machine

KEPT_FOR_RESUME = 256
"""Finished or orphaned answers that can still be resumed."""

_STATUS = {
    Submission.ACCEPTED: STATUS_OK,
    Submission.FULL: STATUS_TOO_MANY,
    Submission.LEAVING: STATUS_UNAVAILABLE,
    Submission.MODEL_NOT_LOADED: STATUS_NOT_FOUND,
}


class ObservedEngine(EngineModel):
    """The engine model, with a view of which requests are in the running batch."""

    def running_ids(self) -> list[str]:
        """Return the ids of the requests in the running batch."""
        running = set(map(id, self._running))
        return [name for name, sequence in self._by_id.items() if id(sequence) in running]


@dataclass
class _Answer:
    """What was generated for a request, and where it goes."""

    request: EngineRequest
    stream: bool
    run: EngineRun
    channel: Channel | None
    parts: list[Emission] = field(default_factory=list)


class RunnerNode:
    """One back end with its machine.

    Attributes:
        machine: Its machine.
        service: Service it belongs to.
        crossing: Share of answers that are sent to another request's connection (a fault).
    """

    def __init__(
        self,
        machine: Machine,
        service: str,
        config: EngineConfig,
        generator: random.Random,
        history: History,
    ) -> None:
        self.machine = machine
        self.service = service
        self.crossing = 0.0
        self.config = config
        self._random = generator
        self._history = history
        self._start_engine()

    def load(self) -> LoadReport:
        """Return the load report, which lags, in the wall clock of the machine."""
        reading = self.engine.load_report(self.machine.monotonic_s())
        started_ms = self.machine.wall_ms() - int(self.machine.monotonic_s() * SECONDS_TO_MS)
        return LoadReport(
            as_of_ms=started_ms + reading.as_of_ms,
            incarnation=reading.incarnation,
            running=reading.running,
            waiting=reading.waiting,
            batch_running=reading.batch_running,
            batch_waiting=reading.batch_waiting,
            kv_blocks_used=reading.kv_blocks_used,
            kv_blocks_total=reading.kv_blocks_total,
            step_ms=reading.step_ms,
            models=reading.models,
            versions=reading.versions,
            leaving=reading.leaving,
        )

    def held_requests(self) -> list[HeldRequest]:
        """Return the owned requests that the engine holds."""
        return [HeldRequest(held.request_id, held.owner) for held in self.engine.held_requests()]

    def restart(self) -> None:
        """Begin with an empty engine after a kill."""
        self.machine.start()
        self._start_engine()

    def received(self, channel: Channel, message: object) -> None:
        """Handle what arrives on a connection (``ChannelEnd``)."""
        if isinstance(message, Submit):
            self._submit(channel, message)
        elif isinstance(message, Resume):
            self._resume(channel, message)

    def broken(self, channel: Channel) -> None:
        """The client is gone: what it asked for runs on and can be resumed."""
        for answer in self._answers.values():
            if answer.channel is channel:
                answer.channel = None

    def received_cancel(self, message: Cancel) -> None:
        """Stop a request; one that is not known any more is no error."""
        emission = self.engine.cancel(message.request_id)
        if emission is not None:
            self._emit(emission)

    def kill(self) -> None:
        """End the engine at once."""
        for answer in self._answers.values():
            answer.run.ended_s = min(answer.run.ended_s, self.machine.monotonic_s())
        self.machine.kill()

    def _start_engine(self) -> None:
        self.engine = ObservedEngine(self.config, self._random, self.machine.wall_ms())
        self._answers: dict[str, _Answer] = {}
        self._stepping = False
        self._online_since_s = self.machine.monotonic_s()

    def _submit(self, channel: Channel, message: Submit) -> None:
        request = message.request
        submission = self.engine.submit(request, self.machine.monotonic_s())
        head = Head(request.request_id, request.attempt, _STATUS[submission])
        if submission is not Submission.ACCEPTED:
            channel.send(self.machine, head)
            channel.close(self.machine)
            return
        self._end_replaced(request.request_id)
        run = EngineRun(
            work_id=request.prompt.partition(" ")[0],
            request_id=request.request_id,
            runner=self.machine.name,
            gateway=message.gateway,
            batch=is_batch_work(request.prompt),
            sent_s=message.sent_s,
            received_s=self.machine.monotonic_s(),
        )
        self._history.runs.append(run)
        if not run.batch and not self._holds_online():
            # An idle engine makes no steps, so the last step does not tell when online work came.
            self._online_since_s = run.received_s
        crossed = self._crossed_answer(request.request_id)
        self._forget_old()
        self._answers[request.request_id] = _Answer(
            request, message.stream, run, None if crossed else channel
        )
        if crossed is not None:
            self._send_crossed(channel, crossed)
        else:
            channel.send(self.machine, head)
        self._wake_engine()

    def _holds_online(self) -> bool:
        """Return whether online work is running or waiting."""
        now_s = self.machine.monotonic_s()
        return any(
            not answer.run.batch and answer.run.ended_s > now_s for answer in self._answers.values()
        )

    def _end_replaced(self, request_id: str) -> None:
        """A submission under a known id replaces what ran under it, as the engine does."""
        former = self._answers.pop(request_id, None)
        if former is not None:
            former.run.ended_s = min(former.run.ended_s, self.machine.monotonic_s())

    def _resume(self, channel: Channel, message: Resume) -> None:
        answer = self._answers.get(message.request_id)
        if answer is None:
            channel.send(self.machine, Head(message.request_id, message.attempt, STATUS_NOT_FOUND))
            channel.close(self.machine)
            return
        answer.channel = channel
        channel.send(self.machine, Head(message.request_id, message.attempt, STATUS_OK))
        for emission in answer.parts:
            if emission.index > message.after_index or emission.finish_reason is not None:
                self._send_emission(answer, emission)

    def _wake_engine(self) -> None:
        if not self._stepping and self.engine.has_work():
            self._stepping = True
            self._step()

    def _step(self) -> None:
        now_s = self.machine.monotonic_s()
        outcome = self.engine.step(now_s)
        self._note_step(now_s, outcome)
        for request_id in self.engine.running_ids():
            self._mark_started(request_id, now_s)
        for emission in outcome.emissions:
            self._mark_started(emission.request_id, now_s)
        if outcome.duration_s <= 0.0:
            self._stepping = False
            return
        self.machine.after(outcome.duration_s, lambda: self._finish_step(outcome.emissions))

    def _note_step(self, now_s: float, outcome: StepOutcome) -> None:
        """Record a step that online work shares with batch, or for which it waits."""
        # A request that ends in this step has left the engine's list already.
        running = {*self.engine.running_ids(), *(e.request_id for e in outcome.emissions)}
        live = [answer for answer in self._answers.values() if answer.run.ended_s > now_s]
        batch = [a.run for a in live if a.run.batch and a.request.request_id in running]
        jobs = self._history.jobs
        parkable = [run.gateway for run in batch if jobs[job_key_of(run.work_id)].may_repeat]
        online = [a.run for a in live if not a.run.batch]
        if not online:
            self._online_since_s = now_s
            return
        waiting = [run.work_id for run in online if run.request_id not in running]
        self._history.steps.append(
            SharedStep(
                runner=self.machine.name,
                moment_s=now_s,
                duration_s=outcome.duration_s,
                online_since_s=self._online_since_s,
                online=len(online) - len(waiting),
                batch=len(batch),
                parkable=tuple(parkable),
                waiting=tuple(waiting),
            )
        )

    def _finish_step(self, emissions: list[Emission]) -> None:
        for emission in emissions:
            self._emit(emission)
        self._step()

    def _mark_started(self, request_id: str, now_s: float) -> None:
        answer = self._answers.get(request_id)
        if answer is not None:
            answer.run.started_s = min(answer.run.started_s, now_s)

    def _emit(self, emission: Emission) -> None:
        answer = self._answers.get(emission.request_id)
        if answer is None or answer.request.attempt != emission.attempt:
            return
        if answer.parts and answer.parts[-1].finish_reason is not None:
            return
        answer.parts.append(emission)
        answer.run.tokens = emission.index
        if emission.finish_reason is not None:
            answer.run.ended_s = self.machine.monotonic_s()
        self._send_emission(answer, emission)

    def _send_emission(self, answer: _Answer, emission: Emission) -> None:
        if answer.channel is None:
            return
        last = emission.finish_reason is not None
        if answer.stream:
            part = Part(emission.index, emission.text, emission.finish_reason)
            answer.channel.send(self.machine, part)
        elif last:
            whole = "".join(part.text for part in answer.parts)
            answer.channel.send(self.machine, Part(emission.index, whole, emission.finish_reason))
        if last:
            answer.channel = None

    def _crossed_answer(self, request_id: str) -> _Answer | None:
        """Return another request's answer when this one's connection is to get it instead."""
        if self.crossing <= 0.0 or self._random.random() >= self.crossing:
            return None
        finished = [
            answer
            for name, answer in self._answers.items()
            if name != request_id and answer.parts and answer.parts[-1].finish_reason is not None
        ]
        return self._random.choice(finished) if finished else None

    def _send_crossed(self, channel: Channel, crossed: _Answer) -> None:
        self._history.faults["answer_crossed"] += 1
        request = crossed.request
        channel.send(self.machine, Head(request.request_id, request.attempt, STATUS_OK))
        text = "".join(part.text for part in crossed.parts)
        last = crossed.parts[-1]
        channel.send(self.machine, Part(last.index, text, last.finish_reason))

    def _forget_old(self) -> None:
        while len(self._answers) > KEPT_FOR_RESUME:
            oldest = next(iter(self._answers))
            if oldest in set(self.engine.running_ids()):
                return
            del self._answers[oldest]
