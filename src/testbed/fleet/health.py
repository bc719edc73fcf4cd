"""Whether a fleet is whole: what its control processes and gateways say and do."""

from __future__ import annotations

import uuid
from collections.abc import Mapping
from typing import Any

import urllib3
from prometheus_client.parser import text_string_to_metric_families

from testbed.fleet.caller import Caller
from testbed.fleet.fleet import Fleet, FleetError
from testbed.fleet.operator import Operator

PROBE_TOKENS = 1
METRICS_TIMEOUT_S = 1.0
SETTINGS_VERSION = "leverjunction_settings_version"
ROOT_GROUP = "root"
_SERVING_ROLES = ("leader", "follower")


def is_whole(fleet: Fleet) -> bool:
    """Return whether every replica, gateway and runner is there, and every gateway answers."""
    try:
        status = Operator(fleet).status()
    except FleetError:
        return False
    if status["silent_hubs"] or len(status["gateways"]) < len(fleet.gateway_names()):
        return False
    if not all(_has_whole_replicas(fleet, control) for control in fleet.control_names()):
        return False
    ready = {reading["runner_id"] for reading in status["readings"] if reading["reachable"]}
    return ready >= set(fleet.plan.machines) and _answers_everywhere(fleet)


def _has_whole_replicas(fleet: Fleet, control: str) -> bool:
    """Return whether a control process is a full member of its groups, by its own word.

    What another one says of it may be from before it lost its disk.
    """
    try:
        own = Operator(fleet, control).status()["hubs"][0]
    except FleetError:
        return False
    return own["name"] == control and all(_is_full_member(group) for group in own["groups"])


def _is_full_member(group: dict[str, Any]) -> bool:
    """Return whether a replica serves and, if it leads, knows of no member under repair."""
    # Twice the same address would be a lost replica and its successor.
    is_settled = not group["learners"] and len(set(group["voters"])) == len(group["voters"])
    return group["role"] in _SERVING_ROLES and is_settled


def _answers_everywhere(fleet: Fleet) -> bool:
    """Return whether every gateway can use every service: they learn of changes one by one."""
    models = [service.models[0] for service in fleet.scenario.services.values()]
    return all(
        serves(fleet, gateway, model) for gateway in fleet.gateway_names() for model in models
    )


def serves(fleet: Fleet, gateway: str, model: str) -> bool:
    """Return whether a gateway answers a request for a model now."""
    caller = Caller(f"http://{fleet.planned(gateway).address}", fleet.scenario.online_key)
    return caller.chat(model, f"probe {uuid.uuid4().hex}", PROBE_TOKENS).whole


def leader_of(fleet: Fleet, group: str) -> str:
    """Return the name of the control process that leads a group, waiting until there is one."""
    found: list[str] = []

    def is_led() -> bool:
        try:
            hubs = Operator(fleet).status()["hubs"]
        except FleetError:
            return False
        for hub in hubs:
            if any(s["group"] == group and s["role"] == "leader" for s in hub["groups"]):
                found.append(hub["name"])
                return True
        return False

    fleet.wait_for(is_led, f"group {group} has a leader")
    return found[0]


def replica_ids(fleet: Fleet, control: str) -> dict[str, str]:
    """Return the replica id of each group on one control process, by its own word."""
    own = Operator(fleet, control).status()["hubs"][0]
    assert own["name"] == control
    return {status["group"]: status["replica_id"] for status in own["groups"]}


def is_repaired(fleet: Fleet, control: str, lost_ids: Mapping[str, str]) -> bool:
    """Return whether every group that lost a replica has a full member in its place again.

    Args:
        fleet: The fleet.
        control: Control process that lost its disk.
        lost_ids: What ``replica_ids`` gave before the loss.
    """
    try:
        hubs = Operator(fleet).status()["hubs"]
        own = Operator(fleet, control).status()["hubs"][0]
    except FleetError:
        return False
    members = {status["group"]: status for status in own["groups"]}
    leaders = {s["group"]: s for hub in hubs for s in hub["groups"] if s["role"] == "leader"}
    address = fleet.planned(control).rpc_address
    return all(
        _is_replaced(lost_id, address, members.get(group), leaders.get(group))
        for group, lost_id in lost_ids.items()
    )


def _is_replaced(
    lost_id: str, address: str, member: dict[str, Any] | None, leader: dict[str, Any] | None
) -> bool:
    if leader is None or member is None or member["replica_id"] == lost_id:
        return False
    if member["role"] not in _SERVING_ROLES or leader["learners"]:
        return False
    # Twice would be the lost replica and its successor, both still voting.
    return bool(leader["voters"].count(address) == 1)


def settings_version(fleet: Fleet, gateway: str) -> int:
    """Return the version of the settings in force at a gateway, by its own counter.

    Returns:
        The version; 0 when the gateway does not answer or has none in force.
    """
    url = f"http://{fleet.planned(gateway).direct_address}/metrics"
    try:
        response = fleet.http.request("GET", url, timeout=METRICS_TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        return 0
    for family in text_string_to_metric_families(response.data.decode()):
        if family.name == SETTINGS_VERSION:
            return int(family.samples[0].value)
    return 0
