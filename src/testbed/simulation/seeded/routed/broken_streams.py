"""Broken rules of streams that are taken up again; each function returns the patches of one."""

from __future__ import annotations

from typing import Any
from unittest import mock

from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.stream_origins import StreamOrigins
from leverjunction.registry.origin_client import OriginClient
from leverjunction.registry.origins import OriginSource, Resumption, StreamOrigin
from leverjunction.wire.envelope import Envelope, MessageKind
from testbed.simulation.machine import Machine
from testbed.simulation.network import Reply
from testbed.simulation.rpc import RpcBoard
from testbed.simulation.rule import Rule


def continue_at_any_version() -> list[Any]:
    """Return the patches: the version that began a stream does not limit where it goes on."""
    return [mock.patch.object(RoutedRequest, "version", property(lambda _self: None))]


def refuse_streams_of_others() -> list[Any]:
    """Return the patches: a gateway continues only what it has begun itself."""
    find = StreamOrigins.find

    async def own(self: StreamOrigins, stream: int, service: str) -> Resumption:
        found = await find(self, stream, service)
        is_own = found.source is OriginSource.OWN
        return found if is_own else Resumption(None, OriginSource.NOBODY_KNOWS)

    return [mock.patch.object(StreamOrigins, "find", own)]


def report_no_origins() -> list[Any]:
    """Return the patches: no gateway tells the control processes what it has begun."""

    async def record(_self: OriginClient, _stream: int, _origin: StreamOrigin) -> bool:
        return True

    return [
        mock.patch.object(OriginClient, "report", lambda _self, _streams: None),
        mock.patch.object(OriginClient, "record", record),
    ]


def lose_questions_about_origins() -> list[Any]:
    """Return the patches: no question about the origin of a stream is answered."""
    handle = RpcBoard.handle

    def answer_others(
        self: RpcBoard, machine: Machine, envelope: Envelope, peer: str, reply: Reply
    ) -> None:
        if not envelope.kind.name.startswith(MessageKind.FIND_ORIGIN.name):
            handle(self, machine, envelope, peer, reply)

    return [mock.patch.object(RpcBoard, "handle", answer_others)]


_KEEP = "streams_keep_their_version"
_GO_ON = "streams_go_on"
_RESUMED = "resumed_streams_go_on"

STREAM_RULES: dict[str, Rule] = {
    "continue_at_any_version": Rule(
        "a stream goes on at any version of the back ends", _KEEP, continue_at_any_version
    ),
    "refuse_streams_of_others": Rule(
        "a gateway refuses streams that another one has begun", _GO_ON, refuse_streams_of_others
    ),
    "report_no_origins": Rule(
        "a gateway tells no control process what began its streams", _GO_ON, report_no_origins
    ),
    "lose_questions_about_origins": Rule(
        "no control process answers what began a stream", _RESUMED, lose_questions_about_origins
    ),
}
