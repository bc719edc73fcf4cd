"""Reads what ``testbed simulate`` is asked for; bad input gets a sentence with what there is."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypeVar

from testbed.simulation.breaks import RULES
from testbed.simulation.faults import FaultKind
from testbed.simulation.rule import Rule
from testbed.simulation.run import Plan
from testbed.simulation.scenario import SCENARIOS
from testbed.simulation.seeded.broken import SEEDED_RULES
from testbed.simulation.seeded.fault_kinds import BUSY_STOPS, SeededFaultKind
from testbed.simulation.seeded.routed.broken import ROUTED_RULES
from testbed.simulation.seeded.routed.broken_streams import STREAM_RULES
from testbed.simulation.seeded.shape import SHAPES
from testbed.simulation.variation import Source, Variation, variations

Named = TypeVar("Named", bound=StrEnum)

LIST = "list"
NO_SEED = -1
"""Stands for a seed that was not given; seeds are numbers from 0."""

Names = str | tuple[str, ...]
"""Names as fire gives them: it makes a tuple of those that are separated by commas."""

Positions = str | int | tuple[int, ...]


class BadArgumentError(Exception):
    """Says what was expected."""


@dataclass(frozen=True)
class Asked:
    """Histories to run.

    Attributes:
        plan: What they have in common.
        runs: Plan and seed of each.
    """

    plan: Plan
    runs: list[tuple[Plan, int]]


def listing(scenario: str, break_rule: str, faults: Names, source: Names) -> list[str]:
    """Return the lines that an option with the value ``list`` asks for; none without one."""
    if break_rule == LIST:
        rules = _rules(scenario).items()
        return [f"{name:36} {rule.summary} [{rule.caught_by}]" for name, rule in rules]
    if faults == LIST:
        return [kind.value for kind in _kinds(scenario)]
    return list(Source) if source == LIST else []


def read_plan(scenario: str, break_rule: str, faults: Names, draw: str, without: Positions) -> Plan:
    """Return the plan that the options name.

    Raises:
        BadArgumentError: One of them names nothing.
    """
    known = scenario in SCENARIOS or scenario in SHAPES
    if not known or (break_rule and break_rule not in _rules(scenario)):
        raise BadArgumentError(
            f"unknown scenario or rule; scenarios: {', '.join([*SCENARIOS, *SHAPES])}; --break list"
        )
    only = _members(_kinds(scenario), faults, f"unknown fault in {faults!r}; see --faults list")
    return Plan(scenario, break_rule, only, _variation(draw), _positions(without))


def read_runs(plan: Plan, seeds: int, first_seed: int, near: int, source: Names) -> Asked:
    """Return the histories: of seeds in a row, or beside the seed ``near``.

    Raises:
        BadArgumentError: There are none, or a source that is not known.
    """
    if seeds < 1:
        raise BadArgumentError(f"--seeds takes a number from 1, not {seeds}")
    unknown = f"unknown source in {source!r}; there are: {', '.join(Source)}"
    sources = _members(list(Source), source, unknown)
    if near == NO_SEED:
        return Asked(plan, [(plan, first_seed + number) for number in range(seeds)])
    beside = variations(seeds, sources)
    return Asked(plan, [(replace(plan, variation=one), near) for one in beside])


def _rules(scenario: str) -> dict[str, Rule]:
    if scenario not in SHAPES:
        return RULES
    shape = SHAPES[scenario]
    routed = ROUTED_RULES if shape.back_ends else {}
    return SEEDED_RULES | routed | (STREAM_RULES if shape.versions else {})


def _kinds(scenario: str) -> list[FaultKind | SeededFaultKind]:
    if scenario not in SHAPES:
        return list(FaultKind)
    shape = SHAPES[scenario]
    return [*shape.weights, *(BUSY_STOPS if shape.back_ends else ())]


def _members(kinds: Sequence[Named], names: Names, otherwise: str) -> tuple[Named, ...]:
    """Return the named members, none for an empty text."""
    given = names.split(",") if isinstance(names, str) else names
    known = {kind.value: kind for kind in kinds}
    try:
        return tuple(known[name] for name in given if name)
    except KeyError as error:
        raise BadArgumentError(otherwise) from error


def _variation(draw: str) -> Variation | None:
    if not draw:
        return None
    variation = Variation.from_name(draw)
    if variation is None:
        raise BadArgumentError(
            f"{draw!r} is no history: SOURCE:NUMBER, with a source of {', '.join(Source)}"
        )
    return variation


def _positions(given: Positions) -> tuple[int, ...]:
    numbers = [
        number for number in (given if isinstance(given, tuple) else (given,)) if number != ""
    ]
    if not all(isinstance(number, int) and number >= 0 for number in numbers):
        raise BadArgumentError(
            f"--without takes positions of faults from 0, separated by commas, not {given!r}"
        )
    return tuple(int(number) for number in numbers)
