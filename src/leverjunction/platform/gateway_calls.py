"""The platform's HTTP calls that a gateway answers itself: those on batch jobs.

A lot is the platform's batch job of opaque items, which the stores keep and run.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.lots.client import LotsClient
from leverjunction.lots.commands import (
    EndLot,
    ItemBody,
    LotAccepted,
    LotItem,
    ReadBody,
    ReadResults,
    ResultsPage,
    SubmitLot,
)
from leverjunction.lots.ownership import SEPARATOR, stored_id
from leverjunction.platform.headers import REQUEST_ID
from leverjunction.proxy.caller_connection import Responder
from leverjunction.proxy.caller_identity import NO_KEY, require
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.failures import status_of, unauthenticated
from leverjunction.proxy.forwarding import Caller, LocalHandler
from leverjunction.proxy.headers import find
from leverjunction.registry.follower import RegistryFollower
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import Route, RouteClass, Tenant
from leverjunction.wire.rpc_client import RpcClient

READY_PATH = "/api/ready"
MAX_PAGE_BYTES = 900 * 1024
MAX_ITEMS = 200
_REQUEST_TARGET = re.compile(r"/[!-~]*")
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
RETRY_AFTER_S = b"0.5"
_JSON = (b"Content-Type", b"application/json")


class _ItemPayload(msgspec.Struct, rename="pascal"):
    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0


class _LotPayload(msgspec.Struct, rename="pascal"):
    items: list[_ItemPayload]


class _ResultPayload(msgspec.Struct, rename="pascal"):
    id: str
    state: str
    text: str


class _PagePayload(msgspec.Struct, rename="pascal"):
    total: int
    next_token: int
    results: list[_ResultPayload]


class Response:
    """HTTP status and JSON body of a response to the platform."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes = b"{}") -> None:
        self.status = status
        self.body = body


Handler = Callable[[LotsClient, CallerRequest, str], Awaitable[Response]]
"""Answers a call; the last argument is the stored id of the lot that the call names."""

_HANDLERS: dict[tuple[bytes, str], Handler] = {}


def _handler(method: bytes, folder: str) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS[method, folder] = handler
        return handler

    return register


def make_gateway_calls(rpc: RpcClient, follower: RegistryFollower, zone: str) -> LocalHandler:
    """Create the handler of the platform's calls to a gateway.

    Args:
        rpc: Client for calls to the stores.
        follower: Knows the addresses of the stores.
        zone: Zone of this gateway.
    """
    client = LotsClient(rpc, follower, zone)

    async def handle(
        request: CallerRequest,
        responder: Responder,
        index: RouteIndex,
        route: Route | None,
        caller: Caller,
    ) -> bool:
        folder, _, name = request.path.rpartition("/")
        handler = _HANDLERS.get((request.method, folder + "/"))
        if handler is not None and (route is None or route.kind is RouteClass.BATCH):
            response = await _call_lot(handler, client, request, name, index, caller)
        elif route is not None and route.kind is RouteClass.BATCH:
            refusal = require(index, route, caller)
            tenant = caller.name if isinstance(caller, Tenant) else ""
            response = (
                await _submit(client, request, route, tenant)
                if refusal is None
                else Response(status_of(refusal))
            )
        else:
            return False
        headers = [_JSON]
        if response.status in (429, 503):
            headers.append((b"Retry-After", RETRY_AFTER_S))
        responder.respond(response.status, headers, response.body)
        return True

    return handle


async def _call_lot(
    handler: Handler,
    client: LotsClient,
    request: CallerRequest,
    name: str,
    index: RouteIndex,
    caller: Caller,
) -> Response:
    """Answer a call on a lot; without a key only lots that belong to no tenant are found."""
    if isinstance(caller, Failure):
        return Response(status_of(caller))
    tenant = "" if caller is None else caller.name
    response = await handler(client, request, stored_id(tenant, name))
    if response.status == 404 and caller is None and index.has_tenants:
        return Response(status_of(unauthenticated(NO_KEY)))
    return response


def _is_sendable(item: _ItemPayload) -> bool:
    """Return whether HTTP can carry an item's path and headers; if not, every run would fail."""
    texts = (*item.headers, *item.headers.values())
    sendable = _REQUEST_TARGET.fullmatch(item.path) is not None
    return sendable and not any(_CONTROL_CHARACTERS.search(text) for text in texts)


async def _submit(
    client: LotsClient, request: CallerRequest, route: Route, tenant: str
) -> Response:
    lot_id = (find(request.headers, REQUEST_ID.lower()) or b"").decode("latin-1")
    try:
        payload = msgspec.json.decode(request.body, type=_LotPayload)
    except msgspec.MsgspecError as error:
        return Response(400, msgspec.json.encode({"Error": str(error)}))
    if not lot_id or SEPARATOR in lot_id or not 0 < len(payload.items) <= MAX_ITEMS:
        reason = f"expected a request id without {SEPARATOR!r} and 1 to 200 items"
        return Response(400, msgspec.json.encode({"Error": reason}))
    unsendable = next((item.id for item in payload.items if not _is_sendable(item)), None)
    if unsendable is not None:
        reason = f"HTTP cannot carry the path or a header of item {unsendable}"
        return Response(400, msgspec.json.encode({"Error": reason}))
    command = SubmitLot(
        lot_id=stored_id(tenant, lot_id),
        route=route.name,
        max_queued_tokens=route.max_queued_tokens,
        host=route.host,
        path=request.path,
        max_attempts=route.max_attempts,
        give_up_s=route.give_up_s,
        due_ms=route.due_ms,
        items=tuple(
            LotItem(
                item_id=item.id,
                path=item.path,
                headers=tuple(item.headers.items()),
                body=item.body,
                tokens=item.tokens,
            )
            for item in payload.items
        ),
    )
    accepted = await client.propose(command, LotAccepted)
    if not isinstance(accepted, Failure):
        return Response(202)
    if accepted.execution is not Execution.NOT_RUN:
        # 429 and 503 promise that the lot will not run, but a store may have accepted it.
        return Response(504)
    if accepted.kind is FailureKind.RATE_LIMITED:
        return Response(429, msgspec.json.encode({"Error": accepted.reason}))
    return Response(503)


@_handler(b"GET", "/api/lots/")
async def _get_results(client: LotsClient, request: CallerRequest, lot_id: str) -> Response:
    after = _whole_number(_parameter(request, "AfterRevision"))
    query = ReadResults(lot_id=lot_id, after=after, most_bytes=MAX_PAGE_BYTES)
    page = await client.query(query, ResultsPage)
    if isinstance(page, Failure):
        return _failure_response(page)
    results = [_ResultPayload(item.item_id, item.state.value, item.text) for item in page.results]
    payload = _PagePayload(page.total, after + len(results), results)
    return Response(200, msgspec.json.encode(payload))


@_handler(b"GET", "/api/items/")
async def _get_item_body(client: LotsClient, request: CallerRequest, lot_id: str) -> Response:
    query = ReadBody(lot_id=lot_id, item_id=_parameter(request, "Id"))
    body = await client.query(query, ItemBody)
    return _failure_response(body) if isinstance(body, Failure) else Response(200, body.body)


@_handler(b"DELETE", "/api/lots/")
async def _end_lot(client: LotsClient, _request: CallerRequest, lot_id: str) -> Response:
    ended = await client.propose(EndLot(lot_id), LotAccepted)
    return _failure_response(ended) if isinstance(ended, Failure) else Response(200)


def _failure_response(failure: Failure) -> Response:
    return Response(404 if failure.kind is FailureKind.NOT_FOUND else 503)


def _parameter(request: CallerRequest, name: str) -> str:
    return parse_qs(request.query).get(name, [""])[0]


def _whole_number(text: str) -> int:
    return int(text) if text.isdigit() else 0
