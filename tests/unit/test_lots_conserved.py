"""After random faults of the group, its leadership and the back ends, all open items end in time.

Guards against items that stay open for good while a store leads and back ends are idle, because an
item's next step depends on one event that is lost. Faults are therefore random: proposals time out
although they are committed, or are lost, refused or late; reads fail; leadership is lost and
regained; back ends break off responses, fail and leave. When the faults end, every item must end.
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
from tests.unit.test_lots_outbox import status_with_role

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
FAULTS_S = 5.0
RECOVERY_TIMEOUT_S = 15.0
"""Generous, for a loaded machine: 70 runs of this test recovered in 0.2 to 4.4 s."""

BEHAVIOURS = ("stream cut in an event", "reset", "no answer", "not run", "fault", "fault", "stream")
DELAYS_S = (0.0, 0.0, 0.01, 0.3, 1.0, 1.7)
FULL_TEXT = "\n".join(f"event {number}" for number in range(1, 6))


class FaultyGroup:
    """A group of one replica with a log whose commands are applied in order, some with a delay.

    Attributes:
        faulty: Whether calls fail at random.
        role: Role that the replica reports.
        stalled_until_s: Monotonic time before which no command is applied.
        runner: The runner that is notified of changes.
    """

    def __init__(self, random: Random) -> None:
        self.faulty = False
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
        self._log_changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._apply_all, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self._thread.join()

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        if not self.faulty:
            return self._wait(self.append(command), timeout_s)
        draw = self._random.random()
        if self.role != "leader" or draw < 0.1:
            return _injected_failure(FailureKind.NOT_LEADER, Execution.NOT_RUN)
        if draw < 0.25:
            if draw > 0.15:
                self.append(command, self._random.uniform(0, 1))
            return _injected_failure(FailureKind.NO_QUORUM, Execution.UNKNOWN)
        return self._wait(self.append(command, self._random.choice(DELAYS_S)), timeout_s)

    def append(self, command: bytes, delay_s: float = 0.0) -> list[bytes]:
        """Append a command to the log; return a list that receives its reply."""
        replies: list[bytes] = []
        with self._log_changed:
            self._log.append((time.monotonic() + delay_s, command, replies))
            self._log_changed.notify_all()
        return replies

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        return self.query_local(query)

    def query_local(self, query: bytes) -> bytes:
        if self.faulty and self._random.random() < 0.08:
            return encode_reply(_injected_failure(FailureKind.INTERNAL, Execution.NOT_RUN))
        return self.read_state(query)

    def read_state(self, query: bytes) -> bytes:
        """Run a query without injected faults."""
        with self._lock:
            return self._machine.query(self._connection, query)

    def status(self) -> GroupStatus:
        return status_with_role(self.role)

    def _notify(self) -> None:
        if self.runner is not None and self._machine.open_items_changed:
            self.runner.changed()
            self._machine.open_items_changed = False

    def _wait(self, replies: list[bytes], timeout_s: float) -> bytes | Failure:
        with self._log_changed:
            if self._log_changed.wait_for(lambda: replies, timeout_s):
                return replies[0]
        return _injected_failure(FailureKind.TIMEOUT, Execution.UNKNOWN)

    def _apply_all(self) -> None:
        while not self._stopped:
            with self._log_changed:
                if not self._log_changed.wait_for(lambda: self._log, 0.1):
                    continue
                due_s, command, replies = self._log[0]
                pause_s = max(due_s, self.stalled_until_s) - time.monotonic()
                if pause_s > 0:
                    self._log_changed.wait(min(pause_s, 0.05))
                    continue
                self._log.popleft()
            with self._lock:
                self._index += 1
                context = ApplyContext(index=self._index, term=1, wall_ms=SystemClock().wall_ms())
                reply = self._machine.apply(self._connection, context, command)
                self._notify()
            with self._log_changed:
                replies.append(reply)
                self._log_changed.notify_all()


def _injected_failure(kind: FailureKind, execution: Execution) -> Failure:
    return Failure(kind=kind, reason="injected fault", step=Step.PROPOSING, execution=execution)


class StoreUnderFaults:
    """A runner at two back ends, with a group that can fail.

    Attributes:
        group: The group.
        runner: The runner.
        lots: Item ids of each submitted lot.
    """

    def __init__(self, seed: int, back_ends: list[RunnerStandIn]) -> None:
        self._random = Random(seed)
        self.group = FaultyGroup(Random(seed + 1))
        self._back_ends = back_ends
        self.runner = LotsRunner(
            self.group, "z", PlatformDialect(), SystemClock(), Random(seed + 2)
        )
        self.group.runner = self.runner
        self._table = make_table(make_route(RouteClass.BATCH, max_attempts=MAX_ATTEMPTS))
        self._revision = 0
        self.lots: dict[str, set[str]] = {}
        self.set_back_ends(back_ends)
        self.runner.start()

    def set_back_ends(self, back_ends: list[RunnerStandIn]) -> None:
        """Give the runner a registry snapshot with these back ends."""
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
        self.group.append(encode_command(command))

    def inject_fault(self) -> None:
        """Cause one random fault, or submit a new lot."""
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
            self.set_back_ends(self._random.choice((self._back_ends, self._back_ends[:1])))
        else:
            for item in self._back_ends:
                item.then(*self._random.choices(BEHAVIOURS, k=4))

    def end_faults(self) -> None:
        """End all faults."""
        self.group.faulty = False
        self.group.stalled_until_s = 0.0
        self.set_back_ends(self._back_ends)

    def results(self) -> dict[str, tuple[str, str]]:
        """Return state and text of all items with a result; assert that none has two results."""
        pairs: list[tuple[str, tuple[str, str]]] = []
        for lot in self.lots:
            raw = self.group.read_state(encode(ReadResults(lot, 0, 10**6)))
            page = decode_reply(raw, ResultsPage)
            if isinstance(page, ResultsPage):
                pairs += [(item.item_id, (item.state.value, item.text)) for item in page.results]
        assert len(dict(pairs)) == len(pairs)
        return dict(pairs)


@contextmanager
def running_store(seed: int) -> Iterator[tuple[StoreUnderFaults, list[RunnerStandIn]]]:
    with ExitStack() as stack:
        back_ends = [
            stack.enter_context(RunnerStandIn(f"i-{number}", usual="stream")) for number in range(2)
        ]
        store = StoreUnderFaults(seed, back_ends)
        stack.callback(store.group.stop)
        stack.callback(store.runner.stop)
        yield store, back_ends


@pytest.mark.parametrize("seed", [1, 2, 14])
def test_all_items_end_after_the_faults(seed: int) -> None:
    random = Random(seed)
    with running_store(seed) as (store, back_ends):
        store.submit(12)
        store.group.faulty = True
        until_s = time.monotonic() + FAULTS_S
        while time.monotonic() < until_s:
            time.sleep(random.uniform(0.05, 0.5))
            store.inject_fault()
        store.end_faults()
        names = set[str]().union(*store.lots.values())
        wait_until(lambda: store.results().keys() == names, RECOVERY_TIMEOUT_S)
        faults = Counter(
            run.headers["leverjunction-request-id"]
            for item in back_ends
            for run in item.seen
            if run.behaviour == "fault"
        )
        for name, (state, text) in store.results().items():
            if state == "dead":
                assert faults[name] >= MAX_ATTEMPTS
            else:
                assert text == FULL_TEXT
