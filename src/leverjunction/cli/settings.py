"""The ``leverjunction settings`` commands: check, plan, apply, show, explain and history."""

from __future__ import annotations

import getpass
from pathlib import Path
from uuid import uuid4

import msgspec
import yaml

from leverjunction.cli.apply import report_outcome, send_change, wait_until_in_force
from leverjunction.cli.command import command, operator_command, parse_number
from leverjunction.cli.explain import explain_path
from leverjunction.cli.options import Options
from leverjunction.cli.output import (
    ExitCode,
    format_utc,
    print_failure,
    print_json,
    print_progress,
    print_table,
)
from leverjunction.cli.pending import PendingRecord, default_state_folder
from leverjunction.cli_client import OperatorClient
from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.change import Plan, PlannedLeaf, plan_change, to_command
from leverjunction.settings.commands import ApplyChange, ChangeRecord, SettingsDelta
from leverjunction.settings.files import BadSettings, LoadedSettings, load_settings
from leverjunction.settings.flatten import content_hash, encode_value, leaves_of, unflatten

DEFAULT_WAIT_S = "30"


class PlanView(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON form of a plan, printed with ``--json``."""

    base_version: int
    content_hash: str
    changes: list[PlannedLeaf]


class SettingsCommands:
    """Check, plan, apply and read the settings tree."""

    def __init__(self, options: Options) -> None:
        """Store the options that all commands share."""
        self._options = options

    @command
    def check(self, directory: str) -> int:
        """Check a directory of settings files without sending anything.

        No control process or token is needed; --json prints the result as JSON.

        Args:
            directory: Directory of YAML files.
        """
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        if self._options.as_json:
            print_json({"leaves": len(loaded.leaves), "content_hash": content_hash(loaded.leaves)})
        else:
            print(f"{directory}: {len(loaded.leaves)} leaves, no problems found")
        return ExitCode.OK

    @operator_command
    def plan(self, directory: str) -> int:
        """Show what applying a directory would change, without changing anything.

        Args:
            directory: Directory of YAML files.
        """
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        current = fetch_settings(client)
        if isinstance(current, Failure):
            return print_failure(current)
        plan = plan_change(current, loaded.leaves)
        self._print_plan(plan, loaded)
        return ExitCode.OK

    @operator_command
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
            wait: Wait until the version is in force at every live gateway.
            base: Reviewed base version, as printed by ``plan``; a conflict if another is in force.
            author: Name recorded in the history; the login name by default.
            wait_s: Maximum time to wait with --wait, in seconds.
        """
        wait_limit_s = parse_number(wait_s, "--wait_s", float)
        if isinstance(wait_limit_s, Failure):
            return print_failure(wait_limit_s)
        base_version = parse_number(base, "--base", int) if base else None
        if isinstance(base_version, Failure):
            return print_failure(base_version)
        loaded = load_settings(Path(directory))
        if isinstance(loaded, BadSettings):
            return self._print_problems(loaded)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        pending = PendingRecord(
            default_state_folder(), str(Path(directory).resolve()), *self._options.control
        )
        change = self._prepare_change(
            client, loaded, pending, base_version, author or getpass.getuser()
        )
        if isinstance(change, Failure):
            return print_failure(change)
        outcome = send_change(client, change, pending)
        code = report_outcome(outcome, change, client, directory, self._options.as_json)
        if isinstance(outcome, Failure) or code is not ExitCode.OK or not wait:
            return code
        return wait_until_in_force(client, outcome.version, steady_s() + wait_limit_s)

    @operator_command
    def show(self, path: str = "") -> int:
        """Show the settings in force as YAML.

        Args:
            path: Path of a subtree, such as services/summaries; the whole tree by default.
        """
        current = self._fetch()
        if isinstance(current, Failure):
            return print_failure(current)
        leaves = leaves_of(current.rows)
        path_prefix = path.strip("/") + "/" if path.strip("/") else ""
        selected = {
            key: value
            for key, value in leaves.items()
            if key.startswith(path_prefix) or key == path_prefix.rstrip("/")
        }
        if not selected and path_prefix:
            print_progress(f"nothing is set at {path}")
            return ExitCode.FAILED
        if self._options.as_json:
            print_json({"version": current.version, "settings": unflatten(selected)})
        else:
            print(f"# version {current.version}")
            print(yaml.safe_dump(unflatten(selected), sort_keys=True), end="")
        return ExitCode.OK

    @operator_command
    def explain(self, path: str, zone: str = "") -> int:
        """Show which ancestor in the settings tree sets each value at a path.

        Args:
            path: Service, model, adapter or tenant, such as services/S/models/M or tenants/T;
                the path of a leaf shows only that leaf.
            zone: Zone in which to resolve a service's settings; by default all zones, with one row
                per zone where they differ.
        """
        current = self._fetch()
        if isinstance(current, Failure):
            return print_failure(current)
        explained = explain_path(leaves_of(current.rows), path.strip("/"), zone)
        if isinstance(explained, Failure):
            return print_failure(explained)
        if self._options.as_json:
            print_json(explained)
            return ExitCode.OK
        print_table(
            f"{path} (version {current.version})",
            ["zone", "leaf", "value", "set by", "overrides"],
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

    @operator_command
    def history(self, limit: str = "20") -> int:
        """List accepted changes, newest first.

        Args:
            limit: Maximum number of changes to list.
        """
        max_count = parse_number(limit, "--limit", int)
        if isinstance(max_count, Failure):
            return print_failure(max_count)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        parameters = {"limit": str(max_count)}
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
                [
                    record.version,
                    format_utc(record.wall_ms),
                    record.author,
                    _summarize_paths(record.paths),
                ]
                for record in records[:max_count]
            ],
        )
        return ExitCode.OK

    def _fetch(self) -> SettingsDelta | Failure:
        client = self._options.client()
        return client if isinstance(client, Failure) else fetch_settings(client)

    def _prepare_change(
        self,
        client: OperatorClient,
        loaded: LoadedSettings,
        pending: PendingRecord,
        base: int | None,
        author: str,
    ) -> ApplyChange | Failure:
        """Return the change to send: the saved one if its content is the same, else a new one."""
        saved_change = pending.load(ApplyChange)
        if saved_change and saved_change.content_hash == content_hash(loaded.leaves):
            print_progress(f"resending change {saved_change.change_id}, which got no response")
            return saved_change
        if saved_change:
            print_progress(
                f"change {saved_change.change_id} got no response, and the files have changed "
                "since: planning a new change"
            )
        current = fetch_settings(client)
        if isinstance(current, Failure):
            return current
        plan = plan_change(current, loaded.leaves)
        if base is not None and base != current.version and not plan.leaves:
            return Failure(
                kind=FailureKind.CONFLICT,
                reason=f"version {current.version} is in force, not {base}; it already matches the "
                "files",
                step=Step.PROPOSING,
                execution=Execution.NOT_RUN,
            )
        if base is not None:
            plan = msgspec.structs.replace(plan, base_version=base)
        return to_command(plan, uuid4().hex, author)

    def _print_problems(self, invalid: BadSettings) -> ExitCode:
        for problem in invalid.problems:
            print_progress(str(problem))
        if self._options.as_json:
            print_json({"problems": invalid.problems})
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
            print(_format_leaf(leaf) + (f"  ({place})" if place else ""))
        print(f"{len(plan.leaves)} changes to base version {plan.base_version}")


def fetch_settings(client: OperatorClient) -> SettingsDelta | Failure:
    """Return all settings in force, or the failure of the request."""
    return client.get("/operator/settings", SettingsDelta, {"after": "0"})


def _format_leaf(leaf: PlannedLeaf) -> str:
    change = leaf.change
    if change.deleted:
        return f"- {change.path}: {encode_value(leaf.former)}"
    if leaf.added:
        return f"+ {change.path}: {encode_value(change.value)}"
    return f"~ {change.path}: {encode_value(leaf.former)} -> {encode_value(change.value)}"


def _summarize_paths(paths: list[str], max_count: int = 3) -> str:
    named = ", ".join(paths[:max_count])
    return named if len(paths) <= max_count else f"{named} and {len(paths) - max_count} more"
