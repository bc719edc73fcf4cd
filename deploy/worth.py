"""Says where the worth of days of the users' bench was lost, and compares two sets of plays.

``worth.py SITE REPORT...`` prints a line for each report that ``run --report`` wrote to a file
``DAY-SEED.json``: the worth, its parts, what each kind of request earned, the share of a bound.
``worth.py --entry JOURNAL-ENTRY`` prints for each day of a score how much each part and price took.
``worth.py --paired BEFORE AFTER`` compares two folders whose reports have the same names: mean
difference, spread, standard error.

The bound is a fluid one: each second the slots that are left serve on-line requests first, as the
product promises, and batch items with what remains, the first due first. It knows no queue, no
waiting, no lost run, no prices, and takes a run's length from the site's figures; a machine that
is cut off or starts again costs it nothing, a back end that is gone costs its slots.
"""

from __future__ import annotations

import json
import statistics
import sys
import tomllib
from collections import deque
from pathlib import Path
from typing import Any

USAGE = (
    "usage: worth.py SITE REPORT... | worth.py --entry JOURNAL-ENTRY"
    " | worth.py --paired BEFORE AFTER"
)

Site = dict[str, Any]
Report = dict[str, Any]

STEP_S = 0.2
LEAST_LOSS = 0.0015
"""Smaller ones are left out of what a day lost."""

TAKEN_AWAY = "scale_in"
CRASHED = "srv_crash"
"""Events of a report that take back ends away; the others leave as many as there were."""


class Kind:
    """One kind of request at the engines.

    Attributes:
        name: Its name.
        worth: What one in time earns.
        run_s: Time for which it has a slot.
        due_s: Time in which an item of a batch is due, 0 for an on-line request.
        items: Requests that come at once.
    """

    __slots__ = ("due_s", "items", "name", "run_s", "worth")

    def __init__(self, form: dict[str, Any], engine: dict[str, Any]) -> None:
        tokens = form["stream"]["pieces"]["mean"] * engine.get("stride", 1)
        self.name = form["name"]
        self.worth = float(form["worth"])
        self.run_s = (tokens * engine["step_ms"] + engine.get("first_ms", 0)) / 1000
        lot = form.get("lot")
        self.due_s = lot["run_aim_ms"] / 1000 if lot else 0.0
        self.items = lot["items"]["mean"] if lot else 1.0


def engine_service(site: Site) -> dict[str, Any]:
    """Return the service whose back ends are model engines."""
    return next(service for service in site["services"] if "llm" in service)


def rate_at(traffic: list[dict[str, Any]], name: str, at_s: float, thin: float) -> float:
    """Return how many requests of a kind come in a second, from all zones."""
    rate = 0.0
    for flow in traffic:
        mix = flow["mix"]
        steps = flow["shape"].get("steps", [[0.0, 1.0]])
        factor = [height for from_s, height in steps if from_s <= at_s][-1:]
        share = mix.get(name, 0.0) / sum(mix.values())
        rate += flow["per_s"] * share * (factor[0] if factor else 0.0)
    return rate * thin


def slots_at(site: Site, report: Report, at_s: float) -> float:
    """Return the slots of the engines that are there."""
    service = engine_service(site)
    count = sum(part["count"] for part in service["servers"]) * site.get("thin", 1.0)
    for event in report["events"]:
        kind = event["kind"].split()[0]
        gone = int(event["what"].split()[0]) if event["what"][:1].isdigit() else 0
        left_for_good = kind == TAKEN_AWAY and at_s >= event["to_s"]
        is_down = kind == CRASHED and event["at_s"] <= at_s < event["to_s"]
        if left_for_good or is_down:
            count -= gone
    return max(0.0, count * service["slots"])


def bound(site: Site, report: Report, day_name: str) -> float:
    """Return the share of the engines' worth that the fluid bound earns."""
    service = engine_service(site)
    kinds = [
        Kind(form, service["llm"]) for form in site["classes"] if form["service"] == service["name"]
    ]
    days = [day for day in site["day"] if day["name"] == day_name]
    traffic = (days[0] if days else site).get("traffic", site["traffic"])
    length_s = float(report["windows"][-1]["name"]) + 2
    queue: deque[list[float]] = deque()
    owed = earned = 0.0
    at_s = 0.0
    while at_s < length_s + max(kind.due_s for kind in kinds):
        free = slots_at(site, report, at_s) * STEP_S
        for kind in kinds:
            coming = kind.items * STEP_S if at_s < length_s else 0.0
            coming *= rate_at(traffic, kind.name, at_s, site.get("thin", 1.0)) if coming else 0.0
            owed += coming * kind.worth
            if kind.due_s:
                queue.append([at_s + kind.due_s, coming * kind.run_s, kind.worth / kind.run_s])
                continue
            served = min(free, coming * kind.run_s)
            free -= served
            earned += served / kind.run_s * kind.worth
        while queue and free > 0:
            due_s, left, worth_per_s = queue[0]
            part = min(free, left) if due_s > at_s else left
            earned += part * worth_per_s if due_s > at_s else 0.0
            free -= part if due_s > at_s else 0.0
            queue[0][1] -= part
            if queue[0][1] <= 1e-9:
                queue.popleft()
        at_s += STEP_S
    return earned / owed if owed else 1.0


def line(site: Site, path: Path) -> str:
    """Return what one report says."""
    report = json.loads(path.read_text())
    parts = " ".join(f"{name} {value:.3f}" for name, _, value in report["parts"])
    kinds = " ".join(f"{item['name']} {item['worth']:.3f}" for item in report["classes"])
    prices = sum(price for _, _, price in report["prices"])
    most = bound(site, report, path.stem.rpartition("-")[0])
    share = report["served"] / most if most else 0.0
    return (
        f"{path.stem}: worth {report['G']:.3f} = {parts}, less prices {prices:.3f}; {kinds};"
        f" bound {most:.3f}, share of it {share:.3f}"
    )


def losses(day: Report) -> str:
    """Return what one day of a score lost by each part, weighted, and by each price."""
    parts = [(f"{name}", weight * (1 - share)) for name, weight, share in day["parts"]]
    taken = [*parts, *((name, price) for name, _, price in day["prices"])]
    ranked = sorted(taken, key=lambda pair: pair[1], reverse=True)
    lost = ", ".join(f"{name} {loss:.3f}" for name, loss in ranked if loss >= LEAST_LOSS)
    return (
        f"{day['name']}: worth {day['G']:.3f}, failed {day['failed']:.4f}, refused"
        f" {day['refused']:.4f}; lost: {lost}"
    )


def paired(before: Path, after: Path) -> list[str]:
    """Return the comparison of two folders, by day and of all plays together."""
    differences: dict[str, list[float]] = {}
    for path in sorted(before.glob("*.json")):
        other = after / path.name
        if not other.exists():
            continue
        difference = json.loads(other.read_text())["G"] - json.loads(path.read_text())["G"]
        for name in (path.stem.rpartition("-")[0], "all"):
            differences.setdefault(name, []).append(difference)
    return [
        f"{name}: {len(found)} pairs, mean {statistics.mean(found):+.3f}, spread"
        f" {statistics.pstdev(found):.3f}, standard error"
        f" {statistics.pstdev(found) / len(found) ** 0.5:.3f}"
        for name, found in sorted(differences.items())
    ]


def main(arguments: list[str]) -> int:
    """Run the command; returns the exit status."""
    if len(arguments) == 3 and arguments[0] == "--paired":
        print("\n".join(paired(Path(arguments[1]), Path(arguments[2]))))
        return 0
    if len(arguments) == 2 and arguments[0] == "--entry":
        days = json.loads(Path(arguments[1]).read_text())["days"]
        print("\n".join(losses(day) for day in days))
        return 0
    if len(arguments) < 2:
        print(USAGE, file=sys.stderr)
        return 2
    site = tomllib.loads(Path(arguments[0]).read_text())
    for name in arguments[1:]:
        print(line(site, Path(name)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
