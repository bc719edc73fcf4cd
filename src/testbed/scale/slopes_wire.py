"""Cost of the internal envelope and of one RPC, by size of the body."""

from __future__ import annotations

import time
from functools import partial

from leverjunction.errors import Failure
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from testbed.scale.slope_report import Slope, processor_s, slope
from testbed.scale.slopes import Point

BODY_BYTES = (100, 1_000, 10_000, 100_000)
ENVELOPES = 2000
CALLS = 400
US = 1e6
KEY = b"k" * 32
EMPTY_REPLY = b'{"type":"result","result":{}}'


def measure() -> list[Slope]:
    """Return the slopes of the wire."""
    return [*_envelope(), _call()]


def _envelope() -> list[Slope]:
    build: list[Point] = []
    parse: list[Point] = []
    for size in BODY_BYTES:
        envelope = Envelope(kind=MessageKind.RAFT, group="jobs-0", incarnation=7, body=b"x" * size)
        data = encode_envelope(envelope, KEY)
        build_s = processor_s(partial(_encode_many, envelope))
        parse_s = processor_s(partial(_decode_many, data))
        build.append(Point(size, build_s * US / ENVELOPES))
        parse.append(Point(size, parse_s * US / ENVELOPES))
    return [
        slope("wire: encode an envelope", "us", "byte", build),
        slope("wire: decode an envelope", "us", "byte", parse),
    ]


def _encode_many(envelope: Envelope) -> None:
    for _ in range(ENVELOPES):
        encode_envelope(envelope, KEY)


def _decode_many(data: bytes) -> None:
    for _ in range(ENVELOPES):
        decode_envelope(data, KEY, "peer")


def _call() -> Slope:
    endpoint = RpcEndpoint(KEY, 1)
    endpoint.register(MessageKind.PROPOSE, lambda envelope, peer: EMPTY_REPLY)
    server = RpcServer("127.0.0.1", 0, endpoint, threads=2)
    server.start()
    client = RpcClient(KEY, 1)
    points: list[Point] = []
    for size in BODY_BYTES:
        body = b"x" * size
        started_s = time.process_time()
        for _ in range(CALLS):
            reply = client.call_raw(server.address, MessageKind.PROPOSE, body)
            assert not isinstance(reply, Failure), reply
        points.append(Point(size, (time.process_time() - started_s) * US / CALLS))
    client.close()
    server.stop()
    return slope("wire: one RPC, client and server together", "us", "byte", points)
