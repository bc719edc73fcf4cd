"""The operator of a soak: changes the configuration all the time and reads it back."""

from __future__ import annotations

import threading
import time
from random import Random

import urllib3
import words
from machines import CONTROL_PORT, Machines
from records import Records

CHANGE_S = 0.8
CALL_TIMEOUT_S = 1.5
FIRST_SHARES: words.Shares = {words.SERVICE: 1, words.SIDE_SERVICE: 1}


class Operator:
    """One operator; ``move`` and ``storm`` are called by any thread.

    Attributes:
        shares: Where batch jobs go from the next configuration on.
        acknowledged: Set at each change that was acknowledged.
        timeout_ms: Timeout of the routes from the next configuration on.
    """

    def __init__(
        self,
        machines: Machines,
        records: Records,
        http: urllib3.PoolManager,
        ending: threading.Event,
        calm: threading.Event,
    ) -> None:
        self._machines = machines
        self._records = records
        self._http = http
        self._ending = ending
        self._calm = calm
        self._hasty = threading.Event()
        self.acknowledged = threading.Event()
        self._hurry = 0
        self._version = 0
        self.shares = FIRST_SHARES
        self.timeout_ms = words.TIMEOUT_MS

    def move(self, shares: words.Shares) -> None:
        """Have batch jobs go elsewhere."""
        self.shares = shares
        self._hasty.set()

    def storm(self, changes: int) -> None:
        """Make so many changes one after the other without a pause."""
        self._hurry = changes
        self._hasty.set()

    def work(self, random: Random) -> None:
        """Change and read back until the end; in calm, until one is acknowledged."""
        in_force: words.Shares | None = None
        while not self._ending.is_set():
            # What wasn't acknowledged may be in force: the last change has to be.
            if not self._calm.is_set() or in_force is not self.shares:
                shares = self.shares
                in_force = shares if self._change(random, shares) else None
            self._read_back(random)
            if self._hurry > 0:
                self._hurry -= 1
                continue
            self._hasty.wait(CHANGE_S * random.random())
            self._hasty.clear()

    def call(self, method: str, path: str, body: bytes = b"") -> bytes | None:
        """Call control processes until one takes it; None if none does."""
        return self._call(Random(), method, path, body)

    def _call(self, random: Random, method: str, path: str, body: bytes) -> bytes | None:
        order = self._machines.of("control")
        random.shuffle(order)
        for machine in order:
            url = f"http://{machine.host}:{CONTROL_PORT}{path}"
            try:
                reply = self._http.request(method, url, body=body)
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status == 200:
                return reply.data
        return None

    def _change(self, random: Random, shares: words.Shares) -> bool:
        self._version += random.randint(1, 3)
        body = words.table(self._version, shares, self.timeout_ms)
        if self._call(random, "POST", words.REPLACE_PATH, body) is None:
            return False
        self._records.configured(self._version, time.monotonic())
        self.acknowledged.set()
        return True

    def _read_back(self, random: Random) -> None:
        machine = random.choice(self._machines.of("control"))
        asked_s = time.monotonic()
        try:
            url = f"http://{machine.host}:{CONTROL_PORT}{words.READ_BACK_PATH}"
            reply = self._http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            return
        if reply.status == 200:
            self._records.read_back(words.version_of(reply.data), asked_s, machine.name)
