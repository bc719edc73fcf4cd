"""Immutable, indexed view of the settings in force, with cheap incremental updates.

Leaves are grouped by entity (a tenant, a service, a region, ...). The instance that ``apply``
returns shares all unchanged entities with the previous one, so changing one tenant of thousands
copies the table of entities, but not their leaves.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from leverjunction.api_keys import hash_key
from leverjunction.settings.flatten import PATH_SEPARATOR
from leverjunction.settings.index import (
    Entities,
    EntityIndex,
    child_names,
    entity_of,
    merge_rows,
    reindex,
    strings_of,
)
from leverjunction.settings.inheritance import (
    LIMITS_BUILT_IN,
    SERVING_BUILT_IN,
    Inherited,
    Place,
    explain_limits,
    explain_serving,
)
from leverjunction.wire.messages import SettingRow

_DEFAULT_VERSION = "1"
_BATCH_DEADLINE_S = 86_400.0
_BATCH_WEIGHT = 1.0
_BATCH_RESULTS_RETENTION_S = 604_800.0


class ResolvedServing(msgspec.Struct, frozen=True, kw_only=True):
    """Serving settings with all values resolved; the fields are those of ``schema.Serving``."""

    interference: float
    deadline_s: float
    queue_timeout_s: float
    max_queue: int
    max_running_per_runner: int
    retry_budget_ratio: float
    max_attempts: int
    prefix_weight: float
    online_priority: int
    batch_priority: int
    batch_max_running: int
    batch_floor: int
    batch_max_lost_runs: int


class ResolvedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a tenant with all values resolved."""

    requests_per_s: float
    burst: int
    concurrency: int
    max_job_items: int


class ResolvedBatchClass(msgspec.Struct, frozen=True, kw_only=True):
    """A class of batch jobs.

    Attributes:
        deadline_s: Seconds after which items that have not run expire.
        weight: Weight of the class when capacity is shared between classes.
        results_retention_s: Seconds for which results stay readable after the job's end.
    """

    deadline_s: float
    weight: float
    results_retention_s: float


class ResolvedModel(msgspec.Struct, frozen=True, kw_only=True):
    """A model that a service is configured to serve.

    Attributes:
        name: Name of the model.
        version: Desired version of its weights.
        replicas: Desired number of runners that load it; 0 means every runner of the service.
        adapters: Desired version of each adapter, by name.
    """

    name: str
    version: str
    replicas: int
    adapters: dict[str, str]


class ResolvedSettings:
    """Settings in force at one version. Immutable; safe to read from any thread."""

    def __init__(self, entities: Entities, version: int, index: EntityIndex) -> None:
        """Create an instance from its parts; callers use ``from_rows`` or ``apply``."""
        self._entities = entities
        self._index = index
        self._version = version
        # Computed lazily without a lock: concurrent threads compute the same value.
        self._serving: dict[Place, ResolvedServing] = {}
        self._limits: dict[str, ResolvedLimits] = {}

    @classmethod
    def empty(cls) -> ResolvedSettings:
        """Return settings at version 0: no leaves, only built-in defaults."""
        return cls({}, 0, EntityIndex({}, {}, {}))

    @classmethod
    def from_rows(cls, rows: Iterable[SettingRow], version: int = 0) -> ResolvedSettings:
        """Return the settings given by a complete set of rows."""
        return cls.empty().apply(rows, version)

    def apply(self, rows: Iterable[SettingRow], version: int = 0) -> ResolvedSettings:
        """Return the settings with newer rows applied; the version never decreases.

        Rows that this version already contains are ignored, so late or duplicate replies and
        replies from a lagging hub have no effect.

        Args:
            rows: All rows changed since this instance's version (or since an earlier one).
            version: Version after the rows; raised to the highest version among the rows.
        """
        newer = [row for row in rows if row.version > self._version]
        new_version = max([self._version, version, *(row.version for row in newer)])
        if new_version == self._version:
            return self
        if not newer:
            return ResolvedSettings(self._entities, new_version, self._index)
        entities = dict(self._entities)
        touched = merge_rows(entities, newer)
        index = reindex(self._index, self._entities, entities, touched)
        return ResolvedSettings(entities, new_version, index)

    @property
    def version(self) -> int:
        """Return the version that is in force."""
        return self._version

    def rows(self) -> Iterator[SettingRow]:
        """Yield the rows of all leaves, for storage or transfer."""
        for leaves in self._entities.values():
            yield from leaves.values()

    def lookup(self, path: str) -> object | None:
        """Return the value of a leaf, or None if it is not set."""
        leaves = self._entities.get(entity_of(path))
        row = leaves.get(path) if leaves else None
        return row.value if row else None

    def serving(
        self, service: str, region: str, zone: str, model: str = "", adapter: str = ""
    ) -> ResolvedServing:
        """Return the resolved serving settings of a service's model in a zone.

        Names that are not in the tree are ignored, so the values of their parents apply.
        """
        place = self._known_place(service, region, zone, model, adapter)
        found = self._serving.get(place)
        if found is None:
            found = msgspec.convert(_values(explain_serving(self.lookup, place)), ResolvedServing)
            self._serving[place] = found
        return found

    def limits(self, tenant: str) -> ResolvedLimits:
        """Return the resolved limits of a tenant; unknown tenants get the defaults."""
        known = tenant if _join("tenants", tenant) in self._entities else ""
        found = self._limits.get(known)
        if found is None:
            found = msgspec.convert(_values(explain_limits(self.lookup, known)), ResolvedLimits)
            self._limits[known] = found
        return found

    def tenant_for_key(self, raw_key: str) -> str | None:
        """Return the tenant that an API key belongs to; the tree holds only SHA-256 hashes."""
        return self._index.tenant_by_key_hash.get(hash_key(raw_key))

    def may_call(self, tenant: str, service: str) -> bool:
        """Return whether a tenant may call a service (an empty list means all)."""
        allowed = strings_of(self.lookup(f"tenants/{tenant}/services"))
        return not allowed or service in allowed

    def service_for_model(self, model: str) -> str | None:
        """Return the service that serves a model; ``model:adapter`` is accepted too."""
        return self._index.service_by_model.get(model.partition(":")[0])

    def region_of_zone(self, zone: str) -> str | None:
        """Return the region that a zone belongs to."""
        return self._index.region_by_zone.get(zone)

    def zones(self) -> list[str]:
        """Return the zones of all regions, sorted."""
        return sorted(self._index.region_by_zone)

    def batch_class(self, name: str) -> ResolvedBatchClass:
        """Return a class of batch jobs; an unknown name gets the built-in one."""
        deadline_s = self.lookup(f"batch_classes/{name}/deadline_s")
        weight = self.lookup(f"batch_classes/{name}/weight")
        retention_s = self.lookup(f"batch_classes/{name}/results_retention_s")
        return ResolvedBatchClass(
            deadline_s=_number(deadline_s, _BATCH_DEADLINE_S),
            weight=_number(weight, _BATCH_WEIGHT),
            results_retention_s=_number(retention_s, _BATCH_RESULTS_RETENTION_S),
        )

    def names(self, section: str) -> list[str]:
        """Return the names in a section (``services``, ``tenants``, ...), sorted."""
        prefix = section + PATH_SEPARATOR
        return sorted(key[len(prefix) :] for key in self._entities if key.startswith(prefix))

    def models(self, service: str) -> list[ResolvedModel]:
        """Return the models that a service is configured to serve, sorted by name."""
        leaves = self._entities.get(_join("services", service), {})
        return [self._model(service, name, leaves) for name in child_names(leaves, 2, "models")]

    def draining_runners(self, service: str) -> list[str]:
        """Return the runners that operators are draining from a service."""
        return strings_of(self.lookup(f"services/{service}/draining_runners"))

    def _model(self, service: str, name: str, leaves: Mapping[str, SettingRow]) -> ResolvedModel:
        path = f"services/{service}/models/{name}"
        own = {key: row for key, row in leaves.items() if key.startswith(path + PATH_SEPARATOR)}
        adapters = {
            adapter: _text(self.lookup(f"{path}/adapters/{adapter}/version"))
            for adapter in child_names(own, 4, "adapters")
        }
        return ResolvedModel(
            name=name,
            version=_text(self.lookup(f"{path}/version")),
            replicas=int(_number(self.lookup(f"{path}/replicas"), 0)),
            adapters=adapters,
        )

    def _known_place(self, service: str, region: str, zone: str, model: str, adapter: str) -> Place:
        # Callers choose model and adapter names, so unknown names must not grow the cache.
        if _join("services", service) not in self._entities:
            service = ""
        if _join("regions", region) not in self._entities:
            region = ""
        if self._index.region_by_zone.get(zone) != region:
            zone = ""
        if not service or self._index.service_by_model.get(model) != service:
            model = ""
        if model and adapter and not self._has_adapter(service, model, adapter):
            adapter = ""
        return Place(
            service=service, region=region, zone=zone, model=model, adapter=adapter if model else ""
        )

    def _has_adapter(self, service: str, model: str, adapter: str) -> bool:
        path = f"services/{service}/models/{model}/adapters/{adapter}"
        leaves = self._entities[_join("services", service)]
        return any(key == path or key.startswith(path + PATH_SEPARATOR) for key in leaves)


def _join(section: str, name: str) -> str:
    return f"{section}{PATH_SEPARATOR}{name}"


def _values(explained: list[Inherited]) -> dict[str, object]:
    return {item.leaf: item.value for item in explained}


def _number(value: object, default: float) -> float:
    return float(value) if isinstance(value, int | float) else default


def _text(value: object) -> str:
    return value if isinstance(value, str) else _DEFAULT_VERSION


assert set(SERVING_BUILT_IN) == set(ResolvedServing.__struct_fields__)
assert set(LIMITS_BUILT_IN) == set(ResolvedLimits.__struct_fields__)
