"""Plans of a settings change: what differs, and the command that makes it so. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leverjunction.settings.commands import ApplyChange, LeafChange, SettingsDelta
from leverjunction.settings.flatten import Leaves, content_hash, difference, leaves_of
from leverjunction.wire.messages import GatewayState


class PlannedLeaf(msgspec.Struct, frozen=True, kw_only=True):
    """One changed leaf with its former value; ``added`` when there was none."""

    change: LeafChange
    former: object
    added: bool


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What turns the settings in force into the wanted ones.

    Attributes:
        base_version: Version that the plan was made against.
        content_hash: Hash of the whole tree after the change.
        leaves: Changed leaves, in order of path.
    """

    base_version: int
    content_hash: str
    leaves: list[PlannedLeaf]


def plan_change(in_force: SettingsDelta, wanted: Leaves) -> Plan:
    """Return the plan that leads from the settings in force to the wanted leaves.

    Args:
        in_force: All leaves in force (asked for after version 0).
        wanted: Leaves of the operators' files.
    """
    current = leaves_of(in_force.rows)
    planned = [
        PlannedLeaf(change=leaf, former=current.get(leaf.path), added=leaf.path not in current)
        for leaf in difference(current, wanted)
    ]
    return Plan(base_version=in_force.version, content_hash=content_hash(wanted), leaves=planned)


def to_command(plan: Plan, change_id: str, author: str) -> ApplyChange:
    """Return the command that makes a plan, under an id which names it in every resend."""
    return ApplyChange(
        change_id=change_id,
        base_version=plan.base_version,
        content_hash=plan.content_hash,
        author=author,
        changes=[leaf.change for leaf in plan.leaves],
    )


def gateways_behind(gateways: Iterable[GatewayState], version: int) -> list[GatewayState]:
    """Return the live gateways that do not have a version in force yet.

    A gateway that is stopping takes no new requests, so nothing has to come into force there.
    """
    return [
        gateway
        for gateway in gateways
        if not gateway.stopping and gateway.settings_version < version
    ]
