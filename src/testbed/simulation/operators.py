"""Simulated operators: they read the settings, change them, race, and resend lost changes."""

from __future__ import annotations

import random
from collections.abc import Mapping

from leverjunction.errors import Failure
from leverjunction.settings.commands import (
    ApplyChange,
    ChangeOutcome,
    ChangeRecord,
    GetHistory,
    GetSettings,
    LeafChange,
    SettingsDelta,
)
from leverjunction.settings.flatten import content_hash
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import SettingRow
from testbed.simulation.fiber import Fibers
from testbed.simulation.history import History, SettingsAnswer, SettingsRequest
from testbed.simulation.linearizability import NEVER_S, Operation
from testbed.simulation.machine import Machine

ROOT_GROUP = "root"
SENDS_PER_CHANGE = 12
SEND_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 4.0
RESEND_PAUSE_S = 0.5
RESEND_AFTER_SUCCESS = 0.3
HISTORY_LIMIT = 1000
AUDIT_TIMEOUT_S = 15.0


class Operator:
    """One operator with an own machine; works in a fiber.

    Attributes:
        name: Author of the changes.
        active: False once the operator has stopped.
        pause_s: Mean pause between two changes.
    """

    def __init__(
        self,
        machine: Machine,
        control: ControlClient,
        fibers: Fibers,
        history: History,
        generator: random.Random,
        paths: Mapping[str, list[object]],
    ) -> None:
        self.name = machine.name
        self.active = True
        self.pause_s = 4.0
        self._machine = machine
        self._control = control
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._paths = paths
        self._changes = 0
        self._leaves: dict[str, object] = {}
        self._version = 0

    def start(self, first_s: float, first_tree: Mapping[str, object] | None = None) -> None:
        """Begin to work after ``first_s`` seconds, with a first tree on version 0 if given."""

        def work() -> None:
            self._fibers.sleep(self._machine, first_s)
            if first_tree is not None:
                self._change(dict(first_tree))
            while self.active:
                if self._read():
                    self._fibers.sleep(self._machine, self._random.random() * 0.3)
                    self._edit()
                pause_s = self._random.expovariate(1.0 / self.pause_s)
                self._fibers.sleep(self._machine, pause_s)

        self._fibers.spawn(self._machine, work)

    def _read(self) -> bool:
        called_s = self._machine.monotonic_s()
        query = GetSettings(after_version=0)
        delta = self._control.query(ROOT_GROUP, query, SettingsDelta, READ_TIMEOUT_S)
        if isinstance(delta, Failure):
            return False
        self._record(called_s, SettingsRequest("", 0), delta.version, False)
        self._leaves = settings_content(delta.rows)
        self._version = delta.version
        return bool(self._leaves)

    def _edit(self) -> None:
        count = self._random.choice((1, 1, 2, 5))
        paths = self._random.sample(sorted(self._paths), min(count, len(self._paths)))
        self._change({path: self._random.choice(self._paths[path]) for path in paths})

    def _change(self, edited: dict[str, object]) -> None:
        """Send a change until it is answered, or until patience ends with its fate unknown."""
        self._changes += 1
        change = ApplyChange(
            change_id=f"{self.name}-{self._changes}",
            base_version=self._version,
            content_hash=content_hash(self._leaves | edited),
            author=self.name,
            changes=[LeafChange(path=path, value=edited[path]) for path in sorted(edited)],
        )
        self._history.changes[change.change_id] = edited
        called_s = self._machine.monotonic_s()
        if not self._send_until_answered(change, called_s):
            request = SettingsRequest(change.change_id, change.base_version)
            self._history.settings.append(Operation(called_s, NEVER_S, request, None))
        elif self._random.random() < RESEND_AFTER_SUCCESS:
            # The operator never saw the answer and sends the same change again.
            self._history.faults["operator_resend_after_answer"] += 1
            self._fibers.sleep(self._machine, self._random.random())
            self._send_until_answered(change, self._machine.monotonic_s())

    def _send_until_answered(self, change: ApplyChange, called_s: float) -> bool:
        for _ in range(SENDS_PER_CHANGE):
            outcome = self._control.propose(ROOT_GROUP, change, ChangeOutcome, SEND_TIMEOUT_S)
            if not isinstance(outcome, Failure):
                self._answered(change, called_s, outcome)
                return True
            self._history.faults["operator_resend_after_lost_answer"] += 1
            self._fibers.sleep(self._machine, RESEND_PAUSE_S)
        return False

    def _answered(self, change: ApplyChange, called_s: float, outcome: ChangeOutcome) -> None:
        request = SettingsRequest(change.change_id, change.base_version)
        self._record(called_s, request, outcome.version, outcome.accepted, outcome.replayed)
        self._history.outcomes.setdefault(change.change_id, []).append(outcome)
        name = "acknowledged_changes" if outcome.accepted else "operator_races_lost"
        self._history.counts[name] += 1

    def _record(
        self,
        called_s: float,
        request: SettingsRequest,
        version: int,
        accepted: bool,
        replayed: bool = False,
    ) -> None:
        returned_s = self._machine.monotonic_s()
        answer = SettingsAnswer(version, accepted, replayed)
        self._history.settings.append(Operation(called_s, returned_s, request, answer))


def audit_settings(control: ControlClient, history: History) -> None:
    """Read the whole settings and their history at the end of a run; blocks."""
    records = control.query(
        ROOT_GROUP, GetHistory(limit=HISTORY_LIMIT), list[ChangeRecord], AUDIT_TIMEOUT_S
    )
    if not isinstance(records, Failure):
        history.audited_changes = records
    delta = control.query(ROOT_GROUP, GetSettings(after_version=0), SettingsDelta, AUDIT_TIMEOUT_S)
    if not isinstance(delta, Failure):
        history.audited_version = delta.version
        history.audited_settings = settings_content(delta.rows)


def settings_content(rows: list[SettingRow]) -> dict[str, object]:
    """Return the leaves that a complete set of rows holds."""
    return {row.path: row.value for row in rows if not row.deleted}
