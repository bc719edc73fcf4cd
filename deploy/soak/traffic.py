"""All that happens around a deployment while faults strike, each part in a thread of its own."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from random import Random

import urllib3
import words
from backends import VERSIONS, Backends, RunnersShape
from callers import Callers, ask
from configuring import CALL_TIMEOUT_S, Operator
from lots import LEAST_ITEMS, LotClients, LotShape
from machines import Machines
from owners import Owners
from records import Records
from stop_callers import LIMIT_MS, STREAMS_S, StopCallers
from stop_records import PlannedStop

RUNNERS = 8
MACHINES_OF_RUNNER = 1.5
"""Processes of the system for each runner, where there are many."""

CALLERS = 3
KEEPERS = 3
STREAMERS = 6
STREAM_PATIENCE_S = 6.0
SUBMITTERS = 2
SAMPLE_S = 0.5
PROBE_TIMEOUT_S = 3.0
PROBE_BYTES = 4096
POOL_CONNECTIONS = 8


class TrafficShape:
    """How much of what there is.

    Attributes:
        runners: Runners, 0 for as many as the processes need.
        shape: What the runners are.
        streamers: Callers of streams that are resumed where they broke off.
        patience_s: Time after which these give up a stream.
        stop_callers: Callers that keep their connections through planned stops.
    """

    __slots__ = ("patience_s", "runners", "shape", "stop_callers", "streamers")

    def __init__(
        self,
        runners: int = 0,
        shape: RunnersShape | None = None,
        streamers: int = STREAMERS,
        patience_s: float = STREAM_PATIENCE_S,
        stop_callers: int = 0,
    ) -> None:
        self.stop_callers = stop_callers
        self.runners = runners
        self.shape = shape or RunnersShape()
        self.streamers = streamers
        self.patience_s = patience_s


RELEASES = TrafficShape(
    runners=12,
    shape=RunnersShape(versions=VERSIONS[:1], slots=60, keeps_versions=True),
    streamers=100,
    patience_s=8.0,
)
"""One version at first, and many streams: what a soak with releases needs."""

REFUSALS = TrafficShape(runners=4)
"""Two runners of each service: a request that both refuse comes to the first one again."""

STOP_SHARES = {"0.9 s": 0.15, "7 s": 0.6, "mixed": 0.25}
"""Shares of the callers by their streams: most of the requests that come late follow long ones."""

STOPS = TrafficShape(runners=12, shape=RunnersShape(slots=16), stop_callers=48)
"""Room for long streams, and callers that keep their connections."""


class Traffic:
    """Runners, callers, clients of batch jobs and the operator.

    Attributes:
        backends: The runners.
        operator: Changes the configuration.
        lots: Clients of batch jobs.
    """

    def __init__(
        self,
        machines: Machines,
        records: Records,
        seed: int,
        shape: TrafficShape,
        lots: LotShape | None = None,
    ) -> None:
        self._shape = shape
        self._machines = machines
        self._records = records
        self._seed = seed
        self._ending = threading.Event()
        self._calm = threading.Event()
        self._threads: list[threading.Thread] = []
        http = urllib3.PoolManager(
            retries=False, timeout=CALL_TIMEOUT_S, maxsize=POOL_CONNECTIONS, num_pools=1000
        )
        self.operator = Operator(machines, records, http, self._ending, self._calm)
        if shape.stop_callers:
            self.operator.timeout_ms = LIMIT_MS
        runners = shape.runners or max(RUNNERS, round(len(machines.all) / MACHINES_OF_RUNNER))
        self.backends = Backends(runners, seed, self.operator.call, Owners(machines), shape.shape)
        slots = self.backends.slots()
        self.lots = LotClients(
            machines, records, http, slots, self._ending, self._calm, lots or LotShape()
        )
        self._callers = Callers(machines, records, self._ending, self._calm, shape.patience_s)

    def start(self) -> None:
        """Begin."""
        self.backends.start()
        works: list[Callable[[Random], None]] = [
            self.operator.work,
            self.lots.watch,
            self._sample,
            *[self.lots.submit] * SUBMITTERS,
            *[self._callers.call] * CALLERS,
            *[self._callers.keep] * KEEPERS,
            *[self._callers.stream] * self._shape.streamers,
        ]
        for streams, share in STOP_SHARES.items():
            callers = round(self._shape.stop_callers * share)
            works += [self._stop_callers(streams, self._calm).keep] * callers
        for number, work in enumerate(works):
            random = Random(f"{self._seed} {number}")
            thread = threading.Thread(target=work, args=(random,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def burst(self, random: Random, callers: int, ending: threading.Event) -> None:
        """Have more callers keep connections, until an event is set; return when they are done."""
        threads = []
        for _ in range(callers):
            work = self._stop_callers(random.choice(sorted(STREAMS_S)), ending).keep
            own = Random(random.getrandbits(48))
            threads.append(threading.Thread(target=work, args=(own,), daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def note_stop(self, stop: PlannedStop) -> None:
        """Note a planned stop that nothing else struck."""
        self._records.stops.append(stop)

    def _stop_callers(self, streams: str, ending: threading.Event) -> StopCallers:
        gateways = self._machines.of("gateway")
        return StopCallers(gateways, streams, self._records.stop_requests.append, ending)

    def calm(self) -> None:
        """Send no new work; runners go on, and the operator until all is in force."""
        self._calm.set()

    def stop(self) -> None:
        """End all but the runners."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _sample(self, _random: Random) -> None:
        """Note how much is open and under way while faults strike."""
        while not self._ending.wait(SAMPLE_S):
            if not self._calm.is_set():
                self._records.most_open = max(self._records.most_open, self.lots.open_items())
                working = self.backends.working()
                self._records.under_way.append(sum(item[0] == "l" for item in working if item))
            self.backends.look()
            self._probe()

    def _probe(self) -> None:
        """Note how long a runner takes to tell its load: the soak must not be what is slow."""
        relay = self.backends.now[0].relay
        if relay.is_harmed:
            return
        host, _, port = relay.address.rpartition(":")
        began_s = time.monotonic()
        try:
            with socket.create_connection((host, int(port)), PROBE_TIMEOUT_S) as probe:
                probe.sendall(f"GET {words.REPORT_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                probe.recv(PROBE_BYTES)
        except OSError:
            pass
        self._records.report_s.append(time.monotonic() - began_s)

    def is_served(self) -> bool:
        """Return whether every gateway serves; the newest configuration changes all the time."""
        gateways = self._machines.of("gateway")
        return bool(self._records.acknowledged) and all(
            ask(machine, "check", "/repeatable/check").status == 200 for machine in gateways
        )

    def ask_deadly(self, kind: str, body: bytes, random: Random) -> None:
        """Send one try of a request that ends the runners which begin it, to any gateway."""
        machine = random.choice(self._machines.of("gateway"))
        request_id = f"d{random.getrandbits(48):012x}"
        record = ask(machine, request_id, f"/{kind}/deadly", body)
        record.kind = kind
        self._records.answered(record)

    def ask_with_parts(self, kind: str, body: bytes, parts: str, random: Random) -> int:
        """Send a request that declares the parts of its prompt; return the status."""
        machine = random.choice(self._machines.of("gateway"))
        request_id = f"p{random.getrandbits(48):012x}"
        record = ask(machine, request_id, f"/{kind}/{request_id}", body, parts)
        record.kind = kind
        self._records.answered(record)
        return record.status

    def note_broken(self, line: str) -> None:
        """Note a broken promise that was seen while faults struck."""
        self._records.seen_broken.append(line)

    def note_strike(self, kind: str, began_s: float) -> None:
        """Note a part of a fault that has struck, with the wall time at which it began."""
        self._records.blow(kind, began_s, time.time())

    def in_force(self) -> bool:
        """Return whether every gateway serves the newest acknowledged configuration."""
        if not self._records.acknowledged:
            return False
        newest = max(version for _, version in self._records.acknowledged)
        target = f"{words.version_folder(newest)}x"
        return all(
            ask(machine, "check", target).status == 200 for machine in self._machines.of("gateway")
        )

    def accepts_again(self) -> bool:
        """Return whether one more batch job is accepted: so one always is checked."""
        random = Random(f"{self._seed} last")
        return self.lots.send_one(random, LEAST_ITEMS).accepted
