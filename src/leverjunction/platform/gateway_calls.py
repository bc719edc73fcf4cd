"""The platform's calls to a gateway that are no requests for a runner: batch jobs."""

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
    LotItem,
    LotTaken,
    ReadBody,
    ReadResults,
    ResultsPage,
    SubmitLot,
)
from leverjunction.platform.headers import REQUEST_ID
from leverjunction.proxy.caller_connection import CallerRequest, Responder
from leverjunction.proxy.forwarding import LocalHandler
from leverjunction.proxy.headers import find
from leverjunction.registry.follower import RegistryFollower
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import Route, RouteClass
from leverjunction.wire.rpc_client import RpcClient

READY_PATH = "/api/ready"
PAGE_BYTES = 900 * 1024
MOST_ITEMS = 200
_TARGET = re.compile(r"/[!-~]*")
_CONTROLS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
RETRY_AFTER_S = b"0.5"
_JSON = (b"Content-Type", b"application/json")


class _ItemForm(msgspec.Struct, rename="pascal"):
    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0


class _LotForm(msgspec.Struct, rename="pascal"):
    items: list[_ItemForm]


class _ResultForm(msgspec.Struct, rename="pascal"):
    id: str
    state: str
    text: str


class _PageForm(msgspec.Struct, rename="pascal"):
    total: int
    next_token: int
    results: list[_ResultForm]


class Reply:
    """Status and body of an answer to the platform."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes = b"{}") -> None:
        self.status = status
        self.body = body


Call = Callable[[LotsClient, CallerRequest, str], Awaitable[Reply]]
_CALLS: dict[tuple[bytes, str], Call] = {}


def _call(method: bytes, folder: str) -> Callable[[Call], Call]:
    def register(call: Call) -> Call:
        _CALLS[method, folder] = call
        return call

    return register


def make_gateway_calls(rpc: RpcClient, follower: RegistryFollower, zone: str) -> LocalHandler:
    """Return the handler of the platform's calls."""
    client = LotsClient(rpc, follower, zone)

    async def handle(
        request: CallerRequest, responder: Responder, _index: RouteIndex, route: Route | None
    ) -> bool:
        folder, _, name = request.path.rpartition("/")
        call = _CALLS.get((request.method, folder + "/"))
        if call is not None and (route is None or route.kind is RouteClass.BATCH):
            reply = await call(client, request, name)
        elif route is not None and route.kind is RouteClass.BATCH:
            reply = await _submit(client, request, route)
        else:
            return False
        headers = [_JSON]
        if reply.status in (429, 503):
            headers.append((b"Retry-After", RETRY_AFTER_S))
        responder.respond(reply.status, headers, reply.body)
        return True

    return handle


def _is_sendable(item: _ItemForm) -> bool:
    """Return whether HTTP can carry what an item names; it would be tried in vain for good."""
    words = (*item.headers, *item.headers.values())
    sendable = _TARGET.fullmatch(item.path) is not None
    return sendable and not any(_CONTROLS.search(word) for word in words)


async def _submit(client: LotsClient, request: CallerRequest, route: Route) -> Reply:
    lot_id = (find(request.headers, REQUEST_ID.lower()) or b"").decode("latin-1")
    try:
        form = msgspec.json.decode(request.body, type=_LotForm)
    except msgspec.MsgspecError as error:
        return Reply(400, msgspec.json.encode({"Error": str(error)}))
    if not lot_id or not 0 < len(form.items) <= MOST_ITEMS:
        return Reply(400, msgspec.json.encode({"Error": "an id and 1 to 200 items are expected"}))
    unsendable = next((item.id for item in form.items if not _is_sendable(item)), None)
    if unsendable is not None:
        reason = f"HTTP cannot carry the path or a header of item {unsendable}"
        return Reply(400, msgspec.json.encode({"Error": reason}))
    command = SubmitLot(
        lot_id=lot_id,
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
            for item in form.items
        ),
    )
    taken = await client.propose(command, LotTaken)
    if not isinstance(taken, Failure):
        return Reply(202)
    # 503 promises that nothing runs; a store that did not answer may have taken it.
    return Reply(503 if taken.execution is Execution.NOT_RUN else 504)


@_call(b"GET", "/api/lots/")
async def _read(client: LotsClient, request: CallerRequest, lot_id: str) -> Reply:
    after = _whole_number(_parameter(request, "AfterRevision"))
    query = ReadResults(lot_id=lot_id, after=after, most_bytes=PAGE_BYTES)
    page = await client.query(query, ResultsPage)
    if isinstance(page, Failure):
        return _unsure(page)
    results = [_ResultForm(item.item_id, item.state.value, item.text) for item in page.results]
    form = _PageForm(page.total, after + len(results), results)
    return Reply(200, msgspec.json.encode(form))


@_call(b"GET", "/api/items/")
async def _read_body(client: LotsClient, request: CallerRequest, lot_id: str) -> Reply:
    query = ReadBody(lot_id=lot_id, item_id=_parameter(request, "Id"))
    body = await client.query(query, ItemBody)
    return _unsure(body) if isinstance(body, Failure) else Reply(200, body.body)


@_call(b"DELETE", "/api/lots/")
async def _end(client: LotsClient, _request: CallerRequest, lot_id: str) -> Reply:
    ended = await client.propose(EndLot(lot_id), LotTaken)
    return _unsure(ended) if isinstance(ended, Failure) else Reply(200)


def _unsure(failure: Failure) -> Reply:
    return Reply(404 if failure.kind is FailureKind.NOT_FOUND else 503)


def _parameter(request: CallerRequest, name: str) -> str:
    return parse_qs(request.query).get(name, [""])[0]


def _whole_number(text: str) -> int:
    return int(text) if text.isdigit() else 0
