"""A back end that starts again under its id is another start: it is used, and knows nothing.

A back end crashed and was started again under the id that it had, with its counts from the
beginning. Its words were taken for late ones of the start before, whose count was higher, or which
had left: it got no work until its own count had passed the old one, or never. A word with count 1
after one with 50, after a farewell, after an end: refused each time.

Mended: each word names the moment of the start; a later start replaces all that is known of the
earlier one, and words of an earlier one change nothing.
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

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.platform.control_calls import ControlCalls
from leverjunction.proxy.balancer import Balancer
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.registry.start_liveness import ALIVE_S, StartLiveness

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


def _soon(condition: Callable[[], bool]) -> bool:
    until_s = time.monotonic() + SOON_S
    while not condition():
        if time.monotonic() > until_s:
            return False
        time.sleep(0.01)
    return True


class BackEnd:
    """Says what a back end says, through the platform's calls."""

    def __init__(self, calls: ControlCalls) -> None:
        self._calls = calls
        self.runner_id = f"i-{next(_IDS)}"

    def beat(self, born: object, sequence: int, address: str = "a:1", state: str = "ready") -> str:
        form = {
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
            form["born"] = born
        return self._post("/api/Instances.Heartbeat/", form)

    def leave(self, born: object = None) -> str:
        return self._post("/api/Instances.Leave/", {} if born is None else {"born": born})

    def known(self) -> RunnerRecord | None:
        runners = self._calls.node.hub.view().runners
        return next((item for item in runners if item.runner_id == self.runner_id), None)

    def is_at(self, address: str, state: RunnerState = RunnerState.READY) -> bool:
        """Return whether it is known there, waiting a moment: the view follows the answer."""
        return _soon(lambda: self._is(address, state))

    def is_gone(self) -> bool:
        return _soon(lambda: self.known() is None)

    def _is(self, address: str, state: RunnerState) -> bool:
        known = self.known()
        return known is not None and (known.address, known.state) == (address, state)

    def _post(self, folder: str, form: object) -> str:
        body = msgspec.json.encode(form)
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": folder + self.runner_id,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        told: list[str] = []
        self._calls(environ, lambda status, _headers: told.append(status))
        return told[0]


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


def test_a_leader_takes_messages_before_it_knows_what_is_committed(
    calls: ControlCalls, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Right after a founding, back ends were told to ask another process; it is the leader."""
    leader = BackEnd(calls)
    stale = Failure(kind=FailureKind.STALE, reason="no contact yet", step=Step.EXCHANGING)
    monkeypatch.setattr(RegistryHub, "stale", lambda _hub: stale)
    assert leader.beat(1_000, 1).startswith("200")
    monkeypatch.setattr(RegistryNode, "leads", lambda _node: False)
    assert leader.beat(1_000, 2).startswith("503")


def test_each_word_concerns_its_own_start(calls: ControlCalls) -> None:
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


def test_without_the_moment_of_its_start_one_that_left_stays_away(calls: ControlCalls) -> None:
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


def test_a_start_that_seems_earlier_but_goes_on_is_taken() -> None:
    """A machine's clock was set back between two starts of its back end."""
    starts = StartLiveness()
    assert not starts.is_alive("i-1@5", 1, 0.0)
    assert not starts.is_alive("i-1@5", 9, ALIVE_S - 0.1)
    # An old word that comes late does not count, however late it comes.
    assert not starts.is_alive("i-1@5", 2, ALIVE_S + 60)
    assert starts.is_alive("i-1@5", 10, ALIVE_S)


def test_what_was_known_of_an_earlier_start_dies_with_it() -> None:
    balancer = Balancer("z", Random(1))
    first = RunnerRecord(
        runner_id="i-1", service="s", address="a:1", zone="z", slots=4, born_ms=1_000
    )
    balancer.replace([first])
    seat = balancer.available("s")[0]
    for _ in range(5):
        balancer.failed(seat, 10.0)
    balancer.set_other_loads({first.start: 4}, 10.0)
    balancer.replace([msgspec.structs.replace(first, sequence=9)])
    assert balancer.available("s")[0] is seat
    second = msgspec.structs.replace(first, born_ms=2_000)
    balancer.replace([second])
    [fresh] = balancer.available("s")
    assert (fresh.suspicion(10.0), fresh.other_requests, fresh.ejected_until_s) == (0.0, 0.0, 0.0)
    # What a process that has not heard of the new start tells of the old one is not taken for it.
    balancer.set_other_loads({first.start: 4}, 11.0)
    assert fresh.other_requests == 0.0
