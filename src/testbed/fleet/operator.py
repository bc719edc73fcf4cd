"""An operator of a fleet: reads the status and changes single settings by the operators' API."""

from __future__ import annotations

import uuid
from typing import Any

from leverjunction.cli_client import OperatorClient
from leverjunction.errors import Failure
from leverjunction.settings.change import plan_change, to_command
from leverjunction.settings.commands import ApplyChange, ChangeOutcome, ChangeRecord, SettingsDelta
from leverjunction.settings.flatten import leaves_of
from leverjunction.wire.messages import GatewayState
from testbed.fleet.fleet import Fleet, FleetError


class Operator:
    """Calls the control processes of a fleet, or one of them.

    Args:
        fleet: The fleet.
        control: Name of the only control process to call; empty for all, in turn.
        name: Author's name in changes.
    """

    def __init__(self, fleet: Fleet, control: str = "", name: str = "operator") -> None:
        names = [control] if control else fleet.control_names()
        self._client = OperatorClient(
            [fleet.planned(each).address for each in names], fleet.operator_token()
        )
        self._name = name

    def status(self) -> dict[str, Any]:
        """Return ``/operator/status``.

        Raises:
            FleetError: No control process gave it.
        """
        return _checked(self._client.get("/operator/status", dict[str, Any]))

    def gateways(self) -> list[GatewayState]:
        """Return the live gateways as control knows them."""
        return [_gateway(each) for each in self.status().get("gateways", [])]

    def settings(self) -> SettingsDelta:
        """Return all settings in force."""
        return _checked(self._client.get("/operator/settings", SettingsDelta, {"after": "0"}))

    def history(self, limit: int) -> list[ChangeRecord]:
        """Return the accepted changes, newest first."""
        query = {"limit": str(limit)}
        return _checked(self._client.get("/operator/settings/history", list[ChangeRecord], query))

    def value(self, path: str) -> object:
        """Return the value of one leaf in force; None when it is not set."""
        return leaves_of(self.settings().rows).get(path)

    def plan(self, values: dict[str, object]) -> ApplyChange:
        """Return the change that sets leaves, made against the settings in force."""
        in_force = self.settings()
        wanted = {**leaves_of(in_force.rows), **values}
        return to_command(plan_change(in_force, wanted), uuid.uuid4().hex, self._name)

    def send(self, change: ApplyChange) -> ChangeOutcome | Failure:
        """Send a change once more or for the first time."""
        return self._client.post("/operator/settings/apply", change, ChangeOutcome)

    def set(self, path: str, value: object) -> ChangeOutcome:
        """Set one leaf and return the outcome; planned anew when another operator was first."""
        while True:
            outcome = _checked(self.send(self.plan({path: value})))
            if outcome.accepted:
                return outcome


def _gateway(document: dict[str, Any]) -> GatewayState:
    fields = {name: document[name] for name in GatewayState.__struct_fields__ if name in document}
    return GatewayState(**fields)


def _checked(reply: Any) -> Any:
    if isinstance(reply, Failure):
        raise FleetError(f"{reply.step} at {reply.peer}: {reply.reason}")
    return reply
