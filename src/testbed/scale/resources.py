"""Readings of a process from outside: processor time, memory, disk writes, bytes on the wire."""

from __future__ import annotations

import os
import re
import subprocess
import time
from pathlib import Path

import msgspec
import psutil

from testbed.scale.counting import PACKET_OVERHEAD_BYTES, SEGMENT_PAYLOAD_BYTES
from testbed.scale.watched_gateway import ThreadTime

SOCKET_LIST = ("ss", "-tinpHO", "state", "established")
SOCKET_LIST_TIMEOUT_S = 20
_COUNTS = {
    "bytes_sent": re.compile(r"\bbytes_sent:(\d+)"),
    "bytes_received": re.compile(r"\bbytes_received:(\d+)"),
    "segs_out": re.compile(r"\bsegs_out:(\d+)"),
    "segs_in": re.compile(r"\bsegs_in:(\d+)"),
}
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:(\d+)")
_OWNER = re.compile(r"pid=(\d+),fd=(\d+)")


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """One process at one time; counters run since its start.

    Attributes:
        monotonic_s: Time of the reading.
        cpu_s: Processor time, user and system.
        rss_bytes: Resident memory.
        written_bytes: Bytes that it caused to be written to the disk.
        threads: Number of threads.
    """

    monotonic_s: float
    cpu_s: float
    rss_bytes: int
    written_bytes: int
    threads: int


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What a process used between two readings.

    Attributes:
        core_ratio: Processor time over wall time; 1.0 is one core.
        rss_bytes: Resident memory at the second reading.
        written_bytes_per_s: Disk writes.
        threads: Threads at the second reading.
    """

    core_ratio: float
    rss_bytes: int
    written_bytes_per_s: float
    threads: int


class ThreadUsage(msgspec.Struct, frozen=True):
    """Processor time over wall time of the threads of one name; 1.0 is one core."""

    name: str
    core_ratio: float


class SocketCount(msgspec.Struct, frozen=True):
    """Kernel counts of one TCP connection."""

    sent_bytes: int
    received_bytes: int
    segments: int
    peer_port: int = 0


def read_process(process_id: int) -> Reading | None:
    """Read a process, or return None when it is gone."""
    try:
        process = psutil.Process(process_id)
        cpu = process.cpu_times()
        return Reading(
            monotonic_s=time.monotonic(),
            cpu_s=cpu.user + cpu.system,
            rss_bytes=process.memory_info().rss,
            written_bytes=process.io_counters().write_bytes,
            threads=process.num_threads(),
        )
    except psutil.Error:
        return None


def usage_between(before: Reading, after: Reading) -> Usage:
    """Return what was used between two readings of one process."""
    seconds = max(after.monotonic_s - before.monotonic_s, 1e-9)
    return Usage(
        core_ratio=(after.cpu_s - before.cpu_s) / seconds,
        rss_bytes=after.rss_bytes,
        written_bytes_per_s=(after.written_bytes - before.written_bytes) / seconds,
        threads=after.threads,
    )


def threads_between(
    before: list[ThreadTime], after: list[ThreadTime], seconds: float
) -> list[ThreadUsage]:
    """Return what threads used between two reports of one gateway, the largest first."""
    earlier = {thread.name: thread.cpu_s for thread in before}
    used = [
        ThreadUsage(thread.name, (thread.cpu_s - earlier.get(thread.name, 0.0)) / seconds)
        for thread in after
    ]
    return sorted(used, key=lambda usage: usage.core_ratio, reverse=True)


def read_sockets() -> dict[tuple[int, int], SocketCount]:
    """Return the counts of all TCP connections of our processes, by process id and descriptor."""
    listing = subprocess.run(
        SOCKET_LIST, capture_output=True, text=True, timeout=SOCKET_LIST_TIMEOUT_S, check=False
    )
    return parse_sockets(listing.stdout)


def parse_sockets(listing: str) -> dict[tuple[int, int], SocketCount]:
    """Parse the one-line-a-socket output of ``ss -tinpHO``."""
    counts: dict[tuple[int, int], SocketCount] = {}
    for line in listing.splitlines():
        owner = _OWNER.search(line)
        if owner is None:
            continue
        values = {name: _first_number(pattern, line) for name, pattern in _COUNTS.items()}
        counts[int(owner[1]), int(owner[2])] = SocketCount(
            values["bytes_sent"],
            values["bytes_received"],
            values["segs_out"] + values["segs_in"],
            _peer_port(line),
        )
    return counts


def wire_bytes_per_s(
    before: dict[tuple[int, int], SocketCount],
    after: dict[tuple[int, int], SocketCount],
    process_id: int,
    seconds: float,
    peer_ports: frozenset[int] | None = None,
) -> float:
    """Return a process's TCP traffic, both ways, with packet headers.

    Only connections towards ``peer_ports`` count when they are given. Connections that were closed
    between the readings are missing, so it is a lower bound.
    """
    payload = 0
    segments = 0
    for key, count in after.items():
        if key[0] != process_id:
            continue
        if peer_ports is not None and count.peer_port not in peer_ports:
            continue
        earlier = before.get(key, SocketCount(0, 0, 0))
        if count.sent_bytes < earlier.sent_bytes:
            earlier = SocketCount(0, 0, 0)
        payload += count.sent_bytes - earlier.sent_bytes
        payload += count.received_bytes - earlier.received_bytes
        segments += count.segments - earlier.segments
    packets = max(segments, payload // SEGMENT_PAYLOAD_BYTES)
    return (payload + PACKET_OVERHEAD_BYTES * packets) / seconds


def folder_bytes(folder: Path) -> int:
    """Return the size of all files below a folder."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def load_average() -> float:
    """Return the machine's load over the last minute."""
    return os.getloadavg()[0]


def _peer_port(line: str) -> int:
    """Return the port of the far end: the second address of a line."""
    addresses = _ADDRESS.findall(line)
    return int(addresses[1]) if len(addresses) > 1 else 0


def _first_number(pattern: re.Pattern[str], text: str) -> int:
    found = pattern.search(text)
    return int(found[1]) if found else 0
