"""Validates the settings that would result from a proposed change. No I/O.

The command line validates the files before it plans a change, but any holder of the operators'
token may send a change directly. Once committed, an invalid tree would be in force at all gateways.
"""

from __future__ import annotations

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.checks import check_leaves
from leverjunction.settings.commands import ApplyChange, SettingsDelta
from leverjunction.settings.flatten import leaves_of

MAX_NAMED_FINDINGS = 20


def check_proposal(change: ApplyChange, in_force: SettingsDelta) -> Failure | None:
    """Return a failure if a change would make the settings invalid, else None.

    A change whose base is not the version in force is not validated: it is either a resend, which
    gets its first outcome, or is refused by the compare-and-set.

    Args:
        change: The proposed change.
        in_force: All settings in force, as queried with ``after_version`` 0.
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
        f"{finding.path}: expected {finding.expected}"
        + (f", got {finding.got}" if finding.got else "")
        for finding in findings[:MAX_NAMED_FINDINGS]
    )
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"the change would make the settings invalid ({len(findings)} faults): {named}",
        step=Step.PROPOSING,
        execution=Execution.NOT_RUN,
    )
