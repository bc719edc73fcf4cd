"""Work is conserved: after any faults of group, back ends and lead, all open items end in time.

Items stayed open for good, with back ends idle and a store that led: what they had in common is
that an item's next step hung on one event that did not come. So here events are lost at random:
proposals time out though committed, are lost, refused or late; reads fail; the lead comes and goes;
back ends break their answers off, fail and leave. Then all is well, and nothing may be left lying.
"""

from __future__ import annotations

import sqlite3
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from random import Random

import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_outbox import status_as

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import (
    LotItem,
    ReadResults,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply, encode, encode_reply
from testbed.routed import HOST, SERVICE, RunnerStandIn, make_route, make_table

MAX_ATTEMPTS = 3
TROUBLE_S = 5.0
CALM_S = 15.0
"""A wide bound for a busy machine: 70 plays took 0.2 to 4.4 s."""

BREAKS = ("stream cut in an event", "reset", "no answer", "not run", "fault", "fault", "stream")
DELAYS_S = (0.0, 0.0, 0.01, 0.3, 1.0, 1.7)
WHOLE_TEXT = "\n".join(f"event {number}" for number in range(1, 6))


class TroubledGroup:
    """A group of one replica with a log; commands are applied in its order, some of them late.

    Attributes:
        troubled: Whether calls fail at random.
        role: What the replica takes itself for.
        stalled_until_s: Nothing is applied before.
    """

    def __init__(self, random: Random) -> None:
        self.troubled = False
        self.role = "leader"
        self.stalled_until_s = 0.0
        self.runner: LotsRunner | None = None
        self._random = random
        self._lock = threading.Lock()
        self._machine = LotsStateMachine()
        self._connection = sqlite3.connect(
            ":memory:", check_same_thread=False, isolation_level=None
        )
        self._machine.create_tables(self._connection)
        self._index = 0
        self._log: deque[tuple[float, bytes, list[bytes]]] = deque()
        self._grown = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._apply_all, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self._thread.join()

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        if not self.troubled:
            return self._wait(self.put(command), timeout_s)
        draw = self._random.random()
        if self.role != "leader" or draw < 0.1:
            return _failed(FailureKind.NOT_LEADER, Execution.NOT_RUN)
        if draw < 0.25:
            if draw > 0.15:
                self.put(command, self._random.uniform(0, 1))
            return _failed(FailureKind.NO_QUORUM, Execution.UNKNOWN)
        return self._wait(self.put(command, self._random.choice(DELAYS_S)), timeout_s)

    def put(self, command: bytes, delay_s: float = 0.0) -> list[bytes]:
        """Add a command to the log; its reply is put into what is returned."""
        replies: list[bytes] = []
        with self._grown:
            self._log.append((time.monotonic() + delay_s, command, replies))
            self._grown.notify_all()
        return replies

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        return self.query_local(query)

    def query_local(self, query: bytes) -> bytes:
        if self.troubled and self._random.random() < 0.08:
            return encode_reply(_failed(FailureKind.INTERNAL, Execution.NOT_RUN))
        return self.read(query)

    def read(self, query: bytes) -> bytes:
        """Read, whatever the trouble."""
        with self._lock:
            return self._machine.query(self._connection, query)

    def status(self) -> GroupStatus:
        return status_as(self.role)

    def _tell(self) -> None:
        if self.runner is not None and self._machine.open_items_changed:
            self.runner.changed()
            self._machine.open_items_changed = False

    def _wait(self, replies: list[bytes], timeout_s: float) -> bytes | Failure:
        with self._grown:
            if self._grown.wait_for(lambda: replies, timeout_s):
                return replies[0]
        return _failed(FailureKind.TIMEOUT, Execution.UNKNOWN)

    def _apply_all(self) -> None:
        while not self._stopped:
            with self._grown:
                if not self._grown.wait_for(lambda: self._log, 0.1):
                    continue
                due_s, command, replies = self._log[0]
                pause_s = max(due_s, self.stalled_until_s) - time.monotonic()
                if pause_s > 0:
                    self._grown.wait(min(pause_s, 0.05))
                    continue
                self._log.popleft()
            with self._lock:
                self._index += 1
                context = ApplyContext(index=self._index, term=1, wall_ms=SystemClock().wall_ms())
                reply = self._machine.apply(self._connection, context, command)
                self._tell()
            with self._grown:
                replies.append(reply)
                self._grown.notify_all()


def _failed(kind: FailureKind, execution: Execution) -> Failure:
    return Failure(kind=kind, reason="trouble", step=Step.PROPOSING, execution=execution)


class Play:
    """A store that runs items at two back ends."""

    def __init__(self, seed: int, back_ends: list[RunnerStandIn]) -> None:
        self._random = Random(seed)
        self.group = TroubledGroup(Random(seed + 1))
        self._back_ends = back_ends
        self.runner = LotsRunner(
            self.group, "z", PlatformDialect(), SystemClock(), Random(seed + 2)
        )
        self.group.runner = self.runner
        self._table = make_table(make_route(RouteClass.BATCH, max_attempts=MAX_ATTEMPTS))
        self._revision = 0
        self.lots: dict[str, set[str]] = {}
        self.show(back_ends)
        self.runner.start()

    def show(self, back_ends: list[RunnerStandIn]) -> None:
        """Tell of the back ends that there are."""
        self._revision += 1
        records = tuple(
            RunnerRecord(
                runner_id=item.runner_id, service=SERVICE, address=item.address, zone="z", slots=16
            )
            for item in back_ends
        )
        view = FleetView(revision=self._revision, runners=records)
        self.runner.set_registry(Snapshot(self._table, view))

    def submit(self, count: int) -> None:
        lot = f"lot-{len(self.lots)}"
        self.lots[lot] = {f"{lot}-item-{number}" for number in range(count)}
        items = tuple(
            LotItem(item_id=name, path=f"/batch/{name}", headers=(), body=b"b", tokens=9)
            for name in sorted(self.lots[lot])
        )
        command = SubmitLot(
            lot_id=lot,
            host=HOST,
            path="/batch/lot",
            max_attempts=MAX_ATTEMPTS,
            give_up_s=600.0,
            due_ms=20_000.0,
            items=items,
        )
        self.group.put(encode_command(command))

    def trouble(self) -> None:
        """Bring one trouble about."""
        draw = self._random.choice(("items", "stall", "lead", "fleet", "answers", "answers"))
        if draw == "items":
            self.submit(self._random.randrange(1, 6))
        elif draw == "stall":
            self.group.stalled_until_s = time.monotonic() + self._random.uniform(0.2, 3)
        elif draw == "lead":
            self.group.role = "follower"
            time.sleep(self._random.uniform(0, 0.8))
            self.group.role = "leader"
        elif draw == "fleet":
            self.show(self._random.choice((self._back_ends, self._back_ends[:1])))
        else:
            for item in self._back_ends:
                item.then(*self._random.choices(BREAKS, k=4))

    def calm(self) -> None:
        """End all trouble."""
        self.group.troubled = False
        self.group.stalled_until_s = 0.0
        self.show(self._back_ends)

    def listed(self) -> dict[str, tuple[str, str]]:
        """State and text of all items that are listed; fails when one is listed twice."""
        found: list[tuple[str, tuple[str, str]]] = []
        for lot in self.lots:
            raw = self.group.read(encode(ReadResults(lot, 0, 10**6)))
            page = decode_reply(raw, ResultsPage)
            if isinstance(page, ResultsPage):
                found += [(item.item_id, (item.state.value, item.text)) for item in page.results]
        assert len(dict(found)) == len(found)
        return dict(found)


@contextmanager
def played(seed: int) -> Iterator[tuple[Play, list[RunnerStandIn]]]:
    with ExitStack() as stack:
        back_ends = [
            stack.enter_context(RunnerStandIn(f"i-{number}", usual="stream")) for number in range(2)
        ]
        play = Play(seed, back_ends)
        stack.callback(play.group.stop)
        stack.callback(play.runner.stop)
        yield play, back_ends


@pytest.mark.parametrize("seed", [1, 2, 14])
def test_all_items_end_once_the_trouble_is_over(seed: int) -> None:
    random = Random(seed)
    with played(seed) as (play, back_ends):
        play.submit(12)
        play.group.troubled = True
        until_s = time.monotonic() + TROUBLE_S
        while time.monotonic() < until_s:
            time.sleep(random.uniform(0.05, 0.5))
            play.trouble()
        play.calm()
        names = set[str]().union(*play.lots.values())
        wait_until(lambda: play.listed().keys() == names, CALM_S)
        faults = Counter(
            run.headers["leverjunction-request-id"]
            for item in back_ends
            for run in item.seen
            if run.behaviour == "fault"
        )
        for name, (state, text) in play.listed().items():
            if state == "dead":
                assert faults[name] >= MAX_ATTEMPTS
            else:
                assert text == WHOLE_TEXT
