"""Stand-in network process: one front a listener, delays and cuts by place, one control call.

A place is a zone, or one process that a test cuts off by itself. Fronts tell the source of a
connection by its IP number, which each process of the fleet has for itself.
"""

from __future__ import annotations

import asyncio
import signal
import threading
from pathlib import Path

import cherrypy
import msgspec
import yaml

from testbed.engine.process import serve
from testbed.fleet.relay import FrontListener, Link

CLIENT_ZONE = "clients"
ANY_PLACE = "*"
CONTROL_THREADS = 4


class Front(msgspec.Struct, frozen=True, kw_only=True):
    """A relayed address: who is behind it, and where it really listens."""

    process: str
    zone: str
    listen: str
    target: str


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """A process that connects through fronts, known by its IP number."""

    process: str
    zone: str


class NetworkConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of the stand-in network.

    Attributes:
        host: IP number of the control call.
        port: Port of the control call.
        zone_delay_ms: One-way delay between zones.
        client_delay_ms: One-way delay between callers and fronts.
        fronts: Relayed addresses.
        sources: Processes by IP number.
    """

    host: str
    port: int
    zone_delay_ms: float
    client_delay_ms: float
    fronts: list[Front]
    sources: dict[str, Source]


class CutRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Cut or heal all traffic between two places (process or zone names); "*" is any."""

    first: str
    second: str = ANY_PLACE
    cut: bool = True


class Links:
    """All links, made when they are first used. Used on the event loop's thread only."""

    def __init__(self, config: NetworkConfig) -> None:
        self._config = config
        self._links: dict[tuple[Source, Source], Link] = {}
        self._cuts: set[tuple[str, str]] = set()

    def find(self, front: Front, ip: str) -> tuple[Link, Link]:
        """Return the links to and from a front for a connection from ``ip``."""
        client = Source(process=CLIENT_ZONE, zone=CLIENT_ZONE)
        source = self._config.sources.get(ip, client)
        target = Source(process=front.process, zone=front.zone)
        return self._link(source, target), self._link(target, source)

    def apply(self, request: CutRequest) -> None:
        """Cut or heal traffic, also of connections that are open."""
        pair = (request.first, request.second)
        if request.cut:
            self._cuts.add(pair)
        else:
            self._cuts.discard(pair)
        for (source, target), link in self._links.items():
            link.set_cut(self._is_cut(source, target))

    def _link(self, source: Source, target: Source) -> Link:
        link = self._links.get((source, target))
        if link is None:
            link = Link(self._delay_s(source.zone, target.zone))
            link.cut = self._is_cut(source, target)
            self._links[(source, target)] = link
        return link

    def _delay_s(self, first: str, second: str) -> float:
        if first == second:
            return 0.0
        if CLIENT_ZONE in (first, second):
            return self._config.client_delay_ms / 1000
        return self._config.zone_delay_ms / 1000

    def _is_cut(self, source: Source, target: Source) -> bool:
        ends = ({source.process, source.zone, ANY_PLACE}, {target.process, target.zone, ANY_PLACE})
        return any(
            (first in ends[0] and second in ends[1]) or (second in ends[0] and first in ends[1])
            for first, second in self._cuts
        )


class NetworkApi:
    """Control call of the network: ``POST /cuts``."""

    def __init__(self, links: Links, loop: asyncio.AbstractEventLoop) -> None:
        self._links = links
        self._loop = loop

    @cherrypy.expose
    def cuts(self) -> bytes:
        """Cut or heal; answers once it is in force."""
        request = msgspec.json.decode(cherrypy.request.body.fp.read(), type=CutRequest)
        done = threading.Event()

        def act() -> None:
            self._links.apply(request)
            done.set()

        self._loop.call_soon_threadsafe(act)
        done.wait()
        return b"{}"

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer 200 once all fronts listen."""
        return b"{}"


def run_file(path: Path) -> int:
    """Relay as a settings file says, until SIGTERM or SIGINT."""
    document = yaml.safe_load(path.read_text(encoding="utf8"))
    config = msgspec.convert(document, NetworkConfig)
    asyncio.run(_run(config))
    return 0


async def _run(config: NetworkConfig) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    links = Links(config)
    for front in config.fronts:
        await _start(front, links)
    serve(NetworkApi(links, loop), config.host, config.port, CONTROL_THREADS)
    await stopping.wait()
    cherrypy.engine.exit()


async def _start(front: Front, links: Links) -> None:
    listener = FrontListener(
        _split(front.listen), _split(front.target), lambda ip: links.find(front, ip)
    )
    await listener.open()


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
