"""Tests of a back end that restarts under the same id: it is a new start without any history.

The failure: a back end crashed and restarted under the same id, and its sequence numbers began
anew. Its messages were taken for delayed ones of the start before, which had a higher sequence
number or had left. The back end got no work until its sequence number exceeded the old one, or
never. A message with number 1 was refused after one with 50, after a leave, and after an end.

Each message therefore contains the start time. A later start replaces everything known of an
earlier one, and messages of an earlier start change nothing.
"""

from __future__ import annotations

import io
import time
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

import msgspec
import pytest
from tests.unit.seeded_support import SeededFleet, wait_until

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.platform.control_calls import ControlCalls
from leverjunction.proxy.balancer import Balancer
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.registry.start_liveness import MIN_ALIVE_S, StartLiveness

CONTROLS = 3
SOON_S = 1.0
_IDS = count(1)


@pytest.fixture(scope="module")
def calls(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ControlCalls]:
    fleet = SeededFleet(tmp_path_factory.mktemp("starts"))
    for number in range(1, CONTROLS + 1):
        fleet.start_control(number)
    wait_until(lambda: fleet.leader() is not None)
    leader = fleet.leader()
    assert leader is not None
    yield ControlCalls(leader)
    fleet.stop()


def _comes_true_soon(condition: Callable[[], bool]) -> bool:
    until_s = time.monotonic() + SOON_S
    while not condition():
        if time.monotonic() > until_s:
            return False
        time.sleep(0.01)
    return True


class BackEnd:
    """Sends the messages of a back end through the platform's HTTP calls."""

    def __init__(self, calls: ControlCalls) -> None:
        self._calls = calls
        self.runner_id = f"i-{next(_IDS)}"

    def beat(self, born: object, sequence: int, address: str = "a:1", state: str = "ready") -> str:
        payload = {
            "Service": "s",
            "Address": address,
            "Zone": "z",
            "Version": "v1",
            "Slots": 4,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": sequence,
        }
        if born is not None:
            payload["born"] = born
        return self._post("/api/Instances.Heartbeat/", payload)

    def leave(self, born: object = None) -> str:
        return self._post("/api/Instances.Leave/", {} if born is None else {"born": born})

    def known(self) -> RunnerRecord | None:
        runners = self._calls.node.hub.view().runners
        return next((item for item in runners if item.runner_id == self.runner_id), None)

    def is_at(self, address: str, state: RunnerState = RunnerState.READY) -> bool:
        """Return whether it is registered there; waits, as the view is updated after the reply."""
        return _comes_true_soon(lambda: self._is(address, state))

    def is_gone(self) -> bool:
        return _comes_true_soon(lambda: self.known() is None)

    def _is(self, address: str, state: RunnerState) -> bool:
        known = self.known()
        return known is not None and (known.address, known.state) == (address, state)

    def _post(self, folder: str, payload: object) -> str:
        body = msgspec.json.encode(payload)
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": folder + self.runner_id,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        statuses: list[str] = []
        self._calls(environ, lambda status, _headers: statuses.append(status))
        return statuses[0]


def test_a_later_start_replaces_an_earlier_one(calls: ControlCalls) -> None:
    for before in ("ready", "draining", "left"):
        back_end = BackEnd(calls)
        back_end.beat(1_000, 50, state="ready" if before == "left" else before)
        if before == "left":
            back_end.leave(1_000)
        assert back_end.beat(2_000, 1, address="b:1").startswith("200")
        assert back_end.is_at("b:1"), before
        known = back_end.known()
        assert known is not None
        assert known.sequence == 1


def test_a_leader_accepts_messages_while_its_state_is_stale(
    calls: ControlCalls, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against back ends that cannot register right after the group is founded.

    The failure: the new leader itself told them to use another process.
    """
    leader = BackEnd(calls)
    stale = Failure(
        kind=FailureKind.STALE,
        reason="no contact yet",
        step=Step.EXCHANGING,
        execution=Execution.NOT_RUN,
    )
    monkeypatch.setattr(RegistryHub, "stale", lambda _hub: stale)
    assert leader.beat(1_000, 1).startswith("200")
    monkeypatch.setattr(RegistryNode, "leads", lambda _node: False)
    assert leader.beat(1_000, 2).startswith("503")


def test_each_message_applies_to_its_own_start(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    back_end.beat(2_000, 1, address="b:1")
    assert back_end.is_at("b:1")
    assert back_end.beat(1_000, 99, address="a:1").startswith("200")
    assert back_end.beat(1_000, 100, state="draining").startswith("200")
    assert back_end.leave(1_000).startswith("200")
    time.sleep(0.2)
    assert back_end.is_at("b:1")
    back_end = BackEnd(calls)
    back_end.leave(1_000)
    assert back_end.is_gone()
    back_end.beat(1_000, 3)
    time.sleep(0.2)
    assert back_end.is_gone()
    back_end.beat(2_000, 1)
    assert back_end.is_at("a:1")
    back_end.leave(2_000)
    assert back_end.is_gone()


def test_without_a_start_time_a_back_end_that_left_stays_gone(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    back_end.beat(None, 5)
    back_end.leave()
    back_end.beat(None, 6)
    time.sleep(0.2)
    assert back_end.is_gone()


def test_thirty_starts_in_a_row(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    for number in range(30):
        back_end.beat(1_000 + number, 1, address=f"a:{number + 1}")
        back_end.beat(1_000 + number, 2, address=f"a:{number + 1}")
    assert back_end.is_at("a:30")


def test_a_start_with_an_earlier_time_that_keeps_sending_is_accepted() -> None:
    """Covers a machine whose clock was set back between two starts of its back end."""
    starts = StartLiveness()
    assert not starts.is_alive("i-1@5", 1, 0.0)
    assert not starts.is_alive("i-1@5", 9, MIN_ALIVE_S - 0.1)
    # A delayed message with a lower number does not count, however late it arrives.
    assert not starts.is_alive("i-1@5", 2, MIN_ALIVE_S + 60)
    assert starts.is_alive("i-1@5", 10, MIN_ALIVE_S)


def test_a_new_start_discards_what_the_balancer_knew_of_the_earlier_one() -> None:
    balancer = Balancer("z", Random(1))
    first = RunnerRecord(
        runner_id="i-1", service="s", address="a:1", zone="z", slots=4, born_ms=1_000
    )
    balancer.replace([first])
    runner = balancer.available("s")[0]
    for _ in range(5):
        balancer.failed(runner, 10.0)
    balancer.set_other_loads({first.start: 4}, 10.0)
    balancer.replace([msgspec.structs.replace(first, sequence=9)])
    assert balancer.available("s")[0] is runner
    second = msgspec.structs.replace(first, born_ms=2_000)
    balancer.replace([second])
    [fresh] = balancer.available("s")
    assert (fresh.suspicion(10.0), fresh.other_requests, fresh.ejected_until_s) == (0.0, 0.0, 0.0)
    # Loads of the old start, reported by a process that does not know the new one, do not count.
    balancer.set_other_loads({first.start: 4}, 11.0)
    assert fresh.other_requests == 0.0
