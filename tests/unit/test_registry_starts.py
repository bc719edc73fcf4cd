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
from collections.abc import Iterator
from itertools import count

import msgspec
import pytest
from tests.unit.seeded_support import SeededFleet, wait_until

from leverjunction.platform.control_calls import ControlCalls
from leverjunction.registry.records import RunnerRecord, RunnerState

CONTROLS = 3
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
        known = back_end.known()
        assert known is not None, before
        assert (known.address, known.state, known.sequence) == ("b:1", RunnerState.READY, 1)


def test_each_word_concerns_its_own_start(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    back_end.beat(2_000, 1, address="b:1")
    assert back_end.beat(1_000, 99, address="a:1").startswith("200")
    assert back_end.beat(1_000, 100, state="draining").startswith("200")
    assert back_end.leave(1_000).startswith("200")
    known = back_end.known()
    assert known is not None
    assert (known.address, known.state) == ("b:1", RunnerState.READY)
    back_end = BackEnd(calls)
    back_end.leave(1_000)
    assert back_end.known() is None
    back_end.beat(1_000, 3)
    assert back_end.known() is None
    back_end.beat(2_000, 1)
    assert back_end.known() is not None
    back_end.leave(2_000)
    assert back_end.known() is None


def test_without_the_moment_of_its_start_one_that_left_stays_away(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    back_end.beat(None, 5)
    back_end.leave()
    back_end.beat(None, 6)
    assert back_end.known() is None


def test_thirty_starts_in_a_row(calls: ControlCalls) -> None:
    back_end = BackEnd(calls)
    for number in range(30):
        back_end.beat(1_000 + number, 1, address=f"a:{number + 1}")
        back_end.beat(1_000 + number, 2, address=f"a:{number + 1}")
    known = back_end.known()
    assert known is not None
    assert known.address == "a:30"
