"""Asks control processes over the operators' API which of them leads a group."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import urllib3

STATUS_PATH = "/operator/status"
STATUS_TIMEOUT_S = 3.0
HTTP_OK = 200
LEADER = "leader"


class _Group(msgspec.Struct, frozen=True):
    """The part of a group's status that is needed here."""

    group: str
    role: str
    term: int


class _Hub(msgspec.Struct, frozen=True):
    """A control process's own statuses."""

    name: str
    groups: list[_Group]


class _Status(msgspec.Struct, frozen=True):
    """The part of the cluster's status that is needed here."""

    hubs: list[_Hub]


def leader_of(group: str, addresses: Iterable[str], token: str) -> str | None:
    """Return the name of the process that leads ``group``, or None when none says so.

    Args:
        group: Name of the group.
        addresses: ``host:port`` of the operators' API of control processes; the first that
            answers is believed.
        token: Operators' token.
    """
    with urllib3.PoolManager(retries=False, timeout=STATUS_TIMEOUT_S) as pool:
        for address in addresses:
            body = _status(pool, address, token)
            if body is not None:
                return leader_in(group, body)
    return None


def leader_in(group: str, status: bytes) -> str | None:
    """Return the leader of ``group`` by an answer of the operators' API.

    A former leader may not know yet that it is one: the highest term counts.
    """
    hubs = msgspec.json.decode(status, type=_Status).hubs
    leaders = [
        (one.term, hub.name)
        for hub in hubs
        for one in hub.groups
        if one.group == group and one.role == LEADER
    ]
    return max(leaders)[1] if leaders else None


def _status(pool: urllib3.PoolManager, address: str, token: str) -> bytes | None:
    headers = {"Authorization": f"Bearer {token}"}
    try:
        answer = pool.request("GET", f"http://{address}{STATUS_PATH}", headers=headers)
    except urllib3.exceptions.HTTPError:
        return None
    return answer.data if answer.status == HTTP_OK else None
