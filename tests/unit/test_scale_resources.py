from __future__ import annotations

import threading

import pytest

from testbed.scale.cluster import FIRST_PORT, LAST_PORT, free_ports
from testbed.scale.figures import change_result, quantiles
from testbed.scale.fleet import by_zone
from testbed.scale.hollow_gateway import InForce
from testbed.scale.operators import ChangeTime, initial_leaves
from testbed.scale.options import ScaleOptions, region_name
from testbed.scale.resources import (
    SocketCount,
    ThreadUsage,
    parse_sockets,
    threads_between,
    wire_bytes_per_s,
)
from testbed.scale.runner_worker import RunnerProfile
from testbed.scale.strikes import Struck
from testbed.scale.watched_gateway import ThreadTime, read_threads

LISTING = (
    'ESTAB 0 0 127.0.0.1:40112 127.0.0.1:9000 users:(("python",pid=71,fd=9)) '
    "cubic rtt:0.05/0.02 bytes_sent:1200 bytes_acked:1200 bytes_received:3400 "
    "segs_out:12 segs_in:13 send 1Gbps\n"
    "ESTAB 0 0 127.0.0.1:9000 127.0.0.1:40112 cubic bytes_sent:1 segs_out:1\n"
)


def test_sockets_are_read_by_process_and_descriptor() -> None:
    assert parse_sockets(LISTING) == {(71, 9): SocketCount(1200, 3400, 25, 9000)}


@pytest.mark.parametrize(
    ("before", "expected"),
    [
        pytest.param({(71, 9): SocketCount(200, 400, 5)}, (4000 + 66 * 20) / 2, id="same socket"),
        pytest.param({}, (4600 + 66 * 25) / 2, id="opened in the window"),
        pytest.param(
            {(71, 9): SocketCount(9999, 0, 99)}, (4600 + 66 * 25) / 2, id="descriptor used anew"
        ),
        pytest.param({(70, 9): SocketCount(200, 400, 5)}, (4600 + 66 * 25) / 2, id="other process"),
    ],
)
def test_wire_bytes_between_readings(
    before: dict[tuple[int, int], SocketCount], expected: float
) -> None:
    assert wire_bytes_per_s(before, parse_sockets(LISTING), 71, 2.0) == expected


@pytest.mark.parametrize(("port", "counted"), [(9000, True), (40112, False)])
def test_wire_bytes_of_some_peers(port: int, counted: bool) -> None:
    rate = wire_bytes_per_s({}, parse_sockets(LISTING), 71, 1.0, frozenset({port}))
    assert (rate > 0) is counted


@pytest.mark.parametrize(
    ("records", "reached", "maximum"),
    [
        pytest.param([("a", 3, 10.5), ("b", 3, 11.0)], 2, 1.0, id="all"),
        pytest.param([("a", 2, 9.0), ("b", 3, 11.0)], 1, 1.0, id="older version does not count"),
        pytest.param([("a", 4, 12.0), ("a", 3, 10.5)], 1, 0.5, id="first one counts"),
        pytest.param([("a", 4, 12.0)], 1, 2.0, id="skipped version counts"),
        pytest.param([], 0, 0.0, id="none"),
    ],
)
def test_change_in_force(
    records: list[tuple[str, int, float]], reached: int, maximum: float
) -> None:
    change = ChangeTime(version=3, sent_s=10.0, acknowledged_s=10.1)
    struck = Struck(zones=frozenset(), processes=frozenset({"control-0"}), at_s=9.0)
    in_force = [InForce(gateway, "zone-00", *when) for gateway, *when in records]
    result = change_result(change, in_force, struck)
    assert (result.reached, result.in_force_s.maximum) == (reached, maximum)
    assert result.after_strike


@pytest.mark.parametrize(
    ("sent_s", "records", "spared", "caught_up"),
    [
        pytest.param(12.0, [("a", "spared", 12.5), ("b", "hit", 21.0)], 0.5, 1.0, id="during"),
        pytest.param(22.0, [("a", "spared", 22.5), ("b", "hit", 23.0)], 0.5, 1.0, id="after"),
        pytest.param(5.0, [("a", "spared", 5.5), ("b", "hit", 6.0)], 0.5, 0.0, id="before"),
    ],
)
def test_gateways_of_a_silenced_region_count_from_the_end_of_the_silence(
    sent_s: float, records: list[tuple[str, str, float]], spared: float, caught_up: float
) -> None:
    change = ChangeTime(version=3, sent_s=sent_s, acknowledged_s=sent_s + 0.1)
    struck = Struck(
        zones=frozenset({"hit"}), processes=frozenset({"gateways-0"}), at_s=10.0, until_s=20.0
    )
    in_force = [InForce(gateway, zone, 3, time_s) for gateway, zone, time_s in records]
    result = change_result(change, in_force, struck)
    assert result.in_force_s.maximum == spared
    assert (result.caught_up_s.maximum, result.reached) == (caught_up, 2)


def test_workers_hold_members_of_one_zone() -> None:
    profiles = [
        RunnerProfile(runner_id=str(index), zone=f"zone-{index % 2}", service="s", models=[])
        for index in range(5)
    ]
    workers = [[profile.runner_id for profile in worker] for worker in by_zone(profiles, 2)]
    assert workers == [["0", "2"], ["4"], ["1", "3"]]


def test_quantiles_of_nothing_and_of_much() -> None:
    assert quantiles([]).count == 0
    assert quantiles(list(range(101))).p99 == 99


def test_zones_and_tenants_of_the_initial_settings() -> None:
    options = ScaleOptions(tenants=3, zones=15, regions=6)
    leaves = initial_leaves(options)
    assert sum(path.startswith("regions/") for path in leaves) == 15
    assert {path.split("/")[1] for path in leaves if path.startswith("tenants/")} == {
        "tenant-00000",
        "tenant-00001",
        "tenant-00002",
    }
    assert {region_name(zone, 15, 6) for zone in range(15)} == {f"region-{n}" for n in range(6)}


def test_chosen_ports_are_distinct_and_outside_of_the_outgoing_range() -> None:
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert all(FIRST_PORT <= port < LAST_PORT for port in ports)


def test_threads_between_two_reports() -> None:
    before = [ThreadTime("exchange", 1.0), ThreadTime("owner", 2.0)]
    after = [ThreadTime("exchange", 1.5), ThreadTime("owner", 4.0), ThreadTime("new", 1.0)]
    assert threads_between(before, after, 10.0) == [
        ThreadUsage("owner", 0.2),
        ThreadUsage("new", 0.1),
        ThreadUsage("exchange", 0.05),
    ]


def test_threads_of_a_pool_are_read_under_one_name() -> None:
    done = threading.Event()
    threads = [threading.Thread(target=done.wait, name=f"pool_{number}") for number in range(2)]
    for thread in threads:
        thread.start()
    names = [thread.name for thread in read_threads()]
    done.set()
    for thread in threads:
        thread.join()
    assert names.count("pool") == 1
    assert "MainThread" in names
