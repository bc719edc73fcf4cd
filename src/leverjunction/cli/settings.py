"""``leverjunction settings``: check, plan, apply, show, explain, history."""

from __future__ import annotations

import getpass
from pathlib import Path
from uuid import uuid4

import msgspec
import yaml

from leverjunction.cli.apply import apply_plan, report_outcome, wait_in_force
from leverjunction.cli.command import command, number, operators_command
from leverjunction.cli.explain import explain_path
from leverjunction.cli.options import Options
from leverjunction.cli.output import (
    ExitCode,
    print_failure,
    print_json,
    print_progress,
    print_table,
    when,
)
from leverjunction.cli.pending import PendingRecord, default_folder
from leverjunction.cli_client import OperatorClient
from leverjunction.clock import steady_s
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.settings.change import Plan, PlannedLeaf, plan_change, to_command
from leverjunction.settings.commands import ApplyChange, ChangeRecord, SettingsDelta
from leverjunction.settings.files import BadSettings, LoadedSettings, load_settings
from leverjunction.settings.flatten import content_hash, encode_value, leaves_of, unflatten

DEFAULT_WAIT_S = "30"


class PlanView(msgspec.Struct, frozen=True, kw_only=True):
    """A plan as ``--json`` prints it."""

    base_version: int
    content_hash: str
    changes: list[PlannedLeaf]


class SettingsCommands:
    """Check, plan, apply and read the settings tree."""

    def __init__(self, options: Options) -> None:
        """Use the shared options."""
        self._options = options

    @command
    def check(self, directory: str) -> int:
        """Check a directory of settings files; nothing is sent anywhere.

        It needs no control process and no token; --json prints the findings as JSON.

        Args:
            directory: Directory of YAML files.
        """
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        if self._options.as_json:
            print_json({"leaves": len(loaded.leaves), "content_hash": content_hash(loaded.leaves)})
        else:
            print(f"{directory}: {len(loaded.leaves)} leaves, no problem found")
        return ExitCode.OK

    @operators_command
    def plan(self, directory: str) -> int:
        """Show what applying a directory would change; changes nothing.

        Args:
            directory: Directory of YAML files.
        """
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        in_force = fetch(client)
        if isinstance(in_force, Failure):
            return print_failure(in_force)
        plan = plan_change(in_force, loaded.leaves)
        self._print_plan(plan, loaded)
        return ExitCode.OK

    @operators_command
    def apply(
        self,
        directory: str,
        wait: bool = False,
        base: str = "",
        author: str = "",
        wait_s: str = DEFAULT_WAIT_S,
    ) -> int:
        """Apply a directory of settings files as one change.

        Args:
            directory: Directory of YAML files.
            wait: Return only when every live gateway has the version in force.
            base: Version that was reviewed, as ``plan`` prints it; conflict if another is in force.
            author: Name for the record; the user's by default.
            wait_s: Longest wait, in seconds.
        """
        longest_s = number(wait_s, "--wait_s", float)
        if isinstance(longest_s, Failure):
            return print_failure(longest_s)
        reviewed = number(base, "--base", int) if base else None
        if isinstance(reviewed, Failure):
            return print_failure(reviewed)
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        pending = PendingRecord(
            default_folder(), str(Path(directory).resolve()), *self._options.control
        )
        change = self._change(client, loaded, pending, reviewed, author or getpass.getuser())
        if isinstance(change, Failure):
            return print_failure(change)
        outcome = apply_plan(client, change, pending)
        code = report_outcome(outcome, change, client, directory, self._options.as_json)
        if isinstance(outcome, Failure) or code is not ExitCode.OK or not wait:
            return code
        return wait_in_force(client, outcome.version, steady_s() + longest_s)

    @operators_command
    def show(self, path: str = "") -> int:
        """Show the settings in force as YAML.

        Args:
            path: Part of the tree, such as services/summaries; all of it by default.
        """
        in_force = self._fetch()
        if isinstance(in_force, Failure):
            return print_failure(in_force)
        leaves = leaves_of(in_force.rows)
        below = path.strip("/") + "/" if path.strip("/") else ""
        shown = {
            key: value
            for key, value in leaves.items()
            if key.startswith(below) or key == below.rstrip("/")
        }
        if not shown and below:
            print_progress(f"nothing is set at {path}")
            return ExitCode.FAILED
        if self._options.as_json:
            print_json({"version": in_force.version, "settings": unflatten(shown)})
        else:
            print(f"# version {in_force.version}")
            print(yaml.safe_dump(unflatten(shown), sort_keys=True), end="")
        return ExitCode.OK

    @operators_command
    def explain(self, path: str, zone: str = "") -> int:
        """Tell which ancestor gives each value at a place in the tree.

        Args:
            path: Service, model, adapter or tenant, such as services/S/models/M or tenants/T;
                a leaf of one shows this leaf only.
            zone: Zone to explain a service for; by default one row for each zone that differs.
        """
        in_force = self._fetch()
        if isinstance(in_force, Failure):
            return print_failure(in_force)
        explained = explain_path(leaves_of(in_force.rows), path.strip("/"), zone)
        if isinstance(explained, Failure):
            return print_failure(explained)
        if self._options.as_json:
            print_json(explained)
            return ExitCode.OK
        print_table(
            f"{path} (version {in_force.version})",
            ["zone", "leaf", "value", "given by", "overrides"],
            [
                [
                    item.zone or "any",
                    item.inherited.leaf,
                    encode_value(item.inherited.value),
                    item.inherited.origin,
                    " ".join(item.inherited.overridden),
                ]
                for item in explained
            ],
        )
        return ExitCode.OK

    @operators_command
    def history(self, limit: str = "20") -> int:
        """List accepted changes, newest first.

        Args:
            limit: Most changes to list.
        """
        most = number(limit, "--limit", int)
        if isinstance(most, Failure):
            return print_failure(most)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        parameters = {"limit": str(most)}
        records = client.get("/operator/settings/history", list[ChangeRecord], parameters)
        if isinstance(records, Failure):
            return print_failure(records)
        if self._options.as_json:
            print_json(records)
            return ExitCode.OK
        print_table(
            "changes",
            ["version", "when (UTC)", "author", "paths"],
            [
                [record.version, when(record.wall_ms), record.author, _summary(record.paths)]
                for record in records[:most]
            ],
        )
        return ExitCode.OK

    def _fetch(self) -> SettingsDelta | Failure:
        client = self._options.client()
        return client if isinstance(client, Failure) else fetch(client)

    def _change(
        self,
        client: OperatorClient,
        loaded: LoadedSettings,
        pending: PendingRecord,
        base: int | None,
        author: str,
    ) -> ApplyChange | Failure:
        """Return the change to send: the unanswered one for the same tree, or else a new one."""
        unanswered = pending.load(ApplyChange)
        if unanswered and unanswered.content_hash == content_hash(loaded.leaves):
            print_progress(f"resending change {unanswered.change_id}, which was not answered")
            return unanswered
        if unanswered:
            print_progress(
                f"change {unanswered.change_id} was not answered and the files differ from it: "
                "planning anew"
            )
        in_force = fetch(client)
        if isinstance(in_force, Failure):
            return in_force
        plan = plan_change(in_force, loaded.leaves)
        if base is not None and base != in_force.version and not plan.leaves:
            return Failure(
                kind=FailureKind.CONFLICT,
                reason=f"version {in_force.version} is in force, not {base}; it already holds what "
                "the files say",
                step=Step.PROPOSING,
            )
        if base is not None:
            plan = msgspec.structs.replace(plan, base_version=base)
        return to_command(plan, uuid4().hex, author)

    def _print_problems(self, bad: BadSettings) -> ExitCode:
        for problem in bad.problems:
            print_progress(str(problem))
        if self._options.as_json:
            print_json({"problems": bad.problems})
        return ExitCode.BAD_INPUT

    def _print_plan(self, plan: Plan, loaded: LoadedSettings) -> None:
        if self._options.as_json:
            print_json(
                PlanView(
                    base_version=plan.base_version,
                    content_hash=plan.content_hash,
                    changes=plan.leaves,
                )
            )
            return
        for leaf in plan.leaves:
            place = loaded.locations.get(leaf.change.path)
            print(_describe(leaf) + (f"  ({place})" if place else ""))
        print(f"{len(plan.leaves)} changes to base version {plan.base_version}")


def fetch(client: OperatorClient) -> SettingsDelta | Failure:
    """Return all settings in force."""
    return client.get("/operator/settings", SettingsDelta, {"after": "0"})


def _describe(leaf: PlannedLeaf) -> str:
    change = leaf.change
    if change.deleted:
        return f"- {change.path}: {encode_value(leaf.former)}"
    if leaf.added:
        return f"+ {change.path}: {encode_value(change.value)}"
    return f"~ {change.path}: {encode_value(leaf.former)} -> {encode_value(change.value)}"


def _summary(paths: list[str], most: int = 3) -> str:
    named = ", ".join(paths[:most])
    return named if len(paths) <= most else f"{named} and {len(paths) - most} more"
