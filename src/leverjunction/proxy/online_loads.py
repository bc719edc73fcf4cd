"""What a gateway tells a leader of batch work: its online requests at each back end. Pure.

Batch work gives way to what a back end reports, and a report is a tenth of a second old. A gateway
knows at once what it sends where. Told of it, the leader parks the run in the way before the
request begins to wait, so only a few slots have to stay free for the next arrivals.

Words are datagrams: one that is lost is made good by the next whole word.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

WHOLE_INTERVAL_S = 0.5
"""Between two words that tell all counts: a lost change is wrong for so long at most."""

HELLO_INTERVAL_S = 1.0
"""Between two words to stores that have not asked for any: how soon a new leader is heard."""

LEAST_INTERVAL_S = 0.005
"""Changes that come within it are told together."""


WORDS_AHEAD = 3
"""Words that may come before their time, as long as no more come on average than the leader takes:
of a gateway among hundreds a few requests begin and end in a second, mostly one by one.
"""


class OnlineLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Word of a gateway to a store.

    Attributes:
        gateway: Name of the gateway.
        whole: True when back ends that are not named have none of its requests.
        runners: Requests of this gateway at back ends, by their ids.
        held: Requests that wait at this gateway, by service.
    """

    gateway: str
    whole: bool
    runners: dict[str, int]
    held: dict[str, int]


class LoadsWanted(msgspec.Struct, frozen=True, kw_only=True):
    """Word of a leader that runs batch work.

    Attributes:
        interval_s: Least pause between two words of one gateway.
        for_s: How long it wants them.
        order: Key of the order of ``row``.
        row: Online requests of all gateways at back ends. Batch work is not counted: it gives way.
    """

    interval_s: float
    for_s: float
    order: int = 0
    row: bytes = b""


class LoadTeller:
    """What has to be told, and when. The time is passed in.

    Args:
        gateway: Name of this gateway.
    """

    __slots__ = (
        "_changed_held",
        "_changed_runners",
        "_gateway",
        "_held",
        "_interval_s",
        "_next_s",
        "_runners",
        "_told_runners",
        "_told_s",
        "_wanted_until_s",
        "_whole_s",
    )

    def __init__(self, gateway: str) -> None:
        self._gateway = gateway
        self._runners: dict[str, int] = {}
        self._held: dict[str, int] = {}
        self._changed_runners: dict[str, int] = {}
        self._changed_held: dict[str, int] = {}
        self._told_runners: dict[str, int] = {}
        self._interval_s = LEAST_INTERVAL_S
        self._wanted_until_s = float("-inf")
        self._next_s = float("-inf")
        self._told_s = float("-inf")
        self._whole_s = float("-inf")

    def runner_changed(self, runner_id: str, count: int) -> None:
        """Take this gateway's requests at a back end."""
        self._changed_runners[runner_id] = count
        _set(self._runners, runner_id, count)

    def held_changed(self, service: str, count: int) -> None:
        """Take the requests of a service that wait at this gateway."""
        self._changed_held[service] = count
        _set(self._held, service, count)

    def wanted(self, word: LoadsWanted, now_s: float) -> None:
        """Take a leader's answer."""
        self._interval_s = max(LEAST_INTERVAL_S, word.interval_s)
        self._wanted_until_s = now_s + word.for_s

    def is_wanted(self, now_s: float) -> bool:
        """Return whether a leader wants to hear of changes."""
        return now_s < self._wanted_until_s

    def change_due_s(self, now_s: float) -> float | None:
        """Return in how many seconds changes are to be told; None when there is nothing to tell."""
        if not self.is_wanted(now_s) or not (self._changed_runners or self._changed_held):
            return None
        ahead_s = self._next_s - WORDS_AHEAD * self._interval_s
        return max(0.0, max(ahead_s, self._told_s + LEAST_INTERVAL_S) - now_s)

    def change(self, now_s: float) -> OnlineLoads:
        """Return what changed since the last word."""
        word = self._word(False, self._changed_runners, self._changed_held)
        self._forget_changes(now_s)
        return word

    def whole(self, now_s: float) -> OnlineLoads | None:
        """Return all counts if it is time to tell them."""
        pause_s = WHOLE_INTERVAL_S if self.is_wanted(now_s) else HELLO_INTERVAL_S
        if now_s - self._whole_s < pause_s:
            return None
        self._whole_s = now_s
        word = self._word(True, self._runners, self._held)
        self._forget_changes(now_s)
        return word

    def others(self, totals: Mapping[str, int]) -> dict[str, int]:
        """Return what other gateways have, of what all have as the leader was told."""
        told = self._told_runners
        return {key: max(0, total - told.get(key, 0)) for key, total in totals.items()}

    def _word(self, whole: bool, runners: dict[str, int], held: dict[str, int]) -> OnlineLoads:
        return OnlineLoads(
            gateway=self._gateway, whole=whole, runners=dict(runners), held=dict(held)
        )

    def _forget_changes(self, now_s: float) -> None:
        self._told_runners = dict(self._runners)
        self._changed_runners.clear()
        self._changed_held.clear()
        self._told_s = now_s
        self._next_s = max(now_s, self._next_s) + self._interval_s


def _set(counts: dict[str, int], key: str, count: int) -> None:
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
