"""One part of many different prompts that crashes back ends must be stopped after a few crashes.

No two of the requests are alike; sound requests share their caller, their route and their first
part.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.proxy_support import request_headers
from tests.unit.test_crashing_requests import Cluster

from testbed.routed import RawCaller

RUN_S = 15.0
CONTACT_S = 3.0
CRASHES = 5
MOST_LATER_RUNS = 3
"""Requests with the part that may reach a back end later than ``CONTACT_S`` after ``CRASHES``."""

BAD_PAUSE_S = 0.3
SOUND_PAUSE_S = 0.04
SOUND_CALLERS = 3
FIRST_PART, BAD_PART = "aa01", "bad0"


class Answered:
    """A request that was answered, or not.

    Attributes:
        is_sound: Whether it has no part that crashes back ends.
        at_s: When it was sent, in monotonic seconds.
        status: Status of its answer, 0 for none.
        is_whole: Whether all of its answer came.
    """

    __slots__ = ("at_s", "is_sound", "is_whole", "status")

    def __init__(self, is_sound: bool, at_s: float, status: int, is_whole: bool) -> None:
        self.is_sound = is_sound
        self.at_s = at_s
        self.status = status
        self.is_whole = is_whole


class Load:
    """Sends sound requests all the time, and from ``bad_from_s`` on others with the bad part."""

    def __init__(self, cluster: Cluster, folder: str) -> None:
        self.answered: list[Answered] = []
        self._cluster = cluster
        self._folder = folder
        self._numbers = itertools.count()
        self._ending = threading.Event()

    def run(self) -> None:
        """Send for ``RUN_S``; the bad part comes a second later than the sound requests."""
        threads = [
            threading.Thread(target=self._send, args=(True, SOUND_PAUSE_S * SOUND_CALLERS, 0.0))
            for _ in range(SOUND_CALLERS)
        ]
        threads.append(threading.Thread(target=self._send, args=(False, BAD_PAUSE_S, 2.0)))
        for thread in threads:
            thread.start()
        time.sleep(RUN_S)
        self._ending.set()
        for thread in threads:
            thread.join()

    def _send(self, is_sound: bool, pause_s: float, delay_s: float) -> None:
        time.sleep(delay_s)
        while not self._ending.wait(pause_s):
            self._send_one(is_sound, next(self._numbers))

    def _send_one(self, is_sound: bool, number: int) -> None:
        gateways = self._cluster.gateways
        middle = f"c0{number % 7}" if is_sound else BAD_PART
        headers = request_headers(
            Leverjunction_Request_Id=f"r{number}",
            Leverjunction_Prompt_Prefix=f"{FIRST_PART}:100,{middle}:50,{number:x}:20",
        )
        body = b"%s %d" % (b"sound" if is_sound else b"deadly", number)
        at_s = time.monotonic()
        try:
            caller = RawCaller(gateways[number % len(gateways)].address)
            reply = caller.ask("POST", f"{self._folder}{number}", headers, body)
            caller.close()
        except OSError:
            self.answered.append(Answered(is_sound, at_s, 0, False))
            return
        self.answered.append(Answered(is_sound, at_s, reply.status, reply.complete))


def runs_of_part(cluster: Cluster) -> list[float]:
    """Return when back ends began requests with the bad part, oldest first."""
    return sorted(
        seen.began_s
        for runner in cluster.runners
        for start in runner.starts
        for seen in start.seen
        if seen.body.startswith(b"deadly") and seen.behaviour != "another"
    )


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


@pytest.mark.parametrize("folder", ["/stream/", "/stream/r/", "/once/"])
def test_a_part_of_many_prompts_crashes_no_more_than_a_few_back_ends(
    cluster: Cluster, folder: str
) -> None:
    load = Load(cluster, folder)
    load.run()
    ends = sorted(seen.began_s for runner in cluster.runners for seen in runner.ends)
    runs = runs_of_part(cluster)
    assert len(ends) >= 3, "the part crashed too few back ends"
    fifth_s = ends[:CRASHES][-1]
    later = [at_s for at_s in runs if at_s > fifth_s + CONTACT_S]
    assert len(later) <= MOST_LATER_RUNS, (len(ends), len(runs))
    sound = [item for item in load.answered if item.is_sound]
    refused = [item for item in sound if item.status == 400]
    assert not refused
    after = [item for item in sound if item.at_s > fifth_s + 2 * CONTACT_S]
    assert len(after) >= 20
    assert sum(item.is_whole and item.status == 200 for item in after) >= len(after) / 2
