"""A process that runs many hollow gateways; started by the scale run, reports by file.

Usage: ``python -m testbed.scale.gateway_worker SPEC.json``. Runs until SIGTERM.
"""

from __future__ import annotations

import random as random_module
import signal
import sys
import threading
import time
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from leverjunction.clock import SystemClock
from leverjunction.errors import Failure
from leverjunction.wire.control_client import ControlClient
from testbed.orphans import end_with_starter
from testbed.scale.counting import CountingRpcClient, WireCount, WireCounter
from testbed.scale.hollow_gateway import GatewayProfile, HollowGateway, InForce
from testbed.scale.lease_traffic import LeaseCount, LeaseTraffic

REPORT_INTERVAL_S = 1.0
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class GatewayWorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What one worker process runs."""

    profiles: list[GatewayProfile]
    cluster_key: bytes
    groups: list[str]
    items_per_s: float
    lease_items: int
    result_bytes: int
    digest_change_ratio: float
    exchange_interval_s: float
    start_spread_s: float
    seed: int
    report_path: str


class GatewayWorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Counts since the worker started, as of ``monotonic_s``.

    Attributes:
        monotonic_s: Machine-wide monotonic time of the report.
        exchanges: Exchanges answered.
        failed_exchanges: Exchanges that failed.
        full_views: Replies that carried a full view.
        digests_received: Load digests in replies.
        settings_versions: Settings version in force, by gateway.
        owned: Runners owned, all gateways together.
        wire: Bytes of all calls.
        leases: Batch traffic.
        in_force: When each settings version came into force.
        latency: Exchange latency in microseconds, an encoded HdrHistogram.
        failure_reasons: Count by reason, shortened.
    """

    monotonic_s: float
    exchanges: int
    failed_exchanges: int
    full_views: int
    digests_received: int
    settings_versions: dict[str, int]
    owned: int
    wire: WireCount
    leases: LeaseCount
    in_force: list[InForce]
    latency: str
    failure_reasons: dict[str, int]


class GatewayWorker:
    """Threads and counts of one worker process."""

    def __init__(self, spec: GatewayWorkerSpec) -> None:
        self._spec = spec
        self._stop = threading.Event()
        self._counter = WireCounter()
        self._lock = threading.Lock()
        self._latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._exchanges = 0
        self._failed = 0
        self._full_views = 0
        self._digests_received = 0
        self._failure_reasons: dict[str, int] = {}
        self._gateways: list[HollowGateway] = []
        self._traffic: list[LeaseTraffic] = []

    def run(self) -> None:
        """Run until :meth:`stop`; writes a report every second and a last one."""
        threads = [
            thread
            for index, profile in enumerate(self._spec.profiles)
            for thread in self._threads_of(index, profile)
        ]
        for thread in threads:
            thread.start()
        while not self._stop.wait(REPORT_INTERVAL_S):
            self._write_report()
        for thread in threads:
            thread.join(timeout=10.0)
        self._write_report()

    def stop(self) -> None:
        """Ask all threads to end."""
        self._stop.set()

    def forget_latencies(self) -> None:
        """Start the latency record anew; the measured window begins."""
        self._latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def _threads_of(self, index: int, profile: GatewayProfile) -> list[threading.Thread]:
        spec = self._spec
        seed = spec.seed * 1_000_003 + index
        clock = SystemClock()
        rpc = CountingRpcClient(spec.cluster_key, clock.wall_ms(), self._counter)
        control = ControlClient(rpc, profile.hubs, random=random_module.Random(seed))
        gateway = HollowGateway(
            profile, control, clock, random_module.Random(seed + 1), spec.digest_change_ratio
        )
        self._gateways.append(gateway)
        spread_s = max(spec.exchange_interval_s, spec.start_spread_s)
        offset_s = random_module.Random(seed + 2).random() * spread_s
        threads = [
            threading.Thread(target=self._exchange_loop, args=(gateway, offset_s), daemon=True)
        ]
        if spec.items_per_s > 0:
            traffic = LeaseTraffic(
                gateway,
                control,
                spec.groups,
                spec.items_per_s,
                spec.lease_items,
                spec.result_bytes,
                random_module.Random(seed + 3),
            )
            self._traffic.append(traffic)
            threads.append(threading.Thread(target=traffic.run, args=(self._stop,), daemon=True))
        return threads

    def _exchange_loop(self, gateway: HollowGateway, offset_s: float) -> None:
        due_s = time.monotonic() + offset_s
        while not self._stop.wait(max(0.0, due_s - time.monotonic())):
            started_s = time.monotonic()
            reply = gateway.exchange_once()
            self._note(reply, time.monotonic() - started_s)
            due_s = max(due_s + self._spec.exchange_interval_s, time.monotonic())

    def _note(self, reply: object, took_s: float) -> None:
        with self._lock:
            if isinstance(reply, Failure):
                self._failed += 1
                reason = f"{reply.step}/{reply.kind}: {reply.reason[:60]}"
                self._failure_reasons[reason] = self._failure_reasons.get(reason, 0) + 1
                return
            self._exchanges += 1
            self._full_views += int(getattr(reply, "full_view", False))
            self._digests_received += len(getattr(reply, "digests", ()))
            self._latency.record_value(max(1, int(took_s * 1e6)))

    def _write_report(self) -> None:
        path = Path(self._spec.report_path)
        partial = path.with_suffix(".partial")
        partial.write_bytes(msgspec.json.encode(self._report()))
        partial.replace(path)

    def _report(self) -> GatewayWorkerReport:
        leases = LeaseCount()
        for traffic in self._traffic:
            leases = leases.plus(traffic.count)
        with self._lock:
            return GatewayWorkerReport(
                monotonic_s=time.monotonic(),
                exchanges=self._exchanges,
                failed_exchanges=self._failed,
                full_views=self._full_views,
                digests_received=self._digests_received,
                settings_versions={
                    gateway.profile.gateway_id: gateway.settings_version
                    for gateway in self._gateways
                },
                owned=sum(len(gateway.owned) for gateway in self._gateways),
                wire=self._counter.read(),
                leases=leases,
                in_force=[record for gateway in self._gateways for record in gateway.in_force],
                latency=self._latency.encode().decode("ascii"),
                failure_reasons=dict(self._failure_reasons),
            )


def main() -> int:
    """Run the worker that the spec file describes."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=GatewayWorkerSpec)
    worker = GatewayWorker(spec)
    signal.signal(signal.SIGTERM, lambda *_: worker.stop())
    signal.signal(signal.SIGINT, lambda *_: worker.stop())
    end_with_starter(worker.stop)
    signal.signal(signal.SIGUSR1, lambda *_: worker.forget_latencies())
    worker.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
