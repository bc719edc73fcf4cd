"""Simulated callers of the online services: they stream, resend keys, and go to other gateways."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from leverjunction.backends.sse import DONE_DATA, SseParser
from leverjunction.errors import Execution
from testbed.engine.text import Answer
from testbed.simulation.caller_messages import HttpBytes, HttpEnd, HttpHead, HttpRequest
from testbed.simulation.channel import Channel, Connections
from testbed.simulation.gateway_node import GatewayNode
from testbed.simulation.history import OnlineRecord
from testbed.simulation.linearizability import NEVER_S
from testbed.simulation.machine import Machine
from testbed.simulation.scenario import ANSWER_MAX_TOKENS, ANSWER_MIN_TOKENS, TENANTS, ServicePlan
from testbed.simulation.world_parts import WorldParts

REQUEST_INTERVAL_S = 0.9
"""Mean time between two new requests to a service."""

KEYED_SHARE = 0.35
NEVER_REPEAT_SHARE = 0.35
STREAM_SHARE = 0.6
DOUBLE_SEND_SHARE = 0.25
"""Share of keyed requests that are sent a second time while the first may still run."""

RESEND_PAUSE_S = 0.4
MAX_SENDS = 4
PATIENCE_S = 45.0
PROMPT_WORDS = 12


class OnlineCallers:
    """All callers of online services."""

    def __init__(
        self,
        parts: WorldParts,
        machines: list[Machine],
        connections: Connections,
        generator: random.Random,
    ) -> None:
        self._parts = parts
        self._machines = machines
        self._connections = connections
        self._random = generator
        self._numbers = 0

    def start(self, begin_s: float, end_s: float) -> None:
        """Send requests to every service between two moments."""
        for service in self._parts.scenario.services:
            moment_s = begin_s
            while moment_s < end_s:
                moment_s += self._random.expovariate(1.0 / REQUEST_INTERVAL_S)
                self._parts.scheduler.after(moment_s, self._asker(service))

    def send(self, request: OnlineWork, sends: int) -> None:
        """Send a request through some gateway."""
        gateway = self._random.choice(list(self._parts.gateways.values()))
        machine = self._random.choice(self._machines)
        record = request.record(gateway.name, self._parts.scheduler.now_s)
        reachable = self._parts.network.connects(machine.name, gateway.name)
        if not reachable or not gateway.front.listens:
            self._again(request, sends)
            return
        self._parts.history.online.append(record)
        session = CallerSession(self, request, record, machine, sends)
        session.open(self._connections.open(machine, gateway.machine), gateway)

    def over(self, request: OnlineWork, record: OnlineRecord, sends: int) -> None:
        """An answer is whole, refused or broken: send again where a careful caller would."""
        if record.whole:
            return
        not_run = record.execution is Execution.NOT_RUN and not record.broken
        if request.key or (not_run and record.status):
            self._again(request, sends)

    def now_s(self) -> float:
        """Return virtual time."""
        return self._parts.scheduler.now_s

    def later(self, delay_s: float, machine: Machine, session: CallerSession) -> None:
        """Give up a session that takes too long."""
        machine.after(delay_s, session.give_up)

    def _again(self, request: OnlineWork, sends: int) -> None:
        if sends < MAX_SENDS:
            pause_s = RESEND_PAUSE_S * (0.5 + self._random.random()) * sends
            self._parts.scheduler.after(pause_s, lambda: self.send(request, sends + 1))

    def _asker(self, service: ServicePlan) -> Callable[[], None]:
        def ask() -> None:
            request = self._new_request(service)
            self.send(request, 1)
            if request.key and self._random.random() < DOUBLE_SEND_SHARE:
                self._parts.history.faults["request_sent_twice"] += 1
                delay_s = self._random.random() * 2.0
                self._parts.scheduler.after(delay_s, lambda: self.send(request, MAX_SENDS))

        return ask

    def _new_request(self, service: ServicePlan) -> OnlineWork:
        self._numbers += 1
        work_id = f"online/{service.name}/{self._numbers}"
        words = " ".join(f"w{self._random.randrange(100)}" for _ in range(PROMPT_WORDS))
        return OnlineWork(
            work_id=work_id,
            tenant=self._random.choice(TENANTS),
            service=service,
            prompt=f"{work_id} {words}",
            key=work_id if self._random.random() < KEYED_SHARE else "",
            may_repeat=self._random.random() >= NEVER_REPEAT_SHARE,
            stream=self._random.random() < STREAM_SHARE,
        )


class OnlineWork(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller wants; every send of it is the same."""

    work_id: str
    tenant: str
    service: ServicePlan
    prompt: str
    key: str
    may_repeat: bool
    stream: bool

    def message(self) -> HttpRequest:
        """Return the request as it is sent."""
        body = {"model": self.service.model, "prompt": self.prompt, "stream": self.stream}
        return HttpRequest(self.tenant, msgspec.json.encode(body), self.key, not self.may_repeat)

    def record(self, gateway: str, now_s: float) -> OnlineRecord:
        """Return the record of a send that begins now."""
        answer = Answer(self.service.model, self.prompt, ANSWER_MIN_TOKENS, ANSWER_MAX_TOKENS)
        return OnlineRecord(
            work_id=self.work_id,
            gateway=gateway,
            may_repeat=self.may_repeat,
            key=self.key,
            service=self.service.name,
            stream=self.stream,
            expected=answer.text(answer.length),
            sent_s=now_s,
        )


class CallerSession:
    """One send, from the caller's side."""

    def __init__(
        self,
        callers: OnlineCallers,
        request: OnlineWork,
        record: OnlineRecord,
        machine: Machine,
        sends: int,
    ) -> None:
        self._callers = callers
        self._request = request
        self._record = record
        self._machine = machine
        self._sends = sends
        self._parser = SseParser()
        self._finished = False
        self._channel: Channel | None = None

    def open(self, channel: Channel, gateway: GatewayNode) -> None:
        """Send the request on a new channel."""
        self._channel = channel
        channel.attach(self._machine, self)
        gateway.front.accept(channel)
        channel.send(self._machine, self._request.message())
        self._callers.later(PATIENCE_S, self._machine, self)

    def received(self, channel: Channel, message: object) -> None:
        """Take a part of the answer (``ChannelEnd``)."""
        if self._record.ended_s != NEVER_S:
            return
        if isinstance(message, HttpHead):
            self._head(message)
        elif isinstance(message, HttpBytes):
            self._read_events(message.data)
        elif isinstance(message, HttpEnd):
            self._over()

    def broken(self, channel: Channel) -> None:
        """The gateway closed or died (``ChannelEnd``)."""
        if self._record.ended_s == NEVER_S:
            self._record.broken = not (self._record.whole or self._record.explicit_error)
            self._over()

    def give_up(self) -> None:
        """End a session that takes too long."""
        if self._record.ended_s == NEVER_S:
            self._record.kind = "patience"
            self._over()

    def _head(self, head: HttpHead) -> None:
        record = self._record
        record.served_id = head.request_id
        record.status = head.status
        if head.failure is not None:
            record.execution = head.failure.execution
            record.kind = head.failure.kind.value
            self._over()
        elif head.body is not None:
            self._read_whole(head.body)
            self._over()

    def _read_whole(self, body: bytes) -> None:
        if self._request.stream:
            self._read_events(body)
            return
        choice = msgspec.json.decode(body)["choices"][0]
        self._record.text = choice["text"]
        self._record.whole = choice["finish_reason"] == "stop"

    def _read_events(self, data: bytes) -> None:
        for event in self._parser.feed(data):
            if event.data == DONE_DATA:
                self._record.whole = self._finished
                continue
            answer = msgspec.json.decode(event.data)
            if "choices" not in answer:
                self._record.explicit_error = True
                continue
            self._record.first_token_s = min(self._record.first_token_s, self._callers.now_s())
            self._record.text += answer["choices"][0]["text"]
            self._finished = answer["choices"][0]["finish_reason"] == "stop"

    def _over(self) -> None:
        self._record.ended_s = self._callers.now_s()
        if self._channel is not None:
            self._channel.close(self._machine)
        self._callers.over(self._request, self._record, self._sends)
