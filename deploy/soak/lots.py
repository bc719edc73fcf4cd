"""Clients of batch jobs of a soak: they submit, read, and now and then end one early."""

from __future__ import annotations

import json
import threading
import time
from random import Random

import urllib3
import words
from machines import CALLERS_PORT, Machine, Machines
from records import LotRecord, Records

SUBMIT_PAUSE_S = 0.8
READ_PAUSE_S = 0.4
LOT_TRIES = 60
END_TRIES = 8
LEAST_ITEMS = 10
MOST_ITEMS = 40
LEAST_WORK_MS = 1000
MOST_WORK_MS = 4000
OPEN_ITEMS_OF_SLOT = 1.8
"""Clients send no new batch job while there are so many open items for each slot: what is open when
calm comes can be done in half of the time given to it.
"""

DEADLY_ITEM_OF = 10
"""One of so many items of a job with deadly ones is deadly."""

LEAST_ITEMS_BESIDE_DEADLY = 20
MOST_ITEMS_BESIDE_DEADLY = 60
BAD_SHARE = 0.01
"""Items that no runner can do, of all."""

ENDED_SHARE = 0.06
"""Batch jobs that their clients end early, of all."""

READ_AT_ONCE = 6


class LotShape:
    """What batch jobs are like.

    Attributes:
        least_items: Fewest items of a job.
        most_items: Most items of a job.
        least_work_ms: Shortest run of an item.
        most_work_ms: Longest run of an item.
        item_bytes: Least size of the body of an item.
        burst: Jobs that a client sends at once.
        burst_of: One sending in so many is such a burst.
        open_items_of_slot: Clients send no new job while there are so many open items for each
            slot.
    """

    __slots__ = (
        "burst",
        "burst_of",
        "item_bytes",
        "least_items",
        "least_work_ms",
        "most_items",
        "most_work_ms",
        "open_items_of_slot",
    )

    def __init__(
        self,
        items: tuple[int, int] = (LEAST_ITEMS, MOST_ITEMS),
        works_ms: tuple[int, int] = (LEAST_WORK_MS, MOST_WORK_MS),
        item_bytes: int = 0,
        burst: int = 1,
        burst_of: int = 1,
        open_items_of_slot: float = OPEN_ITEMS_OF_SLOT,
    ) -> None:
        self.least_items, self.most_items = items
        self.least_work_ms, self.most_work_ms = works_ms
        self.item_bytes = item_bytes
        self.burst = burst
        self.burst_of = burst_of
        self.open_items_of_slot = open_items_of_slot


SMALL = "small"
SHAPES = {
    SMALL: LotShape(),
    "large": LotShape((16, 16), (300, 1500), 78_000, 6, 3, 6.0),
}
"""Large ones: what is open when calm comes is done in a third of the time given to it."""


class LotClients:
    """What all clients of batch jobs share.

    Attributes:
        accepted: Set at each 202.
        ebb_items: From so many open items on no new batch job is sent, 0 for the usual number: few
            runs are under way then, and many connections to runners are idle.
    """

    __slots__ = (
        "_calm",
        "_ending",
        "_http",
        "_machines",
        "_records",
        "_shape",
        "_slots",
        "accepted",
        "ebb_items",
    )

    def __init__(
        self,
        machines: Machines,
        records: Records,
        http: urllib3.PoolManager,
        slots: int,
        ending: threading.Event,
        calm: threading.Event,
        shape: LotShape,
    ) -> None:
        self._shape = shape
        self._machines = machines
        self._records = records
        self._http = http
        self._slots = slots
        self._ending = ending
        self._calm = calm
        self.accepted = threading.Event()
        self.ebb_items = 0

    def submit(self, random: Random) -> None:
        """Send batch jobs until calm comes."""
        while not self._ending.wait(SUBMIT_PAUSE_S * random.random()):
            shape = self._shape
            most = self.ebb_items or shape.open_items_of_slot * self._slots
            if self._calm.is_set() or self.open_items() >= most:
                continue
            if shape.burst == 1 or self.ebb_items or random.randrange(shape.burst_of):
                self.send_one(random)
            else:
                self._send_burst(random)

    def watch(self, random: Random) -> None:
        """Read batch jobs that are open, and end some."""
        while not self._ending.wait(READ_PAUSE_S * random.random()):
            if self._calm.is_set():
                continue
            opened = [lot for lot in self.all() if lot.owed and lot.open_count]
            for lot in random.sample(opened, min(READ_AT_ONCE, len(opened))):
                self.read(lot, random.choice(self._machines.of("gateway")), len(lot.listed))
            now_s = time.monotonic()
            endable = [lot for lot in opened if not lot.is_watched(now_s)]
            if endable and random.random() < ENDED_SHARE:
                self._end(random.choice(endable), random)

    def all(self) -> list[LotRecord]:
        """Return all batch jobs so far."""
        with self._records.lock:
            return list(self._records.lots)

    def open_items(self) -> int:
        """Return how many items are or may be open, as far as is known."""
        return sum(lot.open_count for lot in self.all() if lot.owed or lot.unsure)

    def _send_burst(self, random: Random) -> None:
        randoms = [Random(random.getrandbits(48)) for _ in range(self._shape.burst)]
        senders = [
            threading.Thread(target=self.send_one, args=(one,), daemon=True) for one in randoms
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def send_one(self, random: Random, most_items: int = 0) -> LotRecord:
        """Submit one batch job, several times if need be; of the shape's size if none is given."""
        shape = self._shape
        lot_id = f"l{random.getrandbits(48):012x}"
        most = most_items or shape.most_items
        items = random.randint(min(shape.least_items, most), most)
        works_ms = [random.randint(shape.least_work_ms, shape.most_work_ms) for _ in range(items)]
        bad = frozenset(number for number in range(items) if random.random() < BAD_SHARE)
        bad_ids = frozenset(words.item_id(lot_id, number) for number in bad)
        lot = LotRecord(lot_id, items, bad_ids)
        with self._records.lock:
            self._records.lots.append(lot)
        body = words.lot(lot_id, works_ms, bad, item_bytes=shape.item_bytes)
        self._try(lot, body, random)
        return lot

    def send_deadly(self, random: Random) -> LotRecord:
        """Submit one batch job of which one in ten items ends each runner that begins it."""
        lot_id = f"l{random.getrandbits(48):012x}"
        items = random.randint(LEAST_ITEMS_BESIDE_DEADLY, MOST_ITEMS_BESIDE_DEADLY)
        works_ms = [random.randint(LEAST_WORK_MS, MOST_WORK_MS) for _ in range(items)]
        deadly = frozenset(random.sample(range(items), items // DEADLY_ITEM_OF))
        deadly_ids = frozenset(words.item_id(lot_id, number) for number in deadly)
        lot = LotRecord(lot_id, items, deadly=deadly_ids)
        with self._records.lock:
            self._records.lots.append(lot)
        self._try(lot, words.lot(lot_id, works_ms, deadly=deadly), random)
        return lot

    def read(self, lot: LotRecord, machine: Machine, first: int) -> int | None:
        """Read a batch job at a gateway; return how many results came, None if none could."""
        url = f"http://{machine.host}:{CALLERS_PORT}{words.LOTS_PATH}{lot.lot_id}"
        try:
            reply = self._http.request(
                "GET", f"{url}?{words.AFTER_REVISION}={first}", headers={"Host": words.HOST}
            )
        except urllib3.exceptions.HTTPError:
            return None
        if reply.status != 200:
            return None
        page = json.loads(reply.data)["Results"]
        with self._records.lock:
            lot.read(first, [(item["Id"], item["State"], item["Text"]) for item in page])
        return len(page)

    def _try(self, lot: LotRecord, body: bytes, random: Random) -> None:
        headers = {"Host": words.HOST, words.REQUEST_ID: lot.lot_id}
        for _ in range(LOT_TRIES):
            machine = random.choice(self._machines.of("gateway"))
            url = f"http://{machine.host}:{CALLERS_PORT}{words.BATCH_FOLDER}{lot.lot_id}"
            try:
                status = self._http.request("POST", url, body=body, headers=headers).status
            except urllib3.exceptions.HTTPError:
                status = 0
            lot.statuses.append(status)
            if status == 202:
                lot.accept()
                self.accepted.set()
                return
            if self._ending.wait(READ_PAUSE_S):
                return

    def _end(self, lot: LotRecord, random: Random) -> None:
        lot.ending = True
        for _ in range(END_TRIES):
            machine = random.choice(self._machines.of("gateway"))
            url = f"http://{machine.host}:{CALLERS_PORT}{words.LOTS_PATH}{lot.lot_id}"
            try:
                reply = self._http.request("DELETE", url, headers={"Host": words.HOST})
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status == 200:
                lot.ended_s = time.monotonic()
                return
