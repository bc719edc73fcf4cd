"""Concurrent requests for all settings cost a hub one read and a bounded number of replies."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from leverjunction.backends.machine_list import MachineList
from leverjunction.clock import SystemClock
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.settings_mirror import (
    LARGE_STEP_BYTES,
    MAX_LARGE_REPLIES,
    RETRY_AFTER_S,
    SettingsMirror,
)
from leverjunction.errors import Failure
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import decode_reply
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, GatewayState, SettingRow

GATEWAYS = 60
LARGE_ROWS = [
    SettingRow(path=f"tenants/t{number}/note", value="x" * 1000, version=1)
    for number in range(2 * LARGE_STEP_BYTES // 1000)
]
SMALL_ROWS = [SettingRow(path="tenants/t0/note", value="y", version=2)]


class Source:
    """Stub of group root at a given version, which counts full reads and can block them."""

    def __init__(self) -> None:
        self.version = 1
        self.full_reads = 0
        self.may_read = threading.Event()
        self.may_read.set()

    def __call__(self, query: GetSettings) -> SettingsDelta | Failure:
        if query.after_version >= self.version:
            return SettingsDelta(version=query.after_version, rows=[])
        if query.after_version > 0:
            return SettingsDelta(version=self.version, rows=SMALL_ROWS)
        self.full_reads += 1
        assert self.may_read.wait(10)
        return SettingsDelta(version=self.version, rows=LARGE_ROWS)


def mirror_at_version_2() -> tuple[SettingsMirror, Source]:
    """Return a mirror that has applied a change, so it has to read a full step again."""
    source = Source()
    mirror = SettingsMirror(source)
    assert mirror.refresh()
    source.version = 2
    assert mirror.refresh()
    source.full_reads = 0
    return mirror, source


def hub_of(mirror: SettingsMirror) -> Hub:
    identity = HubIdentity(
        name="c1", rpc_address="a:1", zone="z", incarnation=5, peers={"c1": "a:1"},
        zones={"c1": "z"}, job_groups=1,
    )  # fmt: skip
    hub = Hub(identity, mirror, SystemClock(), lambda: 0.0)
    hub.update_machine_list(MachineList(as_of_ms=1, machines=[]))
    hub.update_readings([], [])
    return hub


def exchange(hub: Hub, number: int, settings_version: int = 0) -> ExchangeReply:
    gateway = GatewayState(
        gateway_id=f"g{number}", address="a:2", rpc_address="a:3", zone="z", incarnation=1
    )
    request = ExchangeRequest(
        gateway=gateway, settings_version=settings_version, view_version=0, hub_incarnation=0
    )
    reply = decode_reply(hub.exchange_encoded(request), ExchangeReply)
    assert isinstance(reply, ExchangeReply), reply
    return reply


def test_full_replies_at_a_mass_restart_are_read_once_and_reach_every_gateway() -> None:
    mirror, source = mirror_at_version_2()
    hub = hub_of(mirror)
    source.may_read.clear()
    with ThreadPoolExecutor(GATEWAYS) as pool:
        first = [pool.submit(exchange, hub, number) for number in range(GATEWAYS)]
        # All but those with a slot get a reply while the single read is still blocked.
        waiting = GATEWAYS
        while waiting > MAX_LARGE_REPLIES:
            waiting = sum(not future.done() for future in first)
        source.may_read.set()
        replies = [future.result() for future in first]
    served = [reply for reply in replies if reply.settings]
    held_back = [reply for reply in replies if not reply.settings]
    assert len(served) == MAX_LARGE_REPLIES
    assert {reply.settings_version for reply in held_back} == {0}
    assert {reply.settings_retry_after_s for reply in held_back} == {RETRY_AFTER_S}
    assert hub.gateway_count() == GATEWAYS
    later = [exchange(hub, number) for number in range(GATEWAYS)]
    assert all(reply.settings == LARGE_ROWS for reply in later)
    assert {reply.settings_version for reply in later} == {2}
    assert source.full_reads == 1


def test_a_small_step_needs_no_slot() -> None:
    mirror, _ = mirror_at_version_2()
    hub = hub_of(mirror)
    with ExitStack() as held:
        for _ in range(MAX_LARGE_REPLIES):
            held.enter_context(mirror.step(0))
        assert exchange(hub, 1, settings_version=1).settings == SMALL_ROWS
        assert exchange(hub, 2).settings == []
    assert exchange(hub, 2).settings == LARGE_ROWS


def test_a_new_version_drops_the_steps_to_the_old_one() -> None:
    mirror, source = mirror_at_version_2()
    with mirror.step(0) as step:
        assert step.version == 2
    source.version = 3
    assert mirror.refresh()
    with mirror.step(0) as step:
        assert step.version == 3
    assert source.full_reads == 2
