"""Finds the route of a request by its host and the longest path prefix, and its tenant by key."""

from __future__ import annotations

from random import Random

from leverjunction.routes.types import Route, RouteTable, ServiceSpec, Tenant


class RouteIndex:
    """A route table, indexed by host. It never changes, so threads may share it."""

    __slots__ = ("_by_host", "_services", "_tenants_by_key", "_tenants_by_name", "table")

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._services = {service.name: service for service in table.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            # The longest prefix comes first, so the first match is the right one.
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._tenants_by_name = {tenant.name: tenant for tenant in table.tenants}
        self._tenants_by_key = {
            key_hash: tenant for tenant in table.tenants for key_hash in tenant.key_hashes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and a path, or None; a port in the host is ignored."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def has_tenants(self) -> bool:
        """Whether callers need a key, except on public routes."""
        return bool(self._tenants_by_name)

    def tenant_of_key(self, key_hash: str) -> Tenant | None:
        """Return the tenant that has a key, or None."""
        return self._tenants_by_key.get(key_hash)

    def tenant(self, name: str) -> Tenant | None:
        """Return a tenant by its name, or None."""
        return self._tenants_by_name.get(name)

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by its name, or None."""
        return self._services.get(name)


def draw_service(route: Route, random: Random) -> str:
    """Choose the service of one request at random, in proportion to the weights of the route."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [part.weight for part in route.services]
    return random.choices(route.services, weights)[0].service
