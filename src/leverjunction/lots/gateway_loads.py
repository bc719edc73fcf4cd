"""Online requests at the back ends, as gateways tell them to the leader. Pure."""

from __future__ import annotations

from collections import Counter

from leverjunction.proxy.online_loads import OnlineLoads

SILENT_S = 1.2
"""A gateway that was not heard for so long is not counted: two of its whole words are missing."""

WORDS_PER_S = 1000.0
"""Of all gateways together, a tenth of a core of the leader: the more gateways, the longer the
pause between two words of each.
"""


SHARE_INTERVAL_S = 0.05
"""Least pause between two words to a gateway on what all have: a slot is freed about as often at a
loaded back end.
"""

SHARES_PER_S = 5000.0
"""Words to all gateways together: they are alike, and made once. With 3,300 a second (165 gateways)
the busiest store took 0.40 of a core at most, 0.30 with 1,000 that were made one by one.
"""

SHARED_BYTES_PER_S = 6000.0
"""To each gateway, so that the pause grows with the back ends: by design 50 ms up to some 100, and
0.3 s at 1,200.
"""

Address = tuple[str, int]


class _Teller:
    __slots__ = ("address", "heard_s", "held", "incarnation", "runners")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.address: Address = ("", 0)
        self.heard_s = 0.0
        self.runners: dict[str, int] = {}
        self.held: dict[str, int] = {}


class GatewayLoads:
    """Sums over the gateways that are heard, kept up with each word."""

    __slots__ = ("_held", "_runners", "_tellers")

    def __init__(self) -> None:
        self._tellers: dict[str, _Teller] = {}
        self._runners: Counter[str] = Counter()
        self._held: Counter[str] = Counter()

    def take(self, word: OnlineLoads, incarnation: int, address: Address, now_s: float) -> None:
        """Take a gateway's word; one of an earlier start of it is dropped."""
        teller = self._tellers.get(word.gateway)
        if teller is not None and incarnation > teller.incarnation:
            self._drop(word.gateway)
            teller = None
        if teller is None:
            teller = self._tellers[word.gateway] = _Teller(incarnation)
        if incarnation < teller.incarnation:
            return
        teller.heard_s = now_s
        teller.address = address
        _update(teller.runners, word.runners, self._runners, word.whole)
        _update(teller.held, word.held, self._held, word.whole)

    def expire(self, now_s: float) -> None:
        """Forget gateways that are silent."""
        gateways = list(self._tellers.items())
        for name, teller in gateways:
            if now_s - teller.heard_s > SILENT_S:
                self._drop(name)

    def clear(self) -> None:
        """Forget all."""
        self._tellers.clear()
        self._runners.clear()
        self._held.clear()

    @property
    def gateway_count(self) -> int:
        """Number of gateways that are heard."""
        return len(self._tellers)

    def at_back_end(self, runner_id: str) -> int:
        """Return the online requests at a back end that gateways told of."""
        return self._runners[runner_id]

    def waiting(self, service: str) -> int:
        """Return the online requests of a service that wait at gateways."""
        return self._held[service]

    def addresses(self) -> list[Address]:
        """Return where the gateways that are heard listen."""
        return [teller.address for teller in self._tellers.values()]

    def share_interval_s(self, word_bytes: int) -> float:
        """Return the pause between two words to each gateway.

        Args:
            word_bytes: Size of a word.
        """
        return max(
            SHARE_INTERVAL_S,
            len(self._tellers) / SHARES_PER_S,
            word_bytes / SHARED_BYTES_PER_S,
        )

    def update_interval_s(self) -> float:
        """Return the pause that each gateway shall make between two words."""
        return len(self._tellers) / WORDS_PER_S

    def _drop(self, name: str) -> None:
        teller = self._tellers.pop(name)
        _update(teller.runners, {}, self._runners, whole=True)
        _update(teller.held, {}, self._held, whole=True)


def _update(known: dict[str, int], told: dict[str, int], sums: Counter[str], whole: bool) -> None:
    """Set a gateway's counts and the sums of all; back ends without any are not kept."""
    if whole:
        told = {**dict.fromkeys(known, 0), **told}
    for key, count in told.items():
        sums[key] += count - known.get(key, 0)
        if count:
            known[key] = count
        else:
            known.pop(key, None)
        if not sums[key]:
            del sums[key]
