"""The settings state machine: concurrent changes, resends, long histories and restarts."""

from __future__ import annotations

import random
import sqlite3
from pathlib import Path
from typing import TypeVar

import msgspec
import pytest

from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.snapshot import SnapshotSource, SnapshotStage
from leverjunction.errors import Failure
from leverjunction.settings.commands import (
    ApplyChange,
    ChangeOutcome,
    ChangeRecord,
    Fence,
    GetHistory,
    GetSettings,
    LeafChange,
    PlacementFence,
    SettingsDelta,
)
from leverjunction.settings.flatten import Leaves, content_hash, difference, leaves_of
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.settings.state_machine import SettingsStateMachine
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")


class Replica:
    """A state machine on its own database, called as a replica of the group calls it."""

    def __init__(self, path: str = ":memory:") -> None:
        self.connection = sqlite3.connect(path)
        self.machine = SettingsStateMachine()
        self.machine.create_tables(self.connection)
        self.index = 0

    def apply(self, command: msgspec.Struct, reply_type: type[T], term: int = 1) -> T:
        self.index += 1
        context = ApplyContext(index=self.index, term=term, wall_ms=1000 + self.index)
        body = self.machine.apply(self.connection, context, encode(command))
        self.connection.commit()
        reply = decode_reply(body, reply_type)
        assert not isinstance(reply, Failure), reply
        return reply

    def query(self, query: msgspec.Struct, reply_type: type[T]) -> T:
        reply = decode_reply(self.machine.query(self.connection, encode(query)), reply_type)
        assert not isinstance(reply, Failure), reply
        return reply

    def leaves(self) -> dict[str, object]:
        return leaves_of(self.query(GetSettings(0), SettingsDelta).rows)

    def change(self, change: ApplyChange) -> ChangeOutcome:
        return self.apply(change, ChangeOutcome)


def plan(change_id: str, base: int, old: Leaves, new: Leaves, author: str = "ann") -> ApplyChange:
    return ApplyChange(
        change_id=change_id,
        base_version=base,
        content_hash=content_hash(new),
        author=author,
        changes=difference(old, new),
    )


def test_only_one_of_two_changes_on_the_same_base_is_accepted() -> None:
    replica = Replica()
    first = plan("one", 0, {}, {"defaults/limits/burst": 5, "services/s": {}})
    second = plan("two", 0, {}, {"defaults/limits/burst": 6}, author="ben")
    assert replica.change(first).accepted
    lost = replica.change(second)
    assert not lost.accepted
    assert (lost.version, lost.winner, lost.winner_ms) == (1, "ann", 1001)
    assert lost.differing_paths == ["defaults/limits/burst", "services/s"]
    assert replica.leaves() == {"defaults/limits/burst": 5, "services/s": {}}


def test_resend_gets_the_first_outcome_even_after_later_changes() -> None:
    replica = Replica()
    accepted = plan("one", 0, {}, {"a/b": 1})
    refused = plan("two", 7, {}, {"a/b": 2})
    outcomes = [replica.change(accepted), replica.change(refused)]
    replica.change(plan("three", 1, {"a/b": 1}, {"a/b": 3}))
    for change, first in zip([accepted, refused], outcomes, strict=True):
        assert replica.change(change) == msgspec.structs.replace(first, replayed=True)
    assert replica.leaves() == {"a/b": 3}
    assert replica.query(GetSettings(0), SettingsDelta).version == 2


def test_reusing_a_change_id_for_another_change_is_refused() -> None:
    replica = Replica()
    first = plan("one", 0, {}, {"a/b": 1})
    assert replica.change(first).accepted
    other = plan("one", 1, {"a/b": 1}, {"a/b": 2})
    outcome = replica.change(other)
    assert not outcome.accepted
    assert "another change" in outcome.reason
    assert replica.leaves() == {"a/b": 1}
    assert replica.change(first).accepted, "a resend of the first change still gets its outcome"


def test_first_outcomes_survive_hundreds_of_changes_a_restart_and_a_snapshot(
    tmp_path: Path,
) -> None:
    path = str(tmp_path / "root.db")
    replica = Replica(path)
    tree: dict[str, object] = {}
    sent: list[tuple[ApplyChange, ChangeOutcome]] = []
    for number in range(300):
        new: dict[str, object] = {**tree, "a/b": number}
        stale = plan(f"stale{number}", max(0, number - 5), tree, new)
        change = plan(f"c{number}", number, tree, new)
        sent += [(each, replica.change(each)) for each in (change, stale)]
        tree = new
    assert [outcome.accepted for _, outcome in sent[10:]] == [True, False] * 295
    replica.connection.close()
    restarted = Replica(path)
    for holder in (restarted, copy_by_snapshot(restarted)):
        for change, first in sent:
            assert holder.change(change) == msgspec.structs.replace(first, replayed=True)
        assert holder.leaves() == tree
        assert holder.query(GetSettings(0), SettingsDelta).version == 300


def copy_by_snapshot(source: Replica) -> Replica:
    """Return a replica that received its tables as a snapshot, as a learner does."""
    target = Replica()
    sender = SnapshotSource(source.connection, part_bytes=4096)
    stage = SnapshotStage(target.connection)
    stage.begin()
    is_last = False
    while not is_last:
        part, is_last = sender.next_part()
        stage.store(part)
    sender.close()
    stage.install()
    return target


VALUE_AND_MAPPING = {"a/b": 1, "a/b/c": 2}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (plan("x", 3, {}, {"a/b": 2}), "does not exist"),
        (plan("x", 1, {}, {}), "no changed leaf"),
        (
            ApplyChange(
                change_id="x",
                base_version=1,
                content_hash="0",
                author="",
                changes=[LeafChange("a/b", 2)],
            ),
            "content hash",
        ),
        (
            ApplyChange(
                change_id="x",
                base_version=1,
                content_hash=content_hash({"a/b": 2}),
                author="",
                changes=[LeafChange("a/b", 2), LeafChange("a/b", 2)],
            ),
            "twice",
        ),
        (plan("x", 1, {"a/b": 1}, VALUE_AND_MAPPING), "both a value and a mapping"),
        (plan("x", 1, {"a/b": 1}, {"a/b": 1, "a": 2}), "both a value and a mapping"),
    ],
)
def test_refused_changes_leave_the_tree_alone(change: ApplyChange, expected: str) -> None:
    replica = Replica()
    replica.change(plan("first", 0, {}, {"a/b": 1}))
    outcome = replica.change(change)
    assert not outcome.accepted
    assert expected in outcome.reason
    assert replica.leaves() == {"a/b": 1}


def test_a_value_may_become_a_mapping_in_one_change() -> None:
    replica = Replica()
    replica.change(plan("one", 0, {}, {"services/s/models": {}}))
    new: dict[str, object] = {"services/s/models/m/version": "2"}
    assert replica.change(plan("two", 1, {"services/s/models": {}}, new)).accepted
    back = plan("three", 2, new, {"services/s/models": {}})
    assert replica.change(back).accepted


def test_hundreds_of_changes_restarts_and_stale_readers(tmp_path: Path) -> None:
    rng = random.Random(11)
    path = str(tmp_path / "root.db")
    replica = Replica(path)
    reader = ResolvedSettings.empty()
    lagging: list[SettingsDelta] = []
    tree: dict[str, object] = {}
    for number in range(400):
        new = dict(tree)
        leaf = f"tenants/t{rng.randrange(30)}/limits/burst"
        if rng.random() < 0.3:
            new.pop(leaf, None)
        else:
            new[leaf] = number
        change = plan(f"c{number}", replica.query(GetSettings(0), SettingsDelta).version, tree, new)
        outcome = replica.change(change)
        assert outcome.accepted == bool(change.changes)
        tree = new
        if rng.random() < 0.05:
            replica.connection.close()
            replica = Replica(path)
        if rng.random() < 0.5:
            delta = replica.query(GetSettings(reader.version), SettingsDelta)
            lagging.append(delta)
            before = reader.version
            for arrived in [delta, rng.choice(lagging)]:
                reader = reader.apply(arrived.rows, arrived.version)
            assert reader.version == delta.version >= before
            assert leaves_of(reader.rows()) == tree
    assert replica.leaves() == tree


def test_history_is_newest_first_and_bounded() -> None:
    replica = Replica()
    tree: dict[str, object] = {}
    for number in range(5):
        new: dict[str, object] = {"a/b": number}
        replica.change(plan(f"c{number}", number, tree, new, author=f"op{number}"))
        tree = new
    records = replica.query(GetHistory(2), list[ChangeRecord])
    assert [(item.version, item.author, item.paths) for item in records] == [
        (5, "op4", ["a/b"]),
        (4, "op3", ["a/b"]),
    ]
    assert records[0].content_hash == content_hash(tree)


def test_fences_increase_within_and_across_terms() -> None:
    replica = Replica()
    fences = [
        replica.apply(PlacementFence(controller="c"), Fence, term=term) for term in (3, 3, 5, 5)
    ]
    pairs = [(fence.term, fence.sequence) for fence in fences]
    assert pairs == [(3, 1), (3, 2), (5, 3), (5, 4)]


@pytest.mark.parametrize("body", [b"", b"{}", b'{"type":"open_job"}'])
def test_unreadable_commands_and_queries_are_answered(body: bytes) -> None:
    replica = Replica()
    context = ApplyContext(index=1, term=1, wall_ms=1)
    for reply in (
        replica.machine.apply(replica.connection, context, body),
        replica.machine.query(replica.connection, body),
    ):
        assert isinstance(decode_reply(reply, Fence), Failure)
