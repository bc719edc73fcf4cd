"""Online request counts that gateways report to the leader of batch work.

No I/O: the times are passed in. A gateway sends updates, with all its counts (``whole``) or only
those that changed; the leader broadcasts the sums over all gateways back to them.
"""

from __future__ import annotations

from collections import Counter

from leverjunction.proxy.online_loads import OnlineLoads

GATEWAY_TIMEOUT_S = 1.2
"""Age of the last update after which a gateway is not counted: two of its full updates, sent every
0.5 s, are missing.
"""

UPDATES_PER_S = 1000.0
"""Highest rate of updates from all gateways together; it costs the leader a tenth of a core. The
more gateways there are, the longer each of them pauses between two updates.
"""


BROADCAST_INTERVAL_S = 0.05
"""Shortest pause between two broadcasts: a loaded back end frees a slot about this often."""

BROADCAST_DATAGRAMS_PER_S = 5000.0
"""Highest rate of datagrams to all gateways together. All datagrams of a broadcast are the same and
are encoded once: 3,300 per second (165 gateways) took at most 0.40 of a core at the busiest store,
while 1,000 per second that were encoded one by one took 0.30.
"""

BROADCAST_BYTES_PER_S = 6000.0
"""Highest rate of bytes to each gateway. A broadcast, and the pause after it, grow with the number
of back ends: 50 ms up to about 100 of them, 0.3 s at 1,200.
"""

Address = tuple[str, int]


class _Gateway:
    """Last known counts of one gateway."""

    __slots__ = ("address", "incarnation", "runners", "updated_s", "waiting")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.address: Address = ("", 0)
        self.updated_s = 0.0
        self.runners: dict[str, int] = {}
        self.waiting: dict[str, int] = {}


class GatewayLoads:
    """Sums of the counts of all live gateways, maintained incrementally with each update."""

    __slots__ = ("_at_back_ends", "_gateways", "_waiting")

    def __init__(self) -> None:
        self._gateways: dict[str, _Gateway] = {}
        self._at_back_ends: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    def apply_update(
        self, update: OnlineLoads, incarnation: int, address: Address, now_s: float
    ) -> None:
        """Apply a gateway's update; one that it sent before its last restart is ignored.

        Args:
            update: Counts of the gateway.
            incarnation: Start of the gateway that sent it; higher after each restart.
            address: Host and port from which the update came.
            now_s: Time of arrival, in monotonic seconds.
        """
        gateway = self._gateways.get(update.gateway)
        if gateway is not None and incarnation > gateway.incarnation:
            self._drop(update.gateway)
            gateway = None
        if gateway is None:
            gateway = self._gateways[update.gateway] = _Gateway(incarnation)
        if incarnation < gateway.incarnation:
            return
        gateway.updated_s = now_s
        gateway.address = address
        _set_counts(gateway.runners, update.runners, self._at_back_ends, update.whole)
        _set_counts(gateway.waiting, update.held, self._waiting, update.whole)

    def expire(self, now_s: float) -> None:
        """Drop gateways whose last update is older than ``GATEWAY_TIMEOUT_S``."""
        gateways = list(self._gateways.items())
        for name, gateway in gateways:
            if now_s - gateway.updated_s > GATEWAY_TIMEOUT_S:
                self._drop(name)

    def clear(self) -> None:
        """Drop all gateways."""
        self._gateways.clear()
        self._at_back_ends.clear()
        self._waiting.clear()

    @property
    def gateway_count(self) -> int:
        """Number of live gateways."""
        return len(self._gateways)

    def at_back_end(self, runner_id: str) -> int:
        """Return the number of online requests that gateways have at a back end."""
        return self._at_back_ends[runner_id]

    def waiting(self, service: str) -> int:
        """Return the number of online requests of a service that wait at gateways."""
        return self._waiting[service]

    def addresses(self) -> list[Address]:
        """Return the datagram addresses of the live gateways."""
        return [gateway.address for gateway in self._gateways.values()]

    def broadcast_interval_s(self, datagram_bytes: int) -> float:
        """Return the pause between two broadcasts, in seconds.

        Args:
            datagram_bytes: Size of the last broadcast's datagram.
        """
        return max(
            BROADCAST_INTERVAL_S,
            len(self._gateways) / BROADCAST_DATAGRAMS_PER_S,
            datagram_bytes / BROADCAST_BYTES_PER_S,
        )

    def update_interval_s(self) -> float:
        """Return the least pause between two updates of one gateway, in seconds."""
        return len(self._gateways) / UPDATES_PER_S

    def _drop(self, name: str) -> None:
        gateway = self._gateways.pop(name)
        _set_counts(gateway.runners, {}, self._at_back_ends, whole=True)
        _set_counts(gateway.waiting, {}, self._waiting, whole=True)


def _set_counts(
    known: dict[str, int], counts: dict[str, int], sums: Counter[str], whole: bool
) -> None:
    """Set counts of a gateway and adjust the sums; entries that become zero are removed.

    Args:
        known: Counts of the gateway by key, changed in place.
        counts: New counts by key.
        sums: Sums over all gateways by key, changed in place.
        whole: Whether keys missing in ``counts`` are zero; otherwise they are unchanged.
    """
    if whole:
        counts = {**dict.fromkeys(known, 0), **counts}
    for key, count in counts.items():
        sums[key] += count - known.get(key, 0)
        if count:
            known[key] = count
        else:
            known.pop(key, None)
        if not sums[key]:
            del sums[key]
