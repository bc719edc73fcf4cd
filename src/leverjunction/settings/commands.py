"""Commands, queries and replies of the root group's settings state machine."""

from __future__ import annotations

import msgspec

from leverjunction.wire.messages import SettingRow


class LeafChange(msgspec.Struct, frozen=True):
    """One changed leaf: its new value, or its deletion."""

    path: str
    value: object = None
    deleted: bool = False


class ApplyChange(msgspec.Struct, frozen=True, kw_only=True, tag="apply_change"):
    """Change the settings by compare-and-set. Reply: ChangeOutcome.

    Attributes:
        change_id: Random id chosen by the sender; a resend gets the first outcome.
        base_version: Version that the sender compared against.
        content_hash: Hash of the whole tree after the change.
        author: Name of the operator, for the record.
        changes: Changed leaves.
    """

    change_id: str
    base_version: int
    content_hash: str
    author: str
    changes: list[LeafChange]


class ChangeOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change.

    Attributes:
        accepted: True when the change is committed as ``version``.
        version: Version of the change; for a refused one the version now in force.
        replayed: True when this is the outcome of an earlier send.
        winner: Author of the change that came first, when refused.
        winner_ms: Wall-clock time of that change, in milliseconds.
        differing_paths: Paths that changed between the sender's base and the current version.
        reason: One sentence, empty when accepted.
    """

    accepted: bool
    version: int
    replayed: bool
    winner: str
    winner_ms: int
    differing_paths: list[str]
    reason: str


class PlacementFence(msgspec.Struct, frozen=True, kw_only=True, tag="placement_fence"):
    """Take the next fence for orders to back ends. Reply: Fence. Sequences only rise."""

    controller: str


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Order fence: term of the root group's leader and a sequence that only rises."""

    term: int
    sequence: int


class GetSettings(msgspec.Struct, frozen=True, tag="get_settings"):
    """Query leaves changed after a version. Reply: SettingsDelta."""

    after_version: int


class SettingsDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Leaves changed after the asked version, up to ``version``."""

    version: int
    rows: list[SettingRow]


class GetHistory(msgspec.Struct, frozen=True, tag="get_history"):
    """Query accepted changes, newest first. Reply: list[ChangeRecord]."""

    limit: int = 50


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change."""

    version: int
    change_id: str
    author: str
    wall_ms: int
    content_hash: str
    paths: list[str]


RootCommand = ApplyChange | PlacementFence
RootQuery = GetSettings | GetHistory
