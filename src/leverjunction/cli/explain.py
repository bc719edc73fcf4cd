"""Computes the output of ``settings explain``: which ancestor sets each value. No I/O."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.flatten import PATH_SEPARATOR, Leaves
from leverjunction.settings.inheritance import (
    LIMITS_BUILT_IN,
    SERVING_BUILT_IN,
    Inherited,
    Place,
    explain_limits,
    explain_serving,
)
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow


class Explained(msgspec.Struct, frozen=True, kw_only=True):
    """An inherited value; ``zone`` is empty when the value is the same in every zone."""

    zone: str
    inherited: Inherited


class _Target(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed path: a place in the serving settings or a tenant; an empty ``leaf`` means all."""

    place: Place = Place()
    tenant: str = ""
    leaf: str = ""


def explain_path(leaves: Leaves, path: str, zone: str = "") -> list[Explained] | Failure:
    """Return each value at a path with the ancestor that sets it.

    Args:
        leaves: All leaves of the settings in force.
        path: Path of a service, model, adapter or tenant, or of one of their leaves.
        zone: Zone in which to resolve a service's settings; empty for all zones.

    Returns:
        The values, or a failure if the path or the zone is invalid or nothing is set there.
    """
    settings = ResolvedSettings.from_rows(
        [SettingRow(key, value, 1) for key, value in leaves.items()]
    )
    target = _parse_target(path)
    if target is None:
        return _bad_request(f"{path}: expected {_describe_expected(path)}")
    if not _exists(leaves, _entity_path(target)):
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"nothing is set at {_entity_path(target)}",
            step=Step.CONFIGURATION,
            execution=Execution.NOT_RUN,
        )
    if target.tenant:
        values = explain_limits(settings.lookup, target.tenant)
        return _filter_by_leaf([Explained(zone="", inherited=item) for item in values], target.leaf)
    if zone and settings.region_of_zone(zone) is None:
        return _bad_request(f"zone {zone} is not in the settings")
    zones = [zone] if zone else settings.zones()
    return _filter_by_leaf(_explain_by_zone(settings, target.place, zones), target.leaf)


def _parse_target(path: str) -> _Target | None:
    match path.split(PATH_SEPARATOR):
        case ["tenants", tenant]:
            return _Target(tenant=tenant)
        case ["tenants", tenant, "limits", leaf] if leaf in LIMITS_BUILT_IN:
            return _Target(tenant=tenant, leaf=leaf)
        case ["services", service, *rest]:
            return _serving_target(service, rest)
    return None


def _describe_expected(path: str) -> str:
    """Return a description of the paths that are valid in place of an invalid one."""
    block = path.split(PATH_SEPARATOR)[-2:-1]
    if block == ["serving"]:
        return f"a serving setting (one of {', '.join(SERVING_BUILT_IN)})"
    if block == ["limits"]:
        return f"a limit (one of {', '.join(LIMITS_BUILT_IN)})"
    return "a service, model, adapter or tenant, or a setting of one (services/S/serving/max_queue)"


def _serving_target(service: str, rest: list[str]) -> _Target | None:
    leaf = ""
    if len(rest) > 1 and rest[-2] == "serving" and rest[-1] in SERVING_BUILT_IN:
        leaf = rest[-1]
        rest = rest[:-2]
    match rest:
        case []:
            return _Target(place=Place(service=service), leaf=leaf)
        case ["models", model]:
            return _Target(place=Place(service=service, model=model), leaf=leaf)
        case ["models", model, "adapters", adapter]:
            place = Place(service=service, model=model, adapter=adapter)
            return _Target(place=place, leaf=leaf)
    return None


def _entity_path(target: _Target) -> str:
    if target.tenant:
        return f"tenants/{target.tenant}"
    place = target.place
    path = f"services/{place.service}"
    if place.model:
        path += f"/models/{place.model}"
    if place.adapter:
        path += f"/adapters/{place.adapter}"
    return path


def _exists(leaves: Leaves, path: str) -> bool:
    return path in leaves or any(key.startswith(path + PATH_SEPARATOR) for key in leaves)


def _explain_by_zone(settings: ResolvedSettings, place: Place, zones: list[str]) -> list[Explained]:
    """Return the values of each zone, with a single row where all zones have the same value."""
    by_zone = {zone: _explain_in_zone(settings, place, zone) for zone in zones}
    if not by_zone:
        by_zone = {"": explain_serving(settings.lookup, place)}
    rows: list[Explained] = []
    for values in zip(*by_zone.values(), strict=True):
        if len(values) > 1 and all(item == values[0] for item in values):
            rows.append(Explained(zone="", inherited=values[0]))
            continue
        for zone, item in zip(by_zone, values, strict=True):
            rows.append(Explained(zone=zone, inherited=item))
    return rows


def _explain_in_zone(settings: ResolvedSettings, place: Place, zone: str) -> list[Inherited]:
    region = settings.region_of_zone(zone) or ""
    zone_place = msgspec.structs.replace(place, region=region, zone=zone)
    return explain_serving(settings.lookup, zone_place)


def _filter_by_leaf(rows: list[Explained], leaf: str) -> list[Explained]:
    return [row for row in rows if not leaf or row.inherited.leaf == leaf]


def _bad_request(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=reason,
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )
