"""Result of one seed, and the report over many."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class SeedResult:
    """What one run showed.

    Attributes:
        seed: The seed.
        violations: ``checker: sentence`` for each violated promise.
        checks: Facts checked, by checker.
        faults: Faults that really struck, by kind.
        counts: Other counts, such as acknowledged items and refusals checked.
        cpu_s: Processor time of the run.
        digest: Hash of the record; the same for every run of the seed.
        variation: Name of what was drawn otherwise than in the seed's own history.
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    checks: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    cpu_s: float = 0.0
    digest: str = ""
    variation: str = ""


@dataclass
class Report:
    """Sum over the seeds of one command.

    Attributes:
        scenario: Scenario that was run.
        broken_rule: Rule that was broken on purpose, empty for none.
        failing: Results of the seeds that violated a promise.
        digests: Hash of each history; as many as there were distinct ones.
    """

    scenario: str
    broken_rule: str = ""
    seeds: int = 0
    failing: list[SeedResult] = field(default_factory=list)
    digests: set[str] = field(default_factory=set)
    checks: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    cpu_s: float = 0.0

    def add(self, result: SeedResult) -> None:
        """Add the result of one seed."""
        self.seeds += 1
        self.digests.add(result.digest)
        self.checks.update(result.checks)
        self.faults.update(result.faults)
        self.counts.update(result.counts)
        self.cpu_s += result.cpu_s
        if result.violations:
            self.failing.append(result)

    def as_json(self) -> dict[str, object]:
        """Return the object that ``--json`` writes."""
        return {
            "scenario": self.scenario,
            "broken_rule": self.broken_rule,
            "seeds": self.seeds,
            "violations": sum(len(result.violations) for result in self.failing),
            "failing_seeds": [
                {
                    "seed": result.seed,
                    "variation": result.variation,
                    "violations": result.violations,
                }
                for result in self.failing
            ],
            "checks": sum(self.checks.values()),
            "checks_by_promise": dict(self.checks),
            "faults": {str(kind): count for kind, count in sorted(self.faults.items())},
            "counts": dict(sorted(self.counts.items())),
            "cpu_s": round(self.cpu_s, 1),
        }
