"""Inheritance in the settings tree: determines which ancestor provides each value.

``serving`` blocks inherit along defaults -> region -> zone -> service -> model -> adapter, and
tenant limits along defaults -> tenant. The most specific block that sets a leaf takes precedence.
The functions take any function that looks up a leaf by path, so that the processes, the ``explain``
command and the tests share them.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

BUILT_IN = "built-in"

SERVING_BUILT_IN: dict[str, object] = {
    "interference": 0.05,
    "deadline_s": 60.0,
    "queue_timeout_s": 5.0,
    "max_queue": 256,
    "max_running_per_runner": 64,
    "retry_budget_ratio": 0.1,
    "max_attempts": 3,
    "prefix_weight": 1.0,
    "online_priority": 8,
    "batch_priority": 1,
    "batch_max_running": 256,
    "batch_floor": 1,
    "batch_max_lost_runs": 5,
}

LIMITS_BUILT_IN: dict[str, object] = {
    "requests_per_s": 100.0,
    "burst": 200,
    "concurrency": 256,
    "max_job_items": 100_000,
}

Lookup = Callable[[str], object | None]


class Inherited(msgspec.Struct, frozen=True, kw_only=True):
    """A value with its origin.

    Attributes:
        leaf: Name of the leaf in its block, such as ``max_queue``.
        value: Value in force.
        origin: Path of the leaf that provides the value, or ``built-in``.
        overridden: Paths of less specific leaves that are overridden, most specific first.
    """

    leaf: str
    value: object
    origin: str
    overridden: list[str]


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Position in the tree to resolve serving settings for; empty parts are skipped."""

    service: str = ""
    region: str = ""
    zone: str = ""
    model: str = ""
    adapter: str = ""


def serving_chain(place: Place) -> list[str]:
    """Return the paths of the serving blocks that apply to a place, most specific first."""
    chain = ["defaults/serving"]
    if place.region:
        chain.append(f"regions/{place.region}/serving")
        if place.zone:
            chain.append(f"regions/{place.region}/zones/{place.zone}/serving")
    if place.service:
        service = f"services/{place.service}"
        chain.append(f"{service}/serving")
        if place.model:
            model = f"{service}/models/{place.model}"
            chain.append(f"{model}/serving")
            if place.adapter:
                chain.append(f"{model}/adapters/{place.adapter}/serving")
    chain.reverse()
    return chain


def limits_chain(tenant: str) -> list[str]:
    """Return the paths of the limit blocks that apply to a tenant, most specific first."""
    return [f"tenants/{tenant}/limits", "defaults/limits"]


def inherit(lookup: Lookup, chain: list[str], leaf: str, built_in: object) -> Inherited:
    """Resolve one leaf along a chain of blocks and return its value and origin."""
    setters = [f"{block}/{leaf}" for block in chain if lookup(f"{block}/{leaf}") is not None]
    if not setters:
        return Inherited(leaf=leaf, value=built_in, origin=BUILT_IN, overridden=[])
    return Inherited(leaf=leaf, value=lookup(setters[0]), origin=setters[0], overridden=setters[1:])


def explain_serving(lookup: Lookup, place: Place) -> list[Inherited]:
    """Return all serving settings of a place with their origins."""
    chain = serving_chain(place)
    return [inherit(lookup, chain, leaf, value) for leaf, value in SERVING_BUILT_IN.items()]


def explain_limits(lookup: Lookup, tenant: str) -> list[Inherited]:
    """Return all limits of a tenant with their origins."""
    chain = limits_chain(tenant)
    return [inherit(lookup, chain, leaf, value) for leaf, value in LIMITS_BUILT_IN.items()]
