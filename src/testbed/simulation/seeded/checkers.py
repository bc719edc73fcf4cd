"""The promises of a configuration, from what operators and gateways saw."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

from testbed.simulation.checkers.base import Finding, overlaps
from testbed.simulation.history import Span
from testbed.simulation.seeded.history import Acknowledged, InForce, SeededHistory

IN_FORCE_S = 2.0
"""Time from an acknowledgement to its being in force, as the deployments promise it."""

CONTACT_S = 3.0
"""Time after a disturbance from which the promise holds again."""

STRETCH_S = 5.0
"""The promise is longer by this for a well gateway while control processes are disturbed, a
majority of which runs all the time."""

READ_S = 2.0


class RoutesInForce:
    """An accepted table is in force at each well gateway within the promised time."""

    name = "routes_in_force"

    def check(self, history: SeededHistory) -> Finding:
        """Check each acknowledgement at each gateway."""
        finding = Finding()
        for gateway in history.gateway_disturbed:
            for one in history.acknowledged:
                bound_s = self._bound_s(history, gateway, one)
                if bound_s is None or one.at_s + bound_s > history.ended_s:
                    continue
                held = history.version_at(gateway, one.at_s + bound_s)
                finding.expect(
                    held >= one.version,
                    f"{gateway} has version {held} at {one.at_s + bound_s:.3f} s; "
                    f"version {one.version} was acknowledged at {one.at_s:.3f} s",
                )
        return finding

    def _bound_s(self, history: SeededHistory, gateway: str, one: Acknowledged) -> float | None:
        """Return the time that an acknowledgement has, None while the gateway is not well."""
        begin_s, end_s = one.at_s - CONTACT_S, one.at_s + IN_FORCE_S
        own = history.gateway_disturbed[gateway]
        if overlaps(own, begin_s, end_s):
            return None
        control = history.control_disturbed
        if not any(overlaps(spans, begin_s, end_s) for spans in control.values()):
            return IN_FORCE_S
        end_s += STRETCH_S
        if overlaps(own, begin_s, end_s) or not majority_well(control, begin_s, end_s):
            return None
        return IN_FORCE_S + STRETCH_S


class NeverBack:
    """A gateway's version never falls, within one life and over its restarts."""

    name = "routes_never_back"

    def check(self, history: SeededHistory) -> Finding:
        """Check the order of versions at each gateway."""
        finding = Finding()
        for gateway in history.gateway_disturbed:
            entries = [one for one in history.in_force if one.gateway == gateway]
            for before, after in pairwise(entries):
                finding.expect(
                    after.version >= before.version,
                    f"{gateway} went from {before.version} to {after.version} "
                    f"at {after.at_s:.3f} s",
                )
            for first in _first_of_each_life(entries):
                began_s = history.started[gateway, first.incarnation]
                newest = history.newest_acknowledged(began_s)
                finding.expect(
                    first.version >= newest,
                    f"{gateway} started at {began_s:.3f} s with version {first.version}, "
                    f"{newest} was acknowledged before",
                )
        return finding


class ReadsAreFresh:
    """A read at any machine is never older than the promised time."""

    name = "reads_are_fresh"

    def check(self, history: SeededHistory) -> Finding:
        """Check each answer to a read."""
        finding = Finding()
        for read in history.reads:
            newest = history.newest_acknowledged(read.called_s - READ_S)
            finding.expect(
                read.version >= newest,
                f"{read.machine} answers version {read.version} at {read.called_s:.3f} s; "
                f"{newest} was acknowledged {READ_S:.0f} s before",
            )
        return finding


class MovesAgain:
    """After the last fault changes are accepted, and all gateways have the newest."""

    name = "moves_again_after_the_last_fault"

    def check(self, history: SeededHistory) -> Finding:
        """Check the end of the run."""
        finding = Finding()
        last_s = max((one.at_s for one in history.acknowledged), default=0.0)
        finding.expect(
            last_s > history.ended_s - CONTACT_S - IN_FORCE_S - STRETCH_S,
            f"nothing was accepted after {last_s:.3f} s",
        )
        newest = history.newest_acknowledged(history.ended_s - IN_FORCE_S)
        for gateway in history.gateway_disturbed:
            held = history.version_at(gateway, history.ended_s)
            finding.expect(held >= newest, f"{gateway} ends with version {held}, not {newest}")
        return finding


class OneTablePerVersion:
    """All gateways have the same table under a version, and no invalid one."""

    name = "one_table_per_version"

    def check(self, history: SeededHistory) -> Finding:
        """Check the routes of each version at each gateway."""
        finding = Finding()
        known: dict[int, InForce] = {}
        for entry in history.in_force:
            first = known.setdefault(entry.version, entry)
            finding.expect(
                entry.routes == first.routes,
                f"version {entry.version} has the routes {entry.routes} at {entry.gateway} and "
                f"{first.routes} at {first.gateway}",
            )
            finding.expect(
                len(set(entry.routes)) == len(entry.routes),
                f"{entry.gateway} has an invalid table in force, version {entry.version}",
            )
        return finding


def majority_well(control: dict[str, list[Span]], begin_s: float, end_s: float) -> bool:
    """Return whether at most a minority of the control processes was disturbed in a stretch."""
    disturbed = sum(overlaps(spans, begin_s, end_s) for spans in control.values())
    return disturbed <= (len(control) - 1) // 2


def _first_of_each_life(entries: Iterable[InForce]) -> list[InForce]:
    first: dict[int, InForce] = {}
    for entry in entries:
        first.setdefault(entry.incarnation, entry)
    return list(first.values())


CHECKERS = (RoutesInForce(), NeverBack(), ReadsAreFresh(), MovesAgain(), OneTablePerVersion())
