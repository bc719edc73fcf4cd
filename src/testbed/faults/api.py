"""Faults of a running fleet by HTTP: the launcher carries them out, as it started the processes."""

from __future__ import annotations

from enum import StrEnum

import cherrypy
import msgspec

from testbed.fleet.fleet import Fleet, FleetError


class FaultAction(StrEnum):
    """What to do to a process or a link."""

    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    WIPE = "wipe"
    RESTART = "restart"
    TERMINATE = "terminate"
    LEAVE = "leave"
    CUT = "cut"
    HEAL = "heal"


class FaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One fault: an action on a process, or on the traffic between two places."""

    action: FaultAction
    target: str
    other: str = "*"


class FaultsApi:
    """``POST /`` carries a fault out and answers once that is done."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    @cherrypy.expose
    def index(self) -> bytes:
        """Carry out one fault."""
        request = msgspec.json.decode(cherrypy.request.body.fp.read(), type=FaultRequest)
        try:
            carry_out(self._fleet, request)
        except FleetError as error:
            cherrypy.response.status = 400
            return msgspec.json.encode({"error": str(error)})
        return b"{}"


def carry_out(fleet: Fleet, request: FaultRequest) -> None:
    """Carry out a fault on a fleet of this process."""
    if request.action in (FaultAction.CUT, FaultAction.HEAL):
        change = fleet.cut if request.action is FaultAction.CUT else fleet.heal
        change(request.target, request.other)
        return
    actions = {
        FaultAction.KILL: fleet.kill,
        FaultAction.FREEZE: fleet.freeze,
        FaultAction.THAW: fleet.thaw,
        FaultAction.WIPE: fleet.wipe,
        FaultAction.RESTART: fleet.restart,
        FaultAction.TERMINATE: fleet.terminate,
        FaultAction.LEAVE: fleet.leave,
    }
    actions[request.action](request.target)
