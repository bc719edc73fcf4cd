"""Models API for callers: ``/v1/models``."""

from __future__ import annotations

from collections.abc import Callable

import cherrypy
import msgspec

from leverjunction.api.auth import authenticate
from leverjunction.api.errors import error_response
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.online import new_request_id
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import encode


class ModelObject(msgspec.Struct, frozen=True, kw_only=True):
    """Model object, as OpenAI defines it."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """List of models, as OpenAI defines it."""

    object: str = "list"
    data: list[ModelObject]


class ModelsApi:
    """Lists the models and adapters of the services that a tenant may call."""

    def __init__(self, settings: Callable[[], ResolvedSettings]) -> None:
        self._settings = settings

    @cherrypy.expose
    def serve(self, *path: str) -> bytes:
        """Serve ``/v1/models`` or ``/v1/models/{id}``."""
        settings = self._settings()
        request_id = new_request_id()
        tenant = authenticate(cherrypy.request, settings)
        if isinstance(tenant, Failure):
            return error_response(tenant, request_id)
        models = list_models(settings, tenant)
        cherrypy.response.headers["Content-Type"] = "application/json"
        if not path:
            return encode(ModelList(data=models))
        name = "/".join(path)
        for model in models:
            if model.id == name:
                return encode(model)
        failure = Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"model {name!r} does not exist",
            step=Step.QUERYING,
            execution=Execution.NOT_RUN,
        )
        return error_response(failure, request_id)


def list_models(settings: ResolvedSettings, tenant: str) -> list[ModelObject]:
    """Return the models and adapters that a tenant may call."""
    found = []
    for service in settings.names("services"):
        if not settings.may_call(tenant, service):
            continue
        for model in settings.models(service):
            names = [model.name, *(f"{model.name}:{adapter}" for adapter in model.adapters)]
            found += [ModelObject(id=name, owned_by=service) for name in names]
    return found
