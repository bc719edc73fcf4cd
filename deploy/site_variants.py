"""Writes variants of a site file of the users' bench: deployments that nobody here has seen.

``site_variants.py SITE FOLDER`` writes one site file for each variant, with the wire file that the
site names beside it; ``hunt`` then plays mixed days on each. Only what a deployment may differ in
is changed: machines, disks, links, bounds, back ends and traffic.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from toml_text import to_document

Site = dict[str, Any]
Change = Callable[[Site], None]

VARIANTS: dict[str, Change] = {}


def _variant(change: Change) -> Change:
    VARIANTS[change.__name__.strip("_").replace("_", "-")] = change
    return change


def _of_class(site: Site, name: str) -> list[dict[str, Any]]:
    return [item for item in site["machines"] if item["class"] == name]


def _scale_traffic(site: Site, factor: float) -> None:
    for day in (site, *site["day"]):
        for flow in day.get("traffic", []):
            flow["per_s"] *= factor


@_variant
def _twice_the_gateways(site: Site) -> None:
    for machine in _of_class(site, "front"):
        machine["count"] *= 2


@_variant
def _one_gateway_a_zone(site: Site) -> None:
    for machine in _of_class(site, "front"):
        machine["count"] = 1


@_variant
def _two_losses_five_stores(site: Site) -> None:
    site["tolerate"]["machines"] = 2
    for machine, count in zip(_of_class(site, "store"), (2, 2, 1), strict=False):
        machine["count"] = count


@_variant
def _little_memory(site: Site) -> None:
    for machine in site["machines"]:
        machine["memory_mb"] = 96 if machine["class"] == "front" else 120


@_variant
def _slow_processors(site: Site) -> None:
    for machine in site["machines"]:
        machine["cpu_share"] *= 0.6


@_variant
def _one_core(site: Site) -> None:
    for machine in site["machines"]:
        machine["cpu_share"] = min(1.0, machine["cpu_share"] * machine["cores"])
        machine["cores"] = 1


@_variant
def _few_slots(site: Site) -> None:
    for service in site["services"]:
        service["slots"] = max(2, service["slots"] // 2)
        if "llm" in service:
            service["llm"]["batch"] = service["slots"]


@_variant
def _few_connections(site: Site) -> None:
    for service in site["services"]:
        service["conn_cap"] = 3 * service["slots"]


@_variant
def _slow_disks(site: Site) -> None:
    for machine in site["machines"]:
        if "disk" in machine:
            machine["disk"]["sync_ms"] = 10.0


@_variant
def _far_zones(site: Site) -> None:
    site["net"]["cross_zone_ms"] = 6.0
    site["net"]["client_ms"] = 12.0


@_variant
def _narrow_links(site: Site) -> None:
    for machine in site["machines"]:
        machine["link_mbps"] = 30.0


@_variant
def _tight_bounds(site: Site) -> None:
    site["bounds"].update(drain_ms=1300, config_ms=1300, grace_s=6.0)
    site["discovery"]["beat_ms"] = 600


@_variant
def _slow_words_of_runners(site: Site) -> None:
    site["discovery"]["beat_ms"] = 2500


@_variant
def _all_streams_resumable(site: Site) -> None:
    for kind in site["classes"]:
        kind["attempts"] = 3
        if "stream" in kind:
            kind["stream"]["resume"] = True


@_variant
def _half_again_the_traffic(site: Site) -> None:
    _scale_traffic(site, 1.5)


@_variant
def _other_names(site: Site) -> None:
    for place in site["zones"]:
        _rename(site, place["name"], "z-" + place["name"][::-1])


def _rename(value: Any, old: str, new: str) -> None:
    """Replace a name wherever it is a whole text."""
    entries = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in list(entries):
        if item == old:
            value[key] = new
        elif isinstance(item, dict | list):
            _rename(item, old, new)


def main(arguments: list[str]) -> int:
    """Write the variants; return the exit status."""
    if len(arguments) != 2:
        print("usage: site_variants.py SITE FOLDER", file=sys.stderr)
        return 2
    path, folder = Path(arguments[0]), Path(arguments[1])
    folder.mkdir(parents=True, exist_ok=True)
    for name, change in VARIANTS.items():
        site = tomllib.loads(path.read_text(encoding="utf8"))
        change(site)
        site["name"] = f"{site['name']}-{name}"
        (folder / f"{name}.toml").write_text(to_document(site), encoding="utf8")
    wire = path.parent / str(site.get("wire", ""))
    if wire.is_file():
        shutil.copyfile(wire, folder / wire.name)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
