"""Broken rules of the registry and its followers; each function returns the patches of one."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec

from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.status import unknown_status
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure, FailureKind
from leverjunction.registry import follower, node
from leverjunction.registry.commands import StoredTableVersion, TableSource, WatchRequest
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.watch_schedule import RETRY_PAUSE_S, WatchSchedule
from testbed.simulation.rule import Rule
from testbed.simulation.seeded import stand_ins
from testbed.simulation.seeded.processes import ControlProcess
from testbed.simulation.seeded.stand_ins import ServerStandIn

UNTOLD_SHARE = 10
FOREVER_S = 1e6


def follow_whatever_answers() -> list[Any]:
    """Return the patches."""
    return [
        mock.patch.object(follower, "check_not_behind", lambda *_: None),
        mock.patch.object(RegistryHub, "stale", _only_refresh),
    ]


def serve_without_a_replica() -> list[Any]:
    """Return the patches: a process whose start has failed goes on, and calls itself fresh."""

    read = RegistryHub._read

    def whatever_can_be_read(hub: RegistryHub) -> bool:
        read(hub)
        return True

    def just_heard(config: GroupConfig) -> GroupStatus:
        return msgspec.structs.replace(unknown_status(config), leader_contact_age_s=0.0)

    return [
        mock.patch.object(ControlProcess, "ends_when_its_start_fails", False),
        mock.patch.object(ServerStandIn, "stop", lambda _self: None),
        mock.patch.object(stand_ins, "unknown_status", just_heard),
        mock.patch.object(RegistryHub, "_read", whatever_can_be_read),
        mock.patch.object(follower, "check_not_behind", lambda *_: None),
    ]


def lose_news() -> list[Any]:
    """Return the patches: an error while news are taken over is not made good."""
    tell = RegistryFollower._deliver

    def sometimes(self: RegistryFollower, snapshot: follower.Snapshot) -> None:
        if snapshot.table.version % UNTOLD_SHARE:
            tell(self, snapshot)

    return [mock.patch.object(RegistryFollower, "_deliver", sometimes)]


def start_on_any_answer() -> list[Any]:
    """Return the patches: a gateway that starts takes what any process has applied."""

    def applied(self: RegistryHub) -> object:
        self._refresh()
        return self._make_reply(WatchRequest(table_version=-1, revision=-1, wait_ms=0), 0.0)

    return [
        mock.patch.object(RegistryHub, "_read_from_leader", applied),
        mock.patch.object(RegistryHub, "stale", _only_refresh),
    ]


def read_from_any_replica() -> list[Any]:
    """Return the patches."""

    def applied(self: RegistryNode) -> TableSource:
        self.hub._refresh()
        table = self.hub._table
        return TableSource(table.version, str(table.version))

    return [mock.patch.object(RegistryNode, "table_source", applied)]


def acknowledge_before_commit() -> list[Any]:
    """Return the patches: a table is acknowledged though its outcome is not known."""
    put = RegistryNode.put_table

    def hopeful(self: RegistryNode, table: Any, source: str) -> StoredTableVersion:
        put(self, table, source)
        return StoredTableVersion(table.version)

    return [mock.patch.object(RegistryNode, "put_table", hopeful)]


def take_any_table() -> list[Any]:
    """Return the patches: a table is replicated without a check."""
    return [mock.patch.object(node, "check_table", lambda _table: None)]


def wait_for_good_after_a_silence() -> list[Any]:
    """Return the patches."""

    def forever(_self: WatchSchedule, failure: Failure, _lasted_s: float) -> float:
        return FOREVER_S if failure.kind is FailureKind.TIMEOUT else RETRY_PAUSE_S

    return [mock.patch.object(WatchSchedule, "record_failure", forever)]


def _only_refresh(hub: RegistryHub) -> None:
    hub._refresh()


_IN_FORCE = "routes_in_force"
_BACK = "routes_never_back"
_READS = "reads_are_fresh"
_ONE = "one_table_per_version"
_MOVES = "moves_again_after_the_last_fault"

SEEDED_RULES: dict[str, Rule] = {
    "serve_without_a_replica": Rule(
        "a control process whose start has failed goes on answering",
        _IN_FORCE,
        serve_without_a_replica,
    ),
    "follow_whatever_answers": Rule(
        "a gateway stays with a control process that is cut off", _IN_FORCE, follow_whatever_answers
    ),
    "lose_news": Rule("one table in ten is not taken over", _IN_FORCE, lose_news),
    "start_on_any_answer": Rule(
        "a gateway that starts takes what any process has applied", _BACK, start_on_any_answer
    ),
    "read_a_table_from_any_replica": Rule(
        "reads of the table are answered from any replica", _READS, read_from_any_replica
    ),
    "acknowledge_a_table_before_commit": Rule(
        "a table is acknowledged whatever became of it", _IN_FORCE, acknowledge_before_commit
    ),
    "take_any_table": Rule("an invalid table is replicated", _ONE, take_any_table),
    "wait_for_good_after_a_silence": Rule(
        "a gateway asks nobody any more once its control process was silent",
        _MOVES,
        wait_for_good_after_a_silence,
    ),
}
