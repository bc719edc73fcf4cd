"""Stand-ins for the platform's clients, runners and operator, on asyncio without libraries."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

CALL_TIMEOUT_S = 4.0
HEARTBEAT_S = 0.6
HEAD_END = b"\r\n\r\n"


@dataclass
class Answer:
    """An HTTP answer; status 0 stands for none."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head[: -len(HEAD_END)].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a message."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Call once on a new connection; no whole answer in time counts as status 0."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + HEAD_END + body)
            first, answered = await read_head(reader)
            return Answer(int(first.split()[1]), answered, await read_body(reader, answered))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()


async def call_control(
    seeds: list[str], method: str, target: str, body: object, attempts: int = 30
) -> Answer:
    """Call control as every caller does: another process after a failure, with a pause."""
    data = json.dumps(body).encode()
    answer = Answer(0)
    for attempt in range(attempts):
        answer = await call(
            seeds[attempt % len(seeds)],
            method,
            target,
            {"Content-Type": "application/json"},
            data,
            1.0,
        )
        if answer.status and answer.status < 500 and answer.status not in (408, 429):
            return answer
        await asyncio.sleep(min(0.5, 0.05 * (attempt + 1)))
    return answer


@dataclass
class Run:
    """One request that a runner has run."""

    request_id: str
    runner_id: str
    version: str
    after: int
    sent: int = 0
    whole: bool = False


class Work:
    """How long a runner's work takes and what an item's output is."""

    def __init__(self, events: int, first_s: float, event_s: float, pad: int = 60) -> None:
        self.events = events
        self.first_s = first_s
        self.event_s = event_s
        self.pad = pad

    def data(self, request_id: str, number: int) -> str:
        """Return the data of one event, numbered from 1."""
        return f"{request_id}/{number}/".ljust(self.pad, ".")

    def text(self, request_id: str) -> str:
        """Return the whole output of an item."""
        return "\n".join(self.data(request_id, n + 1) for n in range(self.events))


class Runner:
    """One start of a runner, which behaves as the pages say."""

    def __init__(
        self,
        seeds: list[str],
        service: str,
        version: str,
        work: Work,
        slots: int,
        zone: str,
        host: str = "127.0.0.1",
    ) -> None:
        self.id = f"i-{os.urandom(5).hex()}"
        self.service = service
        self.version = version
        self.work = work
        self.slots = slots
        self.zone = zone
        self.runs: list[Run] = []
        self.running = 0
        self.state = "ready"
        self.address = ""
        self._host = host
        self._seeds = seeds
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heart: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        await self.beat()
        self._heart = asyncio.get_running_loop().create_task(self._beat_on())

    async def beat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": self._sequence,
        }
        answer = await call_control(
            self._seeds, "POST", f"/api/Instances.Heartbeat/{self.id}", body
        )
        return answer.status == 200

    async def _beat_on(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    def end(self) -> None:
        """End: all connections close."""
        if self._heart is not None:
            self._heart.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                if not await self._respond(writer, method, target, headers, body):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has left, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _head(self, status: int, request_id: str, more: Iterable[str] = ()) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Leverjunction-Request-Id: {request_id}",
            f"Leverjunction-Instance-Load: {self.running},0,{self.slots}",
            *more,
        ]
        return "\r\n".join(lines).encode() + HEAD_END

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        _body: bytes,
    ) -> bool:
        request_id = headers.get("leverjunction-request-id", "")
        if method == "GET":
            self._respond_to_get(writer, target)
        elif headers.get("leverjunction-expect-instance", self.id) != self.id:
            more = ["Leverjunction-Not-Executed: 1", "Content-Length: 0"]
            writer.write(self._head(421, request_id, more))
        elif self.running >= self.slots:
            more = ["Leverjunction-Not-Executed: 1", "Content-Length: 0"]
            writer.write(self._head(503, request_id, more))
        else:
            await self._run(writer, request_id, headers)
        await writer.drain()
        return not writer.is_closing()

    def _respond_to_get(self, writer: asyncio.StreamWriter, target: str) -> None:
        report = {
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 0,
            "Waiting": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 171000,
            "Handles": 0,
        }
        is_report = target == "/api/report"
        body = json.dumps(report).encode() if is_report else b""
        status = 200 if is_report or target == "/health" else 404
        if target == "/health" and self.state != "ready":
            status = 503
        more = [f"Leverjunction-Instance-Id: {self.id}", f"Content-Length: {len(body)}"]
        writer.write(self._head(status, "", more) + body)

    async def _run(
        self, writer: asyncio.StreamWriter, request_id: str, headers: dict[str, str]
    ) -> None:
        after = int(headers.get("last-event-id") or 0)
        run = Run(request_id, self.id, self.version, after)
        self.runs.append(run)
        self.running += 1
        try:
            stamp = f"{self.id}.{len(self.runs)}"
            more = [
                f"Leverjunction-Server-Stamp: {stamp}",
                "Leverjunction-Weight-Versions: 1",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            await asyncio.sleep(self.work.first_s)
            writer.write(self._head(200, request_id, more))
            for number in range(after + 1, self.work.events + 1):
                if writer.is_closing():
                    raise ConnectionError("the caller has left")
                event = f"id: {number}\ndata: {self.work.data(request_id, number)}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                run.sent = number
                await asyncio.sleep(self.work.event_s)
            writer.write(b"0\r\n\r\n")
            run.whole = True
        finally:
            self.running -= 1


class Surplus:
    """A fault of a runner: some of its answers come a second time, late.

    Attributes:
        share: Share of the answers.
        least_s: Shortest delay of the second answer.
        most_s: Longest delay.
        is_on: Whether the fault is there.
        sent: Second answers that were sent.
    """

    def __init__(self, share: float, least_s: float, most_s: float) -> None:
        self.share = share
        self.least_s = least_s
        self.most_s = most_s
        self.is_on = False
        self.sent = 0


class PlainRunner(Runner):
    """A runner of opaque requests, which refuses what neither its slots nor its queue hold."""

    def __init__(
        self,
        seeds: list[str],
        service: str,
        work_s: float,
        slots: int,
        queue: int,
        zone: str,
        surplus: Surplus | None = None,
    ) -> None:
        super().__init__(seeds, service, "v1", Work(1, work_s, 0.0), slots, zone)
        self._places = asyncio.Semaphore(slots)
        self._queue = queue
        self._surplus = surplus
        self._random = Random(self.id)
        self.refused = 0
        self.trace: dict[str, list[str]] = {}

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        request_id = headers.get("leverjunction-request-id", "")
        is_other = headers.get("leverjunction-expect-instance", self.id) != self.id
        if method == "GET" or is_other:
            return await super()._respond(writer, method, target, headers, body)
        self._note(request_id, "arrives")
        if self.running >= self.slots + self._queue:
            self.refused += 1
            self._note(request_id, "is refused")
            more = ["Leverjunction-Not-Executed: 1", "Content-Length: 0"]
            answer = self._head(503, request_id, more)
        else:
            answer = await self._work(request_id, body)
        writer.write(answer)
        await writer.drain()
        surplus = self._surplus
        if surplus is not None and surplus.is_on and self._random.random() < surplus.share:
            late_s = self._random.uniform(surplus.least_s, surplus.most_s)
            asyncio.get_running_loop().call_later(late_s, self._repeat, writer, answer, request_id)
        return not writer.is_closing()

    def _repeat(self, writer: asyncio.StreamWriter, answer: bytes, request_id: str) -> None:
        if not writer.is_closing() and self._surplus is not None:
            self._surplus.sent += 1
            self._note(request_id, f"its {answer[9:12].decode()} is sent a second time")
            writer.write(answer)

    def _note(self, request_id: str, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.trace.setdefault(request_id, []).append(f"{now_s:.4f} at {self.id}: {text}")

    async def _work(self, request_id: str, body: bytes) -> bytes:
        self.running += 1
        try:
            async with self._places:
                run = Run(request_id, self.id, self.version, 0)
                self.runs.append(run)
                self._note(request_id, "runs")
                await asyncio.sleep(self.work.first_s)
                run.whole = True
                self._note(request_id, "has run")
        finally:
            self.running -= 1
        content = b"answer to " + request_id.encode() + b" " + body[:20]
        stamp = f"Leverjunction-Server-Stamp: {self.id}.{len(self.runs)}"
        return self._head(200, request_id, [stamp, f"Content-Length: {len(content)}"]) + content


@dataclass
class Lot:
    """A batch job as its client knows it."""

    id: str
    items: list[str]
    statuses: list[int] = field(default_factory=list)
    results: list[dict[str, str]] = field(default_factory=list)
    accepted: bool = False


def new_lot(prefix: str, items: int, body_bytes: int = 300) -> tuple[Lot, bytes]:
    """Return a batch job with new ids, and the body of the call that submits it."""
    lot = Lot(os.urandom(8).hex(), [os.urandom(8).hex() for _ in range(items)])
    body = base64.b64encode(os.urandom(body_bytes)).decode()
    payload = [
        {
            "Id": item,
            "Path": f"{prefix}{item[:4]}",
            "Headers": {"Leverjunction-Model": "m", "Leverjunction-Token-Count": "540,400"},
            "Body": body,
            "Tokens": 940,
        }
        for item in lot.items
    ]
    return lot, json.dumps({"Items": payload}).encode()


async def submit(
    gateways: list[str], host: str, prefix: str, lot: Lot, body: bytes, attempts: int = 5
) -> bool:
    """Submit a batch job, and again to another gateway where the pages say so."""
    headers = {
        "Host": host,
        "Leverjunction-Request-Id": lot.id,
        "Content-Type": "application/json",
        "Leverjunction-Deadline-Ms": "4000",
    }
    for attempt in range(attempts):
        gateway = gateways[attempt % len(gateways)]
        answer = await call(gateway, "POST", f"{prefix}{lot.id[:6]}", headers, body)
        lot.statuses.append(answer.status)
        if answer.status == 202:
            lot.accepted = True
            return True
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))
    return False


async def read_results(gateways: list[str], host: str, lot: Lot) -> None:
    """Read what is listed after the results that are known."""
    target = f"/api/lots/{lot.id}?AfterRevision={len(lot.results)}"
    gateway = gateways[len(lot.results) % len(gateways)]
    answer = await call(gateway, "GET", target, {"Host": host})
    if answer.status == 200:
        lot.results += json.loads(answer.body)["Results"]


async def ready(addresses: list[str], timeout_s: float) -> bool:
    """Wait until all gateways call themselves ready."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            for address in addresses:
                while (await call(address, "GET", "/api/ready")).status != 200:
                    await asyncio.sleep(0.2)
            return True
    return False
