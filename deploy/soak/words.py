"""What operators, runners and callers say to a deployment: paths and bodies of the platform."""

from __future__ import annotations

import base64
import json

from testbed.platform_words import (
    AFTER_REVISION,
    BEAT_PATH,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    LEAVE_PATH,
    LOTS_PATH,
    PROMPT_PREFIX,
    READ_BACK_PATH,
    REPLACE_PATH,
    REPORT_PATH,
    REQUEST_ID,
    RESUMES,
)
from testbed.routed.exchange import (
    BEHAVIOUR_HEADER,
    EVENTS_HEADER,
    RESUMABLE_FOLDER,
    WORK_MS_HEADER,
)

__all__ = [
    "AFTER_REVISION",
    "BATCH_FOLDER",
    "BEAT_PATH",
    "DEADLINE_MS",
    "DEADLY",
    "DUE_MS",
    "EVENTS_OF_ITEM",
    "EXPECTED_RUNNER",
    "HOST",
    "LAST_EVENT_ID",
    "LEAVE_PATH",
    "LOTS_PATH",
    "MAX_WAIT_S",
    "PROMPT_PREFIX",
    "READ_BACK_PATH",
    "REPLACE_PATH",
    "REPORT_PATH",
    "REQUEST_ID",
    "RESUMES",
    "SERVICE",
    "SERVICES",
    "SIDE_SERVICE",
    "WHOLE_TEXT",
    "Shares",
    "beat",
    "farewell",
    "item_id",
    "lot",
    "table",
    "version_folder",
    "version_of",
]

HOST = "app.example"
SERVICE = "pool"
SIDE_SERVICE = "side"
SERVICES = (SERVICE, SIDE_SERVICE)
Shares = dict[str, int]
"""Weights of the services of the batch route; empty when there is no such route."""

EVENTS_OF_ITEM = 12
WHOLE_TEXT = "\n".join(f"event {number}" for number in range(1, EVENTS_OF_ITEM + 1))
BATCH_FOLDER = "/batch/"
DEADLY = b"deadly "
"""Beginning of the bodies of requests under which a runner's process ends."""

EXPECTED_RUNNER = EXPECT_INSTANCE.lower()
DUE_MS = 20_000
TIMEOUT_MS = 3_000
MAX_WAIT_S = 900

_KINDS = {"once": "non_idempotent", "repeatable": "idempotent", "stream": "streaming"}


def table(version: int, shares: Shares, timeout_ms: int = TIMEOUT_MS) -> bytes:
    """Return a whole configuration; it has a route of its own, by which it is told apart.

    Args:
        version: Its number.
        shares: Where batch jobs go.
        timeout_ms: Timeout of each route, in milliseconds.
    """
    routes = [_route(kind, f"/{kind}/", word) for kind, word in _KINDS.items()]
    if shares:
        batch = _route("batch", BATCH_FOLDER, "batch", DueMs=DUE_MS, MaxWaitS=MAX_WAIT_S)
        del batch["Service"]
        split = [{"Service": name, "Weight": weight} for name, weight in shares.items()]
        routes.append({**batch, "TrafficSplit": split})
    routes.append(_route("resumable", RESUMABLE_FOLDER, "streaming", Resumable=True))
    routes.append(_route("version", version_folder(version), "idempotent"))
    for route in routes:
        route["TimeoutMs"] = timeout_ms
    services = [{"Name": name, "HealthPath": "/health", "MaxConnections": 200} for name in SERVICES]
    return json.dumps({"Version": version, "Routes": routes, "Services": services}).encode()


def version_folder(version: int) -> str:
    """Return the folder that only this configuration has a route for."""
    return f"/version-{version}/"


def version_of(body: bytes) -> int:
    """Return the number of a configuration that was read back."""
    return int(json.loads(body)["Version"])


def beat(
    address: str,
    sequence: int,
    service: str,
    slots: int,
    state: str,
    born_ms: int = 0,
    version: str = "",
) -> bytes:
    """Return what a runner says of itself; ``born_ms`` is 0 if it doesn't tell when it started."""
    fields = {"Service": service, "Address": address, "Zone": "z1", "Slots": slots}
    fields |= {"Version": version} if version else {}
    born = {"born": born_ms} if born_ms else {}
    return json.dumps({**fields, **born, "State": state, "Sequence": sequence}).encode()


def farewell(born_ms: int) -> bytes:
    """Return the last word of a start of a runner."""
    return json.dumps({"born": born_ms}).encode()


def lot(
    lot_id: str,
    works_ms: list[int],
    bad: frozenset[int] = frozenset(),
    deadly: frozenset[int] = frozenset(),
    item_bytes: int = 0,
) -> bytes:
    """Return a batch job.

    Args:
        lot_id: Its id.
        works_ms: How long the runs of its items take.
        bad: Numbers of the items that no runner can do.
        deadly: Numbers of the items that end each runner which begins them.
        item_bytes: Least size of the body of an item.
    """
    listed = [
        {
            "Id": item_id(lot_id, number),
            "Path": f"{BATCH_FOLDER}{lot_id}/{number}",
            "Headers": {
                EVENTS_HEADER: str(EVENTS_OF_ITEM),
                WORK_MS_HEADER: str(work_ms),
                **({BEHAVIOUR_HEADER: "unprocessable"} if number in bad else {}),
            },
            "Body": base64.b64encode(
                _item_body(lot_id, number, number in deadly).ljust(item_bytes, b".")
            ).decode(),
            "Tokens": 10,
        }
        for number, work_ms in enumerate(works_ms)
    ]
    return json.dumps({"Items": listed}).encode()


def item_id(lot_id: str, number: int) -> str:
    """Return the id of an item of a batch job."""
    return f"{lot_id}.{number}"


def _item_body(lot_id: str, number: int, is_deadly: bool) -> bytes:
    return (DEADLY if is_deadly else b"") + f"{lot_id} {number}".encode()


def _route(name: str, prefix: str, kind: str, **more: object) -> dict[str, object]:
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 300,
        "Service": SERVICE,
        "MaxAttempts": 3,
        **more,
    }
