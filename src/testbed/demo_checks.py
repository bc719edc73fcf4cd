"""What the demo looks at: decisions of the gateways and executions of the runners."""

from __future__ import annotations

import json
from typing import Any

from testbed.engine.executions import Execution, read_executions
from testbed.fleet.fleet import Fleet


class DemoError(Exception):
    """A step of the demo did not do what it should."""


def check(condition: bool, reason: str) -> None:
    """Fail the demo when a condition does not hold."""
    if not condition:
        raise DemoError(reason)


def decisions_of_request(fleet: Fleet, request_id: str) -> list[dict[str, Any]]:
    """Return the kept decisions about one request, of all gateways."""
    return _decisions(fleet, f"request={request_id}")


def decisions_of_service(fleet: Fleet, service: str) -> list[dict[str, Any]]:
    """Return the kept decisions about one service, of all gateways."""
    return _decisions(fleet, f"service={service}")


def executions_of_runner(fleet: Fleet, runner: str) -> list[Execution]:
    """Return what one runner ran."""
    path = fleet.planned(runner).executions_file
    assert path is not None, f"{runner} is not a runner"
    return read_executions(path) if path.exists() else []


def _decisions(fleet: Fleet, query: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    headers = {"Authorization": f"Bearer {fleet.operator_token()}"}
    for name in fleet.gateway_names():
        url = f"http://{fleet.planned(name).direct_address}/operator/decisions?{query}"
        response = fleet.http.request("GET", url, headers=headers, timeout=5.0)
        check(response.status == 200, f"{url} answered {response.status}")
        found += json.loads(response.data)
    return found
