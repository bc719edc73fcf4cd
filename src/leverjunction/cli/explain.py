"""What ``settings explain`` says about a path of the tree. Pure."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Failure, FailureKind, Step
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
    """One inherited value; ``zone`` is empty when it is the same in every zone."""

    zone: str
    inherited: Inherited


class _Target(msgspec.Struct, frozen=True, kw_only=True):
    """What a path names: a place for serving settings, or a tenant; and one leaf, or all."""

    place: Place = Place()
    tenant: str = ""
    leaf: str = ""


def explain_path(leaves: Leaves, path: str, zone: str = "") -> list[Explained] | Failure:
    """Return each value at a path with the ancestor that gives it.

    Args:
        leaves: All leaves in force.
        path: Service, model, adapter or tenant, or a leaf of one.
        zone: Zone to explain a service for; empty for all zones.
    """
    settings = ResolvedSettings.from_rows(
        [SettingRow(key, value, 1) for key, value in leaves.items()]
    )
    target = _target_of(path)
    if target is None:
        return _bad(f"{path} is not {_expected_at(path)}")
    if not _exists(leaves, _entity_path(target)):
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"nothing is set at {_entity_path(target)}",
            step=Step.CONFIGURATION,
        )
    if target.tenant:
        values = explain_limits(settings.lookup, target.tenant)
        return _chosen([Explained(zone="", inherited=item) for item in values], target.leaf)
    if zone and settings.region_of_zone(zone) is None:
        return _bad(f"zone {zone} is not in the settings")
    zones = [zone] if zone else settings.zones()
    return _chosen(_by_zone(settings, target.place, zones), target.leaf)


def _target_of(path: str) -> _Target | None:
    match path.split(PATH_SEPARATOR):
        case ["tenants", tenant]:
            return _Target(tenant=tenant)
        case ["tenants", tenant, "limits", leaf] if leaf in LIMITS_BUILT_IN:
            return _Target(tenant=tenant, leaf=leaf)
        case ["services", service, *rest]:
            return _serving_target(service, rest)
    return None


def _expected_at(path: str) -> str:
    """Return what would be understood in a path's place."""
    block = path.split(PATH_SEPARATOR)[-2:-1]
    if block == ["serving"]:
        return f"a serving setting, which are {', '.join(SERVING_BUILT_IN)}"
    if block == ["limits"]:
        return f"a limit, which are {', '.join(LIMITS_BUILT_IN)}"
    return (
        "a service, model, adapter or tenant, nor a setting of one (services/S/serving/max_queue)"
    )


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


def _by_zone(settings: ResolvedSettings, place: Place, zones: list[str]) -> list[Explained]:
    """Return the values of each zone, one row for all zones where they agree."""
    by_zone = {zone: _explained_in(settings, place, zone) for zone in zones}
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


def _explained_in(settings: ResolvedSettings, place: Place, zone: str) -> list[Inherited]:
    region = settings.region_of_zone(zone) or ""
    placed = msgspec.structs.replace(place, region=region, zone=zone)
    return explain_serving(settings.lookup, placed)


def _chosen(rows: list[Explained], leaf: str) -> list[Explained]:
    return [row for row in rows if not leaf or row.inherited.leaf == leaf]


def _bad(reason: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.CONFIGURATION)
