"""Groups settings leaves by entity and maintains reverse indexes over the entities.

An entity is a single tenant, service, region or batch class, or the defaults. The functions copy
the entities they change, so that instances of ``ResolvedSettings`` can share the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from leverjunction.settings.flatten import PATH_SEPARATOR
from leverjunction.wire.messages import SettingRow

_ROOT_SECTION = "defaults"

Entities = dict[str, dict[str, SettingRow]]


class EntityIndex(msgspec.Struct, frozen=True):
    """Reverse indexes over the entities."""

    tenant_by_key_hash: dict[str, str]
    service_by_model: dict[str, str]
    region_by_zone: dict[str, str]


def merge_rows(entities: Entities, rows: Iterable[SettingRow]) -> set[str]:
    """Apply rows to copies of their entities and return the keys of these entities."""
    touched: set[str] = set()
    for row in rows:
        key = entity_of(row.path)
        if key not in touched:
            entities[key] = dict(entities.get(key, {}))
            touched.add(key)
        if row.deleted:
            entities[key].pop(row.path, None)
        else:
            entities[key][row.path] = row
    for key in touched:
        if not entities[key]:
            del entities[key]
    return touched


def reindex(index: EntityIndex, old: Entities, new: Entities, touched: set[str]) -> EntityIndex:
    """Return the index updated for the touched entities; unchanged parts are shared."""
    sections = {key.partition(PATH_SEPARATOR)[0] for key in touched}
    tenants = index.tenant_by_key_hash
    if "tenants" in sections:
        tenants = _reindex_tenants(tenants, old, new, touched)
    services = _index_children(new, "services", "models") if "services" in sections else None
    zones = _index_children(new, "regions", "zones") if "regions" in sections else None
    return EntityIndex(
        tenants,
        index.service_by_model if services is None else services,
        index.region_by_zone if zones is None else zones,
    )


def _reindex_tenants(
    current: dict[str, str], old: Entities, new: Entities, touched: set[str]
) -> dict[str, str]:
    changed = sorted(
        key
        for key in touched
        if key.startswith("tenants/") and _key_hashes(old, key) != _key_hashes(new, key)
    )
    if not changed:
        return current
    index = dict(current)
    for key in changed:
        for key_hash in _key_hashes(old, key):
            index.pop(key_hash, None)
    for key in changed:
        tenant = key.partition(PATH_SEPARATOR)[2]
        for key_hash in _key_hashes(new, key):
            index[key_hash] = tenant
    return index


def _key_hashes(entities: Entities, key: str) -> list[str]:
    row = entities.get(key, {}).get(f"{key}/api_key_hashes")
    return strings_of(row.value) if row else []


def _index_children(entities: Entities, section: str, kind: str) -> dict[str, str]:
    """Map each child (model of a service, zone of a region) to its parent.

    Validation refuses a child with two parents. If one occurs all the same, the first parent in
    alphabetical order is used, so that all processes agree.
    """
    index: dict[str, str] = {}
    for key in sorted(key for key in entities if key.startswith(section + PATH_SEPARATOR)):
        parent = key.partition(PATH_SEPARATOR)[2]
        for child in child_names(entities[key], 2, kind):
            index.setdefault(child, parent)
    return index


def child_names(leaves: Mapping[str, SettingRow], depth: int, kind: str) -> list[str]:
    """Return the sorted names that follow ``kind`` at path component ``depth``."""
    names: set[str] = set()
    for path in leaves:
        parts = path.split(PATH_SEPARATOR)
        if len(parts) > depth + 1 and parts[depth] == kind:
            names.add(parts[depth + 1])
    return sorted(names)


def entity_of(path: str) -> str:
    """Return the key of the entity that a leaf belongs to, such as ``tenants/acme``."""
    parts = path.split(PATH_SEPARATOR, 2)
    return parts[0] if parts[0] == _ROOT_SECTION else PATH_SEPARATOR.join(parts[:2])


def strings_of(value: object) -> list[str]:
    """Return the items of a list as strings, or an empty list if the value is not a list."""
    return [str(item) for item in value] if isinstance(value, list) else []
