"""Plans a settings change: computes the changed leaves and builds the command. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leverjunction.settings.commands import ApplyChange, LeafChange, SettingsDelta
from leverjunction.settings.flatten import Leaves, content_hash, difference, leaves_of
from leverjunction.wire.messages import GatewayState


class PlannedLeaf(msgspec.Struct, frozen=True, kw_only=True):
    """A changed leaf with its previous value; ``added`` is True when there was none."""

    change: LeafChange
    former: object
    added: bool


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The changes that turn the settings in force into the desired settings.

    Attributes:
        base_version: Version that the plan is based on.
        content_hash: Hash of the whole tree after the change.
        leaves: Changed leaves, sorted by path.
    """

    base_version: int
    content_hash: str
    leaves: list[PlannedLeaf]


def plan_change(in_force: SettingsDelta, wanted: Leaves) -> Plan:
    """Return the plan that turns the settings in force into the desired leaves.

    Args:
        in_force: All leaves in force, as queried with ``after_version`` 0.
        wanted: Desired leaves, from the operators' files.
    """
    current = leaves_of(in_force.rows)
    planned = [
        PlannedLeaf(change=leaf, former=current.get(leaf.path), added=leaf.path not in current)
        for leaf in difference(current, wanted)
    ]
    return Plan(base_version=in_force.version, content_hash=content_hash(wanted), leaves=planned)


def to_command(plan: Plan, change_id: str, author: str) -> ApplyChange:
    """Return the command that applies a plan; resends must use the same change id."""
    return ApplyChange(
        change_id=change_id,
        base_version=plan.base_version,
        content_hash=plan.content_hash,
        author=author,
        changes=[leaf.change for leaf in plan.leaves],
    )


def gateways_behind(gateways: Iterable[GatewayState], version: int) -> list[GatewayState]:
    """Return the gateways on which a version is not in force yet.

    Stopping gateways are left out, since they accept no new requests.
    """
    return [
        gateway
        for gateway in gateways
        if not gateway.stopping and gateway.settings_version < version
    ]
