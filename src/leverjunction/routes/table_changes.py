"""What changed between two route tables.

Configurations have thousands of routes and change in series, a few routes at a time. Processes that
have the earlier table receive the routes that changed instead of all.
"""

from __future__ import annotations

import msgspec

from leverjunction.record_changes import (
    RecordChanges,
    apply_records,
    diff_records,
    none_if_empty,
)
from leverjunction.routes.types import RequestLimits, Route, RouteTable, ServiceSpec, Tenant
from leverjunction.wire.codec import digest_of


class TableChanges(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What turns one route table into a later one; a part that did not change is None.

    Attributes:
        base: Version of the table that the changes apply to.
        version: Version of the later table.
        digest: Digest of the later table (``codec.digest_of``).
        routes: Changes of the routes.
        services: Changes of the services.
        limits: The new limits on requests.
        tenants: Changes of the tenants.
    """

    base: int
    version: int
    digest: str
    routes: RecordChanges[Route] | None = None
    services: RecordChanges[ServiceSpec] | None = None
    limits: RequestLimits | None = None
    tenants: RecordChanges[Tenant] | None = None


def changes(old: RouteTable, new: RouteTable, digest: str) -> TableChanges | None:
    """Return what turns ``old`` into ``new``, None if that cannot be expressed.

    Args:
        old: The earlier table.
        new: The later table.
        digest: Digest of the later table.
    """
    routes = diff_records(old.routes, new.routes, _route)
    services = diff_records(old.services, new.services, _service)
    tenants = diff_records(old.tenants, new.tenants, _tenant)
    if routes is None or services is None or tenants is None:
        return None
    result = TableChanges(
        base=old.version,
        version=new.version,
        digest=digest,
        routes=none_if_empty(routes),
        services=none_if_empty(services),
        limits=new.limits if new.limits != old.limits else None,
        tenants=none_if_empty(tenants),
    )
    return result if merge(old, result) == new else None


def merge(table: RouteTable, change: TableChanges) -> RouteTable | None:
    """Return the later table, which shares unchanged parts; None if it is for another table.

    The digest is not compared; see ``apply``.
    """
    if change.base != table.version:
        return None
    routes = apply_records(table.routes, change.routes, _route)
    services = apply_records(table.services, change.services, _service)
    tenants = apply_records(table.tenants, change.tenants, _tenant)
    if routes is None or services is None or tenants is None:
        return None
    return msgspec.structs.replace(
        table,
        version=change.version,
        routes=routes,
        services=services,
        limits=change.limits or table.limits,
        tenants=tenants,
    )


def apply(table: RouteTable, change: TableChanges) -> RouteTable | None:
    """Return the later table; None if the result is not the table that the sender has."""
    later = merge(table, change)
    return later if later is not None and digest_of(later) == change.digest else None


def _route(route: Route) -> str:
    # Names are not checked for uniqueness; a prefix begins with a slash, a host has none.
    return f"{route.host}{route.prefix}"


def _service(service: ServiceSpec) -> str:
    return service.name


def _tenant(tenant: Tenant) -> str:
    return tenant.name


__all__ = ["TableChanges", "apply", "changes", "merge"]
