"""Online callers of a soak: some with a connection for each request, some that keep theirs."""

from __future__ import annotations

import threading
import time
from random import Random

import words
from machines import CALLERS_PORT, Machine, Machines
from records import OK, OnlineRecord, Records, StreamRecord, StreamTry

from testbed.routed import RawCaller
from testbed.routed.exchange import EVENTS_HEADER, RESUMABLE_FOLDER, WORK_MS_HEADER

CALLER_PAUSE_S = 0.15
KEEPER_PAUSE_S = 0.1
NEXT_PAUSE_S = 0.03
"""On a connection that is kept, between an answer and the next request."""

CALL_TIMEOUT_S = 4.0
EVENTS_OF_STREAM = 20
STREAM_MS = 1_500
FIRST_EVENT_S = 0.5
"""Time in which the first event of an answer that has events has come."""

BODY = b"ask"
KINDS = ("once", "repeatable", "stream")


class ServingGateways:
    """The gateways that have served a request since they were last struck; used by any thread."""

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[str, tuple[float, float]] = {}

    def answered(self, machine: Machine, asked_s: float) -> None:
        """Note an answer of success to a request of a moment, in monotonic seconds."""
        struck_s = machine.disturbed_s
        if struck_s < asked_s and self._since.get(machine.name, (0.0, 0.0))[0] != struck_s:
            self._since[machine.name] = struck_s, time.monotonic()

    def all_since(self, machine: Machine, asked_s: float) -> bool:
        """Return whether a gateway served all the time from a moment until now."""
        struck_s, since_s = self._since.get(machine.name, (-1.0, 0.0))
        return machine.runs and struck_s == machine.disturbed_s and since_s <= asked_s


class Callers:
    """What all callers share."""

    __slots__ = ("_calm", "_ending", "_machines", "_patience_s", "_records", "_serving")

    def __init__(
        self,
        machines: Machines,
        records: Records,
        ending: threading.Event,
        calm: threading.Event,
        patience_s: float,
    ) -> None:
        self._machines = machines
        self._records = records
        self._ending = ending
        self._calm = calm
        self._patience_s = patience_s
        self._serving = ServingGateways()

    def call(self, random: Random) -> None:
        """Send requests until the end, each on a connection of its own."""
        while not self._ending.is_set():
            time.sleep(CALLER_PAUSE_S)
            if self._calm.is_set():
                continue
            machine = random.choice(self._machines.of("gateway"))
            kind, request_id = _draw(random)
            began_s = time.monotonic()
            record = ask(machine, request_id, f"/{kind}/{request_id}")
            record.kind = kind
            self._take(record, machine, began_s)

    def keep(self, random: Random) -> None:
        """Send one request after the other on one connection, for as long as it lasts.

        A gateway that was asked to stop is no reason to leave: only the end of its process is.
        """
        while not self._ending.is_set():
            time.sleep(KEEPER_PAUSE_S)
            if self._calm.is_set():
                continue
            machine = random.choice(self._machines.of("gateway"))
            try:
                caller = _connect(machine)
            except OSError:
                continue
            try:
                while not self._is_over() and self._ask_once_more(caller, machine, random):
                    time.sleep(NEXT_PAUSE_S)
            finally:
                caller.close()

    def stream(self, random: Random) -> None:
        """Read one long stream after the other; take up again elsewhere what broke off."""
        while not self._is_over():
            time.sleep(CALLER_PAUSE_S * random.random())
            record = StreamRecord(f"s{random.getrandbits(48):012x}")
            until_s = time.monotonic() + self._patience_s
            while not record.is_whole and time.monotonic() < until_s:
                machine = random.choice(self._machines.of("gateway"))
                _try_on(machine, record, f"t{random.getrandbits(48):012x}", self._serving)
                time.sleep(CALLER_PAUSE_S * random.random())
            self._records.streamed(record)
            if self._ending.is_set():
                return

    def _is_over(self) -> bool:
        return self._calm.is_set() or self._ending.is_set()

    def _ask_once_more(self, caller: RawCaller, machine: Machine, random: Random) -> bool:
        kind, request_id = _draw(random)
        target = f"/{kind}/{request_id}"
        began_s = time.monotonic()
        record, kept = _ask_on(caller, request_id, target)
        record.kind = kind
        self._take(record, machine, began_s)
        return kept

    def _take(self, record: OnlineRecord, machine: Machine, began_s: float) -> None:
        if record.status == OK:
            self._serving.answered(machine, began_s)
        self._records.answered(record)


def ask(
    machine: Machine, request_id: str, target: str, body: bytes = BODY, parts: str = ""
) -> OnlineRecord:
    """Send one request to a gateway, with the parts of its prompt if any; return what came."""
    try:
        caller = _connect(machine)
    except OSError:
        return OnlineRecord(request_id, "", target, 0, False, b"")
    try:
        return _ask_on(caller, request_id, target, body, parts)[0]
    finally:
        caller.close()


def _try_on(
    machine: Machine, record: StreamRecord, request_id: str, serving: ServingGateways
) -> None:
    """Ask a gateway for what is missing of a stream, and note the try."""
    at_s, began_s, before = time.time(), time.monotonic(), len(record.events)
    _go_on(machine, record, request_id)
    events = len(record.events) - before
    took_s = time.monotonic() - began_s
    ended_s = at_s + (min(took_s, FIRST_EVENT_S) if events else took_s)
    if events:
        serving.answered(machine, began_s)
    counts = events > 0 or serving.all_since(machine, began_s)
    record.tries.append(StreamTry(at_s, ended_s, events, counts))


def _go_on(machine: Machine, record: StreamRecord, request_id: str) -> None:
    """Ask a gateway for a stream, or for what is missing of it."""
    events = record.events
    first = not events
    headers = {
        "Host": words.HOST,
        words.REQUEST_ID: record.first_id if first else request_id,
        words.DEADLINE_MS: "3000",
        EVENTS_HEADER: str(EVENTS_OF_STREAM),
        WORK_MS_HEADER: str(STREAM_MS),
    }
    if first:
        record.first_id = headers[words.REQUEST_ID] = request_id
    else:
        headers |= {words.LAST_EVENT_ID: str(events[-1][0]), words.RESUMES: record.first_id}
    try:
        caller = _connect(machine)
    except OSError:
        return
    try:
        reply = caller.ask("POST", f"{RESUMABLE_FOLDER}{record.name}", headers, BODY)
    except OSError:
        return
    finally:
        caller.close()
    record.took(reply.status, reply.body, EVENTS_OF_STREAM)


def _ask_on(
    caller: RawCaller, request_id: str, target: str, body: bytes = BODY, parts: str = ""
) -> tuple[OnlineRecord, bool]:
    """Send one request on a connection; return what came, and whether it can be used again."""
    headers = {"Host": words.HOST, words.REQUEST_ID: request_id, words.DEADLINE_MS: "3000"}
    headers |= {words.PROMPT_PREFIX: parts} if parts else {}
    try:
        reply = caller.ask("POST", target, headers, body)
    except OSError:
        return OnlineRecord(request_id, "", target, 0, False, b""), False
    record = OnlineRecord(request_id, "", target, reply.status, reply.complete, reply.body)
    kept = reply.complete and "close" not in reply.headers.get("connection", "").lower()
    return record, kept


def _connect(machine: Machine) -> RawCaller:
    return RawCaller(f"{machine.host}:{CALLERS_PORT}", timeout_s=CALL_TIMEOUT_S)


def _draw(random: Random) -> tuple[str, str]:
    return random.choice(KINDS), f"r{random.getrandbits(48):012x}"
