"""Hands that strike at the same time, each from a list of kinds of its own."""

from __future__ import annotations

import threading
import time
from random import Random

from faults import FAULTS, REFUSALS, RELEASES, STOPS, Disks, Scene
from machines import Machines
from records import Records
from traffic import Traffic

HANDS: dict[str, tuple[int, float, float]] = {
    "few machines": (2, 0.5, 6.0),
    "all machines": (1, 4.0, 16.0),
    "stores": (1, 1.0, 6.0),
    "runners": (1, 0.0, 3.0),
    "configuration": (1, 1.0, 6.0),
    "starts": (1, 1.0, 6.0),
    "deadly requests": (1, 2.0, 8.0),
    "bad items": (1, 2.0, 16.0),
    "deadly part": (1, 0.2, 0.6),
    "uneven runners": (1, 0.5, 4.0),
    REFUSALS: (1, 0.2, 1.0),
    RELEASES: (2, 0.5, 3.0),
    STOPS: (1, 0.5, 2.0),
}
"""How many hands strike from a list, and the shortest and longest pause of each between two blows,
in seconds.
"""

PACES = (1.0, 2.0, 4.0)
"""The seed draws by how much all pauses are longer: in some soaks hardly anything comes to work, in
others hundreds of items are under way when something strikes.
"""


class Hands:
    """All hands of a soak.

    Args:
        machines: What is struck.
        traffic: What is struck, too.
        records: Where each blow is noted.
        seed: Seed of kinds, targets and times.
        kinds: Kinds of faults to choose from.
    """

    def __init__(
        self, machines: Machines, traffic: Traffic, records: Records, seed: int, kinds: list[str]
    ) -> None:
        self._records = records
        self._ending = threading.Event()
        self._threads: list[threading.Thread] = []
        disks = Disks(machines)
        drawn = Random(f"{seed} pace").choice(PACES)
        for hand, (count, shortest_s, longest_s) in HANDS.items():
            own = [kind for kind in kinds if FAULTS[kind].hand == hand]
            pace = 1.0 if hand in (REFUSALS, RELEASES, STOPS) else drawn
            for number in range(count if own else 0):
                random = Random(f"{seed} {hand} {number}")
                scene = Scene(machines, traffic, random, disks)
                thread = threading.Thread(
                    target=self._strike,
                    args=(scene, own, shortest_s * pace, longest_s * pace),
                    daemon=True,
                )
                self._threads.append(thread)
        self.scene = Scene(machines, traffic, Random(f"{seed} closing"), disks)

    def start(self) -> None:
        """Begin to strike."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Strike no more; what was begun is ended."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _strike(self, scene: Scene, kinds: list[str], shortest_s: float, longest_s: float) -> None:
        while not self._ending.wait(scene.random.uniform(shortest_s, longest_s)):
            kind = scene.random.choice(kinds)
            began_s = time.time()
            FAULTS[kind].strike(scene)
            self._records.blow(kind, began_s, time.time())
