"""Stand-ins on loopback for the callers and back ends of routed requests."""

from testbed.routed.caller import RawCaller, RawReply
from testbed.routed.exchange import Seen
from testbed.routed.mortal import MortalRunner
from testbed.routed.runner import RunnerStandIn
from testbed.routed.table import HOST, SERVICE, make_route, make_table

__all__ = [
    "HOST",
    "SERVICE",
    "MortalRunner",
    "RawCaller",
    "RawReply",
    "RunnerStandIn",
    "Seen",
    "make_route",
    "make_table",
]
