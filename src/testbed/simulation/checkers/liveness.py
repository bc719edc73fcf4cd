"""Liveness: some seconds after the last fault everything moves again."""

from __future__ import annotations

from testbed.simulation.checkers.base import Finding
from testbed.simulation.history import History


class MovesAgain:
    """After the last fault each group commits and each gateway has the newest settings.

    A group can do so only with a majority of its voters' disks. Whether they are there is read off
    the disks, not from what the product says of itself.
    """

    name = "moves_again_after_the_last_fault"

    def check(self, history: History) -> Finding:
        """Check the groups some seconds into the calm, and the gateways at its end."""
        finding = Finding()
        for group in history.groups_at_rest:
            finding.expect(
                group.commits or group.whole_voters < group.quorum,
                f"group {group.name} has no leader that commits at {group.moment_s:.1f} s, with "
                f"{group.whole_voters} whole disks of a quorum of {group.quorum}",
            )
        newest = max((entry.version for entry in history.in_force), default=0)
        for gateway in {entry.gateway for entry in history.in_force}:
            held = max(entry.version for entry in history.in_force if entry.gateway == gateway)
            finding.expect(
                held == newest, f"{gateway} ends with version {held}, another has {newest}"
            )
        return finding
