"""Checks the model of settings changes, and the real code against traces of the model."""

from __future__ import annotations

import random
import sqlite3

import pytest
from specs.settings_change import (
    ABSENT,
    Gateway,
    Leaves,
    Operator,
    SeededBug,
    SettingsModel,
    State,
    check,
    failed_invariants,
)

from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure
from leverjunction.settings.commands import (
    ApplyChange,
    ChangeOutcome,
    GetSettings,
    LeafChange,
    SettingsDelta,
)
from leverjunction.settings.flatten import content_hash, leaves_of
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.settings.state_machine import SettingsStateMachine
from leverjunction.wire.codec import decode_reply, encode

WALKS = 200
STEPS = 30
SEEDED_BUG_STATES = 60_000
PATH_A = "defaults/limits/burst"
PATH_B = "defaults/limits/concurrency"


def test_model_holds_over_its_whole_state_space() -> None:
    result = check()
    assert result["exhaustive"]
    assert failed_invariants(result) == []


@pytest.mark.parametrize(
    ("bug", "broken"),
    [
        (SeededBug.RESEND_APPLIED_TWICE, "each_change_takes_effect_once"),
        (SeededBug.RESEND_FORGOTTEN, "a_resend_gets_the_first_outcome"),
        (SeededBug.NO_BASE_CHECK, "one_winner_for_each_base"),
        (SeededBug.OLDER_APPLIED, "gateway_never_goes_back"),
        (SeededBug.NO_TOMBSTONES, "gateway_holds_the_tree_of_its_version"),
        (SeededBug.COPY_AFTER_FORCE, "gateway_never_goes_back"),
    ],
)
def test_seeded_bug_is_found(bug: SeededBug, broken: str) -> None:
    assert broken in failed_invariants(check(bug=bug, max_states=SEEDED_BUG_STATES))


class Replica:
    """The real state machine on its own tables; each hub applies the committed log to one."""

    def __init__(self) -> None:
        self._connection = sqlite3.connect(":memory:", isolation_level=None)
        self._machine = SettingsStateMachine()
        self._machine.create_tables(self._connection)
        self._index = 0

    def apply(self, change: ApplyChange) -> ChangeOutcome:
        """Apply the next committed change."""
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=1)
        reply = decode_reply(
            self._machine.apply(self._connection, context, encode(change)), ChangeOutcome
        )
        assert not isinstance(reply, Failure)
        return reply

    def delta(self, after_version: int) -> SettingsDelta:
        """Return the leaves changed after a version."""
        body = self._machine.query(self._connection, encode(GetSettings(after_version)))
        reply = decode_reply(body, SettingsDelta)
        assert not isinstance(reply, Failure)
        return reply


class RealSystem:
    """Real state machines, plans and gateway settings, driven by the step labels of the model."""

    def __init__(self) -> None:
        self.hubs = [Replica(), Replica()]
        self._committed = Replica()
        self._log: list[ApplyChange] = []
        self._planned: dict[int, ApplyChange] = {}
        self.in_force = ResolvedSettings.empty()
        self.copy = self.in_force
        self._late: SettingsDelta | None = None

    def follow(self, label: str, before: State, after: State) -> None:
        """Execute the step that corresponds to a step label of the model."""
        kind, *rest = label.split()
        number = int(rest[0]) if rest else 0
        if kind == "plan":
            self._planned[number] = self._plan(
                self.hubs[int(rest[1])], number, after.operators[number]
            )
        elif kind == "commit":
            self._log.append(self._planned[number])
        elif kind == "catch-up":
            self.hubs[number].apply(self._log[before.hubs[number]])
        elif kind == "exchange":
            self._receive(self.hubs[number].delta(self.in_force.version))
        elif kind == "delay":
            self._late = self.hubs[number].delta(self.in_force.version)
        elif kind == "late":
            assert self._late is not None
            self._receive(self._late)
        elif kind == "drop":
            self._late = None
        elif kind == "settle":
            self.in_force = self.copy
        elif kind == "restart":
            self.in_force, self._late = self.copy, None

    def committed_outcome(self) -> ChangeOutcome:
        """Apply the newest entry of the log on the leader and return its outcome."""
        return self._committed.apply(self._log[-1])

    def _plan(self, hub: Replica, number: int, operator: Operator) -> ApplyChange:
        """Plan a change of the tree that the operator read; values are the new version number."""
        tree = leaves_of(hub.delta(0).rows)
        version = operator.base + 1
        if number == 0:
            changes = [LeafChange(PATH_A, version)]
            wanted = {**tree, PATH_A: version}
        else:
            changes = [LeafChange(PATH_A, deleted=True), LeafChange(PATH_B, version)]
            wanted = {**tree, PATH_B: version}
            wanted.pop(PATH_A, None)
        return ApplyChange(
            change_id=f"{number}-{operator.change}",
            base_version=operator.base,
            content_hash=content_hash(wanted),
            author=str(number),
            changes=changes,
        )

    def _receive(self, delta: SettingsDelta) -> None:
        if self.copy.version > self.in_force.version:
            return
        newer = self.in_force.apply(delta.rows, delta.version)
        # The copy is synced before the settings come into force, so it is never older.
        self.copy = newer


def _model_leaves(settings: Leaves) -> dict[str, object]:
    named = {PATH_A: settings.a, PATH_B: settings.b}
    return {path: value for path, value in named.items() if value != ABSENT}


def _real_leaves(settings: ResolvedSettings) -> dict[str, object]:
    return leaves_of(settings.rows())


def _compare(model: SettingsModel, state: State, real: RealSystem) -> None:
    gateway: Gateway = state.gateway
    for expected, actual in ((gateway.in_force, real.in_force), (gateway.copy, real.copy)):
        assert actual.version == expected.version
        assert _real_leaves(actual) == _model_leaves(expected)
    for applied, hub in zip(state.hubs, real.hubs, strict=True):
        expected = model.applied(state.log[:applied]).settings[-1]
        held = hub.delta(0)
        assert held.version == expected.version
        assert leaves_of(held.rows) == _model_leaves(expected)


def _follow_random_traces(model: SettingsModel) -> set[str]:
    """Run model and real code side by side on random traces; return the kinds of steps taken."""
    generator = random.Random(11)
    taken: set[str] = set()
    for _ in range(WALKS):
        state, real = model.protocol().initial, RealSystem()
        for _ in range(STEPS):
            steps = model.transitions(state)
            if not steps:
                break
            label, after = generator.choice(steps)
            taken.add(label.split()[0])
            real.follow(label, state, after)
            if label.startswith("commit"):
                outcome = real.committed_outcome()
                expected = model.applied(after.log).outcomes[-1]
                assert (outcome.version if outcome.accepted else 0) == expected
            state = after
            _compare(model, state, real)
    return taken


def test_real_code_follows_the_traces_of_the_model() -> None:
    assert _follow_random_traces(SettingsModel()) == {
        "plan",
        "commit",
        "answer",
        "catch-up",
        "exchange",
        "delay",
        "late",
        "drop",
        "settle",
        "restart",
    }


@pytest.mark.parametrize(
    "bug",
    [
        SeededBug.RESEND_APPLIED_TWICE,
        SeededBug.RESEND_FORGOTTEN,
        SeededBug.NO_BASE_CHECK,
        SeededBug.OLDER_APPLIED,
        SeededBug.NO_TOMBSTONES,
    ],
)
def test_traces_of_a_broken_model_are_noticed(bug: SeededBug) -> None:
    with pytest.raises(AssertionError):
        _follow_random_traces(SettingsModel(bug=bug))
