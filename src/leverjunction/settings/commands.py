"""Commands, queries and replies of the root group's settings state machine."""

from __future__ import annotations

import msgspec

from leverjunction.wire.messages import SettingRow


class LeafChange(msgspec.Struct, frozen=True):
    """A changed leaf: its new value, or its deletion."""

    path: str
    value: object = None
    deleted: bool = False


class ApplyChange(msgspec.Struct, frozen=True, kw_only=True, tag="apply_change"):
    """Change the settings by compare-and-set. Reply: ChangeOutcome.

    Attributes:
        change_id: Random id chosen by the sender; a resend gets the first outcome.
        base_version: Version that the change is based on.
        content_hash: Hash of the whole tree after the change.
        author: Name of the operator, stored in the history.
        changes: Changed leaves.
    """

    change_id: str
    base_version: int
    content_hash: str
    author: str
    changes: list[LeafChange]


class ChangeOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a change.

    Attributes:
        accepted: True when the change is committed as ``version``.
        version: Version created by the change, or the version in force if it was refused.
        replayed: True when the change was a resend and this is its first outcome.
        winner: Author of the version in force when the base version is outdated, else empty.
        winner_ms: Wall-clock time of that version, in milliseconds since the Unix epoch.
        differing_paths: Paths that changed between the sender's base and the current version.
        reason: Why the change was refused, in one sentence; empty when accepted.
    """

    accepted: bool
    version: int
    replayed: bool
    winner: str
    winner_ms: int
    differing_paths: list[str]
    reason: str


class PlacementFence(msgspec.Struct, frozen=True, kw_only=True, tag="placement_fence"):
    """Allocate the next fence for orders to back ends. Reply: Fence."""

    controller: str


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Fencing token for orders: term of the root group and an increasing sequence number.

    Neither number ever decreases.
    """

    term: int
    sequence: int


class GetSettings(msgspec.Struct, frozen=True, tag="get_settings"):
    """Query leaves changed after a version. Reply: SettingsDelta."""

    after_version: int


class SettingsDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Leaves changed after the requested version, up to and including ``version``."""

    version: int
    rows: list[SettingRow]


class GetHistory(msgspec.Struct, frozen=True, tag="get_history"):
    """Query accepted changes, newest first. Reply: list[ChangeRecord]."""

    limit: int = 50


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change in the history."""

    version: int
    change_id: str
    author: str
    wall_ms: int
    content_hash: str
    paths: list[str]


RootCommand = ApplyChange | PlacementFence
RootQuery = GetSettings | GetHistory
