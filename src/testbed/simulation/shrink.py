"""Makes a failing history short: faults are taken away one by one while the same checker fails."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from testbed.simulation.result import SeedResult
from testbed.simulation.run import Plan, faults_of, run_seed


def failing_checkers(result: SeedResult) -> set[str]:
    """Return the names of the checkers that a run violated."""
    return {text.partition(":")[0] for text in result.violations}


def shrink(
    plan: Plan, seed: int, tell: Callable[[str], None] = lambda _line: None
) -> tuple[Plan, SeedResult]:
    """Return the plan with the fewest faults that still fails, and its result.

    Args:
        plan: A plan whose run of ``seed`` fails; returned as it is when it does not.
        seed: The seed.
        tell: Takes a line on each fault that is tried.
    """
    result = run_seed(plan, seed)
    wanted = failing_checkers(result)
    if not wanted:
        return plan, result
    faults = faults_of(plan, seed)
    # The last ones first: what comes after the failure is of no use and goes at once.
    for position in reversed(range(len(faults))):
        if position in plan.without:
            continue
        shorter = replace(plan, without=(*plan.without, position))
        tried = run_seed(shorter, seed)
        same = bool(wanted & failing_checkers(tried))
        tell(
            f"without {faults[position].kind} at {faults[position].at_s:.2f} s: "
            f"{'fails all the same' if same else 'passes, stays in'}"
        )
        if same:
            plan, result = shorter, tried
    return plan, result
