"""Bench of the gateway's stream relay: added latency and processor time a token.

Run with ``python -m testbed.load.relay_bench``. A stub engine, a gateway and the callers are
processes of their own; the same callers first read the stub directly, then through the gateway.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import socket
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path

import fire
import msgspec
import numpy
import psutil
from rich.console import Console
from rich.table import Table

from leverjunction.config.common import ListenConfig
from leverjunction.config.gateway import GatewayConfig
from leverjunction.gateway.runtime import GatewayRuntime
from testbed.load.relay_callers import Callers, Readings
from testbed.load.relay_stub import MODEL, REGION, ZONE, StubEngine, StubHub
from testbed.load.relay_variants import RelayVariant, use_variant

API_KEY = "bench-key"
CLUSTER_KEY = b"bench-cluster-key"
START_TIMEOUT_S = 20.0
SETTLE_S = 1.0
US_PER_S = 1_000_000
DEFAULT_LOADS = {50: 0.06, 300: 0.06, 800: 0.08}


class RelayFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one number of streams.

    Attributes:
        streams: Streams open at once.
        tokens_per_s: Tokens that came through the gateway a second.
        offered_per_s: Tokens that the stub was to send a second.
        direct_p50_ms, direct_p99_ms: Lateness of tokens without the gateway.
        relayed_p50_ms, relayed_p99_ms: Lateness of tokens through the gateway.
        added_p50_ms, added_p99_ms: Difference of the two.
        processor_us_per_token: Processor time of the gateway's process a token.
    """

    streams: int
    tokens_per_s: float
    offered_per_s: float
    direct_p50_ms: float
    direct_p99_ms: float
    relayed_p50_ms: float
    relayed_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    processor_us_per_token: float


def run_stub(pipe: Connection, interval_s: float, seconds: float) -> None:
    """Body of the stub's process; runs until the pipe closes."""
    engine = StubEngine(interval_s, seconds)
    engine.start()
    hub = StubHub(CLUSTER_KEY, engine.address, hashlib.sha256(API_KEY.encode()).hexdigest())
    hub.server.start()
    pipe.send((engine.address, hub.server.address))
    _wait_closed(pipe)


def run_gateway(
    pipe: Connection, hub: str, folder: str, variant: RelayVariant, switch_s: float
) -> None:
    """Body of the gateway's process; runs until the pipe closes."""
    sys.setswitchinterval(switch_s)
    use_variant(variant)
    key_file = Path(folder) / "cluster.key"
    key_file.write_bytes(CLUSTER_KEY)
    runtime = GatewayRuntime(
        GatewayConfig(
            name="bench",
            region=REGION,
            zone=ZONE,
            listen=ListenConfig(http_port=0, rpc_port=0),
            cluster_key_file=key_file,
            data_folder=Path(folder) / "data",
            hubs=[hub],
            request_threads=64,
        )
    )
    runtime.start()
    while runtime.not_ready() is not None:
        time.sleep(0.02)
    pipe.send(runtime.http_address)
    _wait_closed(pipe)


def _wait_closed(pipe: Connection) -> None:
    try:
        pipe.recv()
    except EOFError:
        return


class _Child:
    """A process of the bench; ends with its pipe."""

    def __init__(self, body: object, *args: object) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, child_end = context.Pipe()
        self.process = context.Process(
            target=body,  # type: ignore[arg-type]
            args=(child_end, *args),
            daemon=True,
        )
        self.process.start()
        child_end.close()
        if not self.pipe.poll(START_TIMEOUT_S):
            raise RuntimeError("a process of the bench did not start")
        self.ready = self.pipe.recv()

    def close(self) -> None:
        """Close the pipe and end the process."""
        self.pipe.close()
        self.process.terminate()
        self.process.join()


def measure(
    streams: int,
    interval_s: float,
    window_s: float,
    variant: RelayVariant,
    switch_s: float,
) -> RelayFigures:
    """Measure one number of streams."""
    with tempfile.TemporaryDirectory() as folder:
        stub = _Child(run_stub, interval_s, 600.0)
        engine_address, hub_address = stub.ready
        gateway = _Child(run_gateway, hub_address, folder, variant, switch_s)
        try:
            direct, _ = _read(engine_address, streams, window_s, None)
            relayed, spent_s = _read(gateway.ready, streams, window_s, gateway.process.pid)
        finally:
            gateway.close()
            stub.close()
    return _figures(streams, interval_s, direct, relayed, spent_s)


def _read(address: str, streams: int, window_s: float, pid: int | None) -> tuple[Readings, float]:
    """Return the callers' readings and the processor seconds that ``pid`` spent meanwhile."""
    callers = Callers(address, API_KEY, MODEL, streams)
    try:
        callers.measure(SETTLE_S)
        before_s = _processor_s(pid)
        readings = callers.measure(window_s)
        return readings, _processor_s(pid) - before_s
    finally:
        callers.close()


def _processor_s(pid: int | None) -> float:
    if pid is None:
        return 0.0
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _figures(
    streams: int, interval_s: float, direct: Readings, relayed: Readings, spent_s: float
) -> RelayFigures:
    direct_p50, direct_p99 = numpy.percentile(direct.latencies_ms, [50, 99])
    relayed_p50, relayed_p99 = numpy.percentile(relayed.latencies_ms, [50, 99])
    tokens = len(relayed.latencies_ms)
    return RelayFigures(
        streams=streams,
        tokens_per_s=round(tokens / relayed.window_s, 1),
        offered_per_s=round(streams / interval_s, 1),
        direct_p50_ms=round(float(direct_p50), 3),
        direct_p99_ms=round(float(direct_p99), 3),
        relayed_p50_ms=round(float(relayed_p50), 3),
        relayed_p99_ms=round(float(relayed_p99), 3),
        added_p50_ms=round(float(relayed_p50 - direct_p50), 3),
        added_p99_ms=round(float(relayed_p99 - direct_p99), 3),
        processor_us_per_token=round(spent_s * US_PER_S / max(tokens, 1), 1),
    )


def main(
    streams: str = "50,300,800",
    window_s: float = 6.0,
    interval_ms: float = 0.0,
    variant: str = "loop",
    switch_ms: float = 5.0,
    json: str = "",
) -> None:
    """Measure the relay and print a table.

    Args:
        streams: Numbers of streams, separated by commas.
        window_s: Seconds measured for each number, direct and relayed alike.
        interval_ms: Time between a stream's tokens; 0 takes 60 ms, for 800 streams 80 ms.
        variant: ``loop`` (the product's) or ``threads`` (one thread a stream, for comparison).
        switch_ms: The interpreter's switch interval in the gateway's process.
        json: File for the figures as JSON.
    """
    counts = [int(part) for part in str(streams).replace("(", "").replace(")", "").split(",")]
    figures = []
    for count in counts:
        interval_s = interval_ms / 1000 if interval_ms else DEFAULT_LOADS.get(count, 0.06)
        figures.append(
            measure(count, interval_s, window_s, RelayVariant(variant), switch_ms / 1000)
        )
    _print(figures)
    if json:
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


def _print(figures: list[RelayFigures]) -> None:
    table = Table(title=f"stream relay on {socket.gethostname() and 'this machine'}")
    for name in RelayFigures.__struct_fields__:
        table.add_column(name, justify="right")
    for item in figures:
        table.add_row(*(str(value) for value in msgspec.structs.astuple(item)))
    Console(width=200).print(table)


if __name__ == "__main__":
    fire.Fire(main)
