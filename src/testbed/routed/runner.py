"""A back end on loopback that answers as it is told, misbehaviours included.

It runs in a thread of its own. Each request takes the next behaviour of the queue, or the usual
one when the queue is empty.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections import deque

import h11

from testbed import platform_words as words
from testbed.routed.behaviours import BEHAVIOURS, ENDED_HERE
from testbed.routed.exchange import Exchange, Seen, read_request

EXPECT_HEADER = words.EXPECT_INSTANCE.lower()
REPORT_TARGET = words.REPORT_PATH
MANY = 1_000_000


class RunnerStandIn:
    """One start of a back end.

    Attributes:
        version: Version of its software; empty if it tells none.
        runner_id: Its id; a request that expects another is answered 421.
        seen: Requests that came, oldest first.
        held: Those that it works on or that wait for a slot.
        accepted: Connections that were taken.
        under_way: Requests that it answers at the moment.
        online: Requests of others that it reports besides those under way here.
        slots: Requests by path that it works on at once, others wait; 0 for any number.
        slowdown: How long the work of new requests takes, as a multiple of the usual time.
        told_slowdown: What its answers tell of that; None to tell no load.
    """

    def __init__(
        self,
        runner_id: str = "i-1",
        usual: str = "whole",
        slots: int = 0,
        port: int = 0,
        version: str = "",
    ) -> None:
        self.runner_id = runner_id
        self.version = version
        self._port = port
        self.slots = slots
        self.slowdown = 1.0
        self.told_slowdown: float | None = None
        self._places = asyncio.Semaphore(slots or MANY)
        self.usual = usual
        self.seen: list[Seen] = []
        self.held: list[Seen] = []
        self.accepted = 0
        self.online = 0
        self.under_way = 0
        self.address = ""
        self._next: deque[str] = deque()
        self._next_below: dict[str, deque[str]] = {}
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> RunnerStandIn:
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_error: object) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    @property
    def has_ended(self) -> bool:
        """Whether its thread is over, and nobody listens at its address."""
        return not self._thread.is_alive()

    def then(self, *behaviours: str) -> None:
        """Set how the next requests are answered."""
        self._next.extend(behaviours)

    def then_below(self, folder: str, *behaviours: str) -> None:
        """Set how the next requests below a folder are answered."""
        self._next_below.setdefault(folder, deque()).extend(behaviours)

    def _behaviour_for(self, seen: Seen) -> str:
        if seen.headers.get(EXPECT_HEADER, self.runner_id) != self.runner_id:
            return "another"
        for folder, behaviours in self._next_below.items():
            if behaviours and seen.target.startswith(folder):
                return behaviours.popleft()
        return self._next.popleft() if self._next else self.usual

    def _load(self) -> str:
        """Return the load that an answer tells, empty for none."""
        if self.told_slowdown is None:
            return ""
        running, waiting = self.counts()
        return f"{running},{waiting},{self.slots},{round(self.told_slowdown * 100)}"

    def counts(self) -> tuple[int, int]:
        """Return how many requests it works on, and how many wait."""
        running = min(self.under_way, self.slots or MANY)
        return self.online + running, self.under_way - running

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, "127.0.0.1", self._port)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        server.close()
        end_tasks(self._loop)
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        parser = h11.Connection(h11.SERVER)
        surplus: list[bytes] = []
        try:
            while True:
                seen = await read_request(parser, reader)
                if seen is None:
                    break
                writer.write(b"".join(surplus))
                surplus.clear()
                if seen.target == REPORT_TARGET:
                    await _report(Exchange(seen, parser, reader, writer, self._places), self)
                    parser.start_next_cycle()
                    continue
                seen.peer = (writer.get_extra_info("peername") or ("", 0))[1]
                self.seen.append(seen)
                name = self._behaviour_for(seen)
                seen.behaviour = name
                exchange = Exchange(
                    seen,
                    parser,
                    reader,
                    writer,
                    self._places,
                    self.version,
                    self._load(),
                    self.slowdown,
                    surplus,
                )
                reported = int(name not in ENDED_HERE)
                self.under_way += reported
                self.held.append(seen)
                try:
                    await BEHAVIOURS[name](exchange)
                finally:
                    self.under_way -= reported
                    self.held.remove(seen)
                    seen.whole = parser.our_state is h11.DONE
                    seen.ended_s = time.monotonic()
                if parser.our_state is not h11.DONE or writer.is_closing():
                    break
                parser.start_next_cycle()
        except (ConnectionError, asyncio.CancelledError):
            pass
        except h11.RemoteProtocolError:
            # A request that was cut is no fault of the sender's protocol; anything else is.
            if not reader.at_eof():
                raise
        finally:
            writer.close()


def end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """End all tasks of a loop that was stopped, those of connections that just came in too."""
    loop.run_until_complete(asyncio.sleep(0))
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        # One that was accepted in the meantime has its task only now.
        loop.run_until_complete(asyncio.sleep(0))


async def _report(exchange: Exchange, runner: RunnerStandIn) -> None:
    body = b'{"Running":%d,"Waiting":%d}' % runner.counts()
    exchange.head(200, [("Content-Length", str(len(body)))])
    exchange.data(body)
    exchange.end()
