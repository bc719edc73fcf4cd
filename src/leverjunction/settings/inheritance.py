"""Inheritance in the settings tree: which ancestor gives each value.

``serving`` blocks inherit along defaults -> region -> zone -> service -> model -> adapter, the
nearest one that sets a leaf winning; tenants' limits along defaults -> tenant. The functions work
on any lookup of leaves by path, so that the processes, ``explain`` and the tests share them.
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
        origin: Path of the leaf that gives it, or ``built-in``.
        overridden: Farther ancestors' paths that also set the leaf, nearest first.
    """

    leaf: str
    value: object
    origin: str
    overridden: list[str]


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """What a serving block is asked for; empty parts are left out of the chain."""

    service: str = ""
    region: str = ""
    zone: str = ""
    model: str = ""
    adapter: str = ""


def serving_chain(place: Place) -> list[str]:
    """Return the paths of the serving blocks that apply to a place, nearest first."""
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
    """Return the paths of the limit blocks that apply to a tenant, nearest first."""
    return [f"tenants/{tenant}/limits", "defaults/limits"]


def inherit(lookup: Lookup, chain: list[str], leaf: str, built_in: object) -> Inherited:
    """Return the value of one leaf along a chain, with its origin."""
    setters = [f"{block}/{leaf}" for block in chain if lookup(f"{block}/{leaf}") is not None]
    if not setters:
        return Inherited(leaf=leaf, value=built_in, origin=BUILT_IN, overridden=[])
    return Inherited(leaf=leaf, value=lookup(setters[0]), origin=setters[0], overridden=setters[1:])


def explain_serving(lookup: Lookup, place: Place) -> list[Inherited]:
    """Return every serving leaf of a place with its origin."""
    chain = serving_chain(place)
    return [inherit(lookup, chain, leaf, value) for leaf, value in SERVING_BUILT_IN.items()]


def explain_limits(lookup: Lookup, tenant: str) -> list[Inherited]:
    """Return every limit of a tenant with its origin."""
    chain = limits_chain(tenant)
    return [inherit(lookup, chain, leaf, value) for leaf, value in LIMITS_BUILT_IN.items()]
