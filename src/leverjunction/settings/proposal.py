"""Check of a proposed change against the settings that it would be made on. Pure.

The command line checks the files before it plans, but any holder of the operators' token may send
a change. An invalid tree, once committed, would be in force at every gateway.
"""

from __future__ import annotations

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.settings.checks import check_leaves
from leverjunction.settings.commands import ApplyChange, SettingsDelta
from leverjunction.settings.flatten import leaves_of

MAX_NAMED_FINDINGS = 20


def check_proposal(change: ApplyChange, in_force: SettingsDelta) -> Failure | None:
    """Return why a change would make the settings invalid, None when it would not.

    A change on another base than the version in force is not checked: it is either a resend, which
    gets its first outcome, or is refused by the compare-and-set.

    Args:
        change: The proposed change.
        in_force: All settings in force (asked for after version 0).
    """
    if change.base_version != in_force.version:
        return None
    leaves = leaves_of(in_force.rows)
    for leaf in change.changes:
        if leaf.deleted:
            leaves.pop(leaf.path, None)
        else:
            leaves[leaf.path] = leaf.value
    findings = check_leaves(leaves)
    if not findings:
        return None
    named = "; ".join(
        f"{one.path}: expected {one.expected}" + (f", got {one.got}" if one.got else "")
        for one in findings[:MAX_NAMED_FINDINGS]
    )
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"the change would make the settings invalid ({len(findings)} faults): {named}",
        step=Step.PROPOSING,
    )
