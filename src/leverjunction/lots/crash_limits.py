"""Limits how many back ends batch items may crash. Pure: the time is passed in.

An item is a *suspect* once a back end has crashed early in one of its runs. Items that run at the
same back end are lost together, so most suspects are harmless. A suspect therefore runs *apart*: at
a back end where nothing else runs, until its run has gone on for long enough to be *proven*. If it
crashes that back end too, it is run again only after a pause, and only a few times.

This is not enough for a lot with many different harmful items, since each of them is a suspect only
after its first crash. The crashes are therefore also counted for each *origin* of items: their lot,
and their caller if it sends credentials. Like the restart intensity of a process supervisor, the
count decides over a window of time how the origin's other items run, including those that have
never met a crash.

Crashes that ``CrashRates`` explains by those of other back ends limit no origin.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from leverjunction.lots.crash_rates import CrashRates
from leverjunction.lots.item_run import ItemKey
from leverjunction.lots.placement import Placement

Origin = tuple[str, ...]
"""What items have in common: a lot, or a caller on a route."""

WINDOW_S = 60.0
"""Time for which a crash counts against its origin."""

APART_CRASHES = 2
"""Crashes of an origin in the window from which all its items run apart, one at a time."""

MAX_CRASHES_AT_ONCE = 5
"""Crashes of an origin in the window that its present runs of suspects may lead to."""

MAX_ORIGIN_CRASHES = 6
"""Crashes of an origin in the window from which none of its items runs, if one of the crashes
happened apart. Crashes beside other requests may all have had another cause, such as a power
failure.
"""

ALONE_CRASHES = 4
"""Crashes of an origin in the window from which its suspects run only where nothing else runs: a
crash beside others does not show that the origin is to be held.
"""

MAX_ITEM_CRASHES = 6
"""Crashes of one request from which it runs only once in ``WINDOW_S`` while it is refused: the
three that lead to the verdict and three more. Its item is still owed: the back ends may have
crashed for other reasons, and then only another run can show it.
"""

EXHAUSTED_PAUSE_S = 18.0
"""Pause before the first run beyond ``MAX_ITEM_CRASHES``; ``WINDOW_S`` before each further one."""

STRONG_SUSPECT_CRASHES = 2
"""Crashes from which a request is almost certainly harmful: at least one of them happened apart.
One is enough if nothing else ran there.
"""

FIRST_PAUSE_S = 3.0
"""Pause before the next run of a lot's only strong suspect, if the lot has crashed few back ends:
it may still be harmless, and its neighbours prove themselves meanwhile.
"""

TRIAL_PAUSE_S = 15.0
"""Pause before each further run of an origin's only strong suspect: several times as long as a back
end takes to restart.
"""

TURN_S = WINDOW_S / MAX_ORIGIN_CRASHES
"""Several strong suspects of an origin take turns. Each turn takes this long, so that together they
crash no more back ends than the origin may.
"""

MAX_TURNS = 2
"""Turns that a strong suspect waits after its own crash. Those of more suspects than that follow
each other, a turn after each crash: harmless ones then need not wait for each other.
"""

PAUSES_TTL_S = 120.0
"""Time after which the last crash of a request is forgotten."""

STRONG_INTERVAL_S = 5.0
"""Time after the crash of a strong suspect in which the back end may be missing."""

BACK_ENDS_PER_TRIAL = 10
"""Known back ends for each one that runs of strong suspects may take at a time, so that many lots
with one harmful item each do not take many back ends at once.
"""

EXPLAINED_TTL_S = 0.05
"""Time for which the comparison of an origin's crashes with those of others is kept: each waiting
item asks for it in each step of the runner.
"""

BACK_ENDS_PER_EXPLAINED_TRIAL = 4
"""The same for suspects of origins whose crashes others explain, most of which are harmless."""

SOUND_PER_RUN = 4
"""Items of an origin proven after its last crash for each further run it may have apart."""

MAX_SOUND = 100
"""Proven items of an origin that are counted."""


class Suspicion:
    """What is known against one item.

    Attributes:
        key: Key of its request if that is a suspect, else empty; items may share it.
        crashes: Crashes that count against the request, in runs of all items with the key.
        own_crashes: Crashes in runs of the item itself that no other item is known to have caused.
        own_crashed_s: Time of the last of them, in seconds; None for the last one of the request.
        crashed_alone: Whether one of them happened where nothing else ran.
        crashes_at_once: Whether several back ends crashed soon after runs of the item began.
        verdicts: How often the request was found to be harmful.
        is_refused: Whether it is under a verdict.
    """

    __slots__ = (
        "crashed_alone",
        "crashes",
        "crashes_at_once",
        "is_refused",
        "key",
        "own_crashed_s",
        "own_crashes",
        "verdicts",
    )

    def __init__(
        self,
        key: str = "",
        crashes: int = 0,
        verdicts: int = 0,
        is_refused: bool = False,
        own_crashes: int = 0,
        own_crashed_s: float | None = None,
        *,
        crashed_alone: bool = False,
        crashes_at_once: bool = False,
    ) -> None:
        self.key = key
        self.crashed_alone = crashed_alone
        self.crashes_at_once = crashes_at_once
        self.own_crashed_s = own_crashed_s
        self.crashes = crashes
        self.own_crashes = own_crashes
        self.verdicts = verdicts
        self.is_refused = is_refused

    @property
    def is_strong(self) -> bool:
        """Whether the request is almost certainly harmful."""
        return self.crashes >= STRONG_SUSPECT_CRASHES or (self.crashes > 0 and self.crashed_alone)

    @property
    def exhausted_pause_s(self) -> float:
        """Pause before the next run if the request has used up its runs, in seconds; else 0."""
        if not self.is_refused or (self.verdicts <= 1 and self.crashes < MAX_ITEM_CRASHES):
            return 0.0
        is_first = self.verdicts <= 1 and self.crashes == MAX_ITEM_CRASHES
        return EXHAUSTED_PAUSE_S if is_first else WINDOW_S


NO_CAUSES: Mapping[str, ItemKey] = {}


class _OriginRecord:
    """Crashes of one origin.

    Attributes:
        crashes: Times of the crashes by item and start, in seconds; without those of items that
            were proven since.
        apart_s: Time of the last crash that happened apart.
        harmful: Items that crashed several back ends, each soon after a run began.
        proven: Number of items that were proven or answered since the first crash.
        sound: Items that were proven or answered since the last crash.
        strong_s: Time of the last crash by a strong suspect.
    """

    __slots__ = ("apart_s", "crashes", "harmful", "proven", "sound", "strong_s")

    def __init__(self) -> None:
        self.crashes: dict[ItemKey, dict[str, float]] = {}
        self.apart_s = float("-inf")
        self.harmful: set[ItemKey] = set()
        self.proven = 0
        self.sound: set[ItemKey] = set()
        self.strong_s = float("-inf")

    def count(
        self,
        now_s: float,
        causes: Mapping[str, ItemKey] = NO_CAUSES,
        refused_starts: frozenset[str] = frozenset(),
    ) -> int:
        """Return the number of starts that crashed within the window.

        Args:
            now_s: Current time in seconds.
            causes: The items that are known to have crashed a start; it counts for no other item.
            refused_starts: Starts that crashed under refused requests that are no items. Those of
                an item that has crashed elsewhere too count all the same.
        """
        return len(self.counted(now_s, causes, refused_starts))

    def counted(
        self,
        now_s: float,
        causes: Mapping[str, ItemKey] = NO_CAUSES,
        refused_starts: frozenset[str] = frozenset(),
    ) -> dict[str, float]:
        """Return the starts that ``count`` counts, with the times of their crashes."""
        from_s = now_s - WINDOW_S
        return {
            start: at_s
            for item, starts in self.crashes.items()
            if not starts.keys() <= refused_starts
            for start, at_s in starts.items()
            if at_s > from_s and causes.get(start, item) == item
        }

    @property
    def starts(self) -> set[str]:
        """All starts that crashed, those included that do not count."""
        return {start for starts in self.crashes.values() for start in starts}

    def count_harmful(self, now_s: float) -> int:
        """Return the number of starts that harmful items crashed within the window."""
        from_s = now_s - WINDOW_S
        crashes = [self.crashes[item] for item in self.harmful if item in self.crashes]
        return len({start for starts in crashes for start, at_s in starts.items() if at_s > from_s})

    @property
    def has_repeated(self) -> bool:
        """Whether an item has crashed several back ends."""
        return any(len(starts) > 1 for starts in self.crashes.values())

    def note_sound(self, item: ItemKey) -> None:
        """Note an item that was proven or answered."""
        self.proven += item not in self.sound
        if len(self.sound) < MAX_SOUND:
            self.sound.add(item)

    def prune(self, now_s: float) -> None:
        """Drop the crashes that no longer count."""
        from_s = now_s - WINDOW_S
        for item, starts in list(self.crashes.items()):
            kept = {start: at_s for start, at_s in starts.items() if at_s > from_s}
            if kept:
                self.crashes[item] = kept
            else:
                del self.crashes[item]
        self.harmful &= self.crashes.keys()


class CrashLimits:
    """Counts crashes by item and by origin, and decides how items may run. Not thread-safe.

    Args:
        rates: Tells which crashes others explain.

    Attributes:
        back_ends: Number of known back ends.
    """

    __slots__ = (
        "_causes",
        "_crashed_s",
        "_explained",
        "_origins",
        "_overdue",
        "_rates",
        "_refused_starts",
        "_running",
        "_running_keys",
        "_running_strong",
        "_strong",
        "_strong_crashed_s",
        "back_ends",
    )

    def __init__(self, rates: CrashRates | None = None) -> None:
        self._rates = rates or CrashRates()
        self._causes: dict[str, ItemKey] = {}
        self._explained: dict[Origin, tuple[float, bool]] = {}
        self._origins: dict[Origin, _OriginRecord] = {}
        self._overdue: Counter[Origin] = Counter()
        self._refused_starts: frozenset[str] = frozenset()
        self._crashed_s: dict[str, float] = {}
        self._strong: dict[Origin, dict[ItemKey, str]] = {}
        self._running: Counter[Origin] = Counter()
        self._running_keys: Counter[str] = Counter()
        self._running_strong = 0
        self._strong_crashed_s: dict[str, float] = {}
        self.back_ends = 0

    @property
    def is_idle(self) -> bool:
        """Whether there are no crashes, so that items without suspicion run without limits."""
        return not self._origins

    def crashed(
        self,
        item: ItemKey,
        origins: Iterable[Origin],
        start: str,
        suspicion: Suspicion,
        now_s: float,
        *,
        apart: bool,
    ) -> None:
        """Record that a back end crashed early in an item's run.

        Args:
            item: The item.
            origins: Its origins, the lot first.
            start: The start of the back end; it counts once for each origin.
            suspicion: What is known against the item, this crash included.
            now_s: Current time in seconds.
            apart: Whether nothing else ran there.
        """
        self._explained.clear()
        self._crashed_s[suspicion.key] = now_s
        if suspicion.crashes > STRONG_SUSPECT_CRASHES:
            self._strong_crashed_s[start] = now_s
        for origin in origins:
            record = self._origins.setdefault(origin, _OriginRecord())
            record.crashes.setdefault(item, {}).setdefault(start, now_s)
            if suspicion.crashes < STRONG_SUSPECT_CRASHES:
                record.sound.clear()
            if apart:
                record.apart_s = now_s
            if suspicion.crashes_at_once:
                record.harmful.add(item)
            if suspicion.is_strong:
                record.strong_s = now_s
                self._strong.setdefault(origin, {})[item] = suspicion.key

    def caused(self, item: ItemKey, starts: Iterable[str]) -> None:
        """Record that an item has probably crashed some starts: they count for no other item.

        Otherwise an origin would be held because its items ran beside those of another one.
        """
        for start in starts:
            self._causes.setdefault(start, item)

    def crashed_by_others(self, starts: frozenset[str]) -> None:
        """Replace the starts that crashed under refused requests that are no items.

        They don't count for an item that has crashed at no other start: the verdict on the request
        explains its crashes, and no origin is held because its items ran beside it. A refused
        request runs no more, so that a wrong verdict spares an origin a few crashes only.

        Args:
            starts: The starts, those reported before included.
        """
        self._refused_starts = starts

    def own_crashes(self, item: ItemKey, starts: Iterable[str]) -> int:
        """Return how many of these crashes in an item's runs no other item has caused."""
        return sum(1 for start in starts if self._causes.get(start, item) == item)

    def proven(self, item: ItemKey, origins: Iterable[Origin]) -> None:
        """Drop the crashes of an item whose run went on for long enough: it caused none."""
        self._acquit(item)
        for origin in origins:
            record = self._origins.get(origin)
            if record is not None:
                record.crashes.pop(item, None)
                record.note_sound(item)

    def answered(self, item: ItemKey, origins: Iterable[Origin], key: str) -> None:
        """Drop what is known against an item after a complete response."""
        self._acquit(item)
        self._crashed_s.pop(key, None)
        for origin in origins:
            self._drop_strong(origin, key)
            record = self._origins.get(origin)
            if record is not None:
                record.crashes.pop(item, None)
                record.note_sound(item)

    def started(self, suspicion: Suspicion, origins: Iterable[Origin]) -> None:
        """Count an item's run apart, until ``settled`` with the same arguments."""
        self._running.update(origins)
        self._running_strong += suspicion.is_strong
        if suspicion.key:
            self._running_keys[suspicion.key] += 1

    def overdue(self, origins: Iterable[Origin]) -> None:
        """Record that a run apart has produced nothing for a while: another one may start."""
        self._overdue.update(origins)

    def settled(
        self, suspicion: Suspicion, origins: Iterable[Origin], *, was_overdue: bool = False
    ) -> None:
        """Record that a run apart is proven or has ended.

        Args:
            suspicion: As passed to ``started``.
            origins: As passed to ``started``.
            was_overdue: Whether the run was reported to ``overdue``.
        """
        self._running -= Counter(origins)
        if was_overdue:
            self._overdue -= Counter(origins)
        self._running_strong -= suspicion.is_strong
        if suspicion.key:
            self._running_keys -= Counter((suspicion.key,))

    def stop_running(self) -> None:
        """Drop the counts of runs, all of which have been stopped; the crashes still count."""
        self._running.clear()
        self._running_keys.clear()
        self._overdue.clear()
        self._running_strong = 0

    def expire(self, now_s: float) -> None:
        """Drop origins without a crash in the window."""
        for origin, record in list(self._origins.items()):
            record.prune(now_s)
            if not record.crashes:
                del self._origins[origin]
                self._explained.pop(origin, None)
                self._strong.pop(origin, None)
        counted = {
            start
            for record in self._origins.values()
            for starts in record.crashes.values()
            for start in starts
        }
        self._causes = {start: item for start, item in self._causes.items() if start in counted}
        for key, at_s in list(self._crashed_s.items()):
            if at_s <= now_s - WINDOW_S:
                for origin in self._strong:
                    self._drop_strong(origin, key)
            if at_s <= now_s - PAUSES_TTL_S:
                del self._crashed_s[key]

    def placement(
        self, origins: tuple[Origin, ...], suspicion: Suspicion, now_s: float
    ) -> Placement:
        """Return how an item may run now.

        Args:
            origins: Its origins, the lot first.
            suspicion: What is known against it.
            now_s: Current time in seconds.
        """
        limits = [self._origin_placement(origin, suspicion, now_s) for origin in origins]
        if Placement.HELD in limits or (
            suspicion.crashes and self._must_wait(origins, suspicion, now_s)
        ):
            return Placement.HELD
        is_apart = suspicion.crashes > 0 or Placement.APART in limits
        return Placement.APART if is_apart else Placement.SHARED

    def needs_idle(self, origins: Iterable[Origin], now_s: float) -> bool:
        """Return whether an origin has so few crashes left that its suspects have to run alone."""
        records = self._limited(origins, now_s)
        return any(self._count(record, now_s) >= ALONE_CRASHES for record in records)

    def is_at_limit(self, origins: Iterable[Origin], now_s: float) -> bool:
        """Return whether an origin has crashed so many back ends that none of its items may run."""
        return any(self._is_at_limit(record, now_s) for record in self._limited(origins, now_s))

    def _limited(self, origins: Iterable[Origin], now_s: float) -> list[_OriginRecord]:
        """Return the records of the origins whose crashes others do not explain."""
        return [
            record
            for origin in origins
            if (record := self._origins.get(origin)) is not None
            and not self._is_explained(origin, record, now_s)
        ]

    def _is_explained(self, origin: Origin, record: _OriginRecord, now_s: float) -> bool:
        known = self._explained.get(origin)
        if known is not None and 0.0 <= now_s - known[0] < EXPLAINED_TTL_S:
            return known[1]
        is_explained = self._rates.explain(origin, record.starts, now_s)
        self._explained[origin] = (now_s, is_explained)
        return is_explained

    def _count(self, record: _OriginRecord, now_s: float) -> int:
        return len(self._counted(record, now_s))

    def _counted(self, record: _OriginRecord, now_s: float) -> dict[str, float]:
        return record.counted(now_s, self._causes, self._refused_starts)

    def _is_at_limit(self, record: _OriginRecord, now_s: float) -> bool:
        count = self._count(record, now_s)
        return count >= MAX_ORIGIN_CRASHES and record.apart_s > now_s - WINDOW_S

    def _origin_placement(self, origin: Origin, suspicion: Suspicion, now_s: float) -> Placement:
        record = self._origins.get(origin)
        if record is None or self._is_explained(origin, record, now_s):
            return Placement.SHARED
        count = self._count(record, now_s)
        if count < APART_CRASHES:
            return Placement.SHARED
        most = 1 + len(record.sound) // SOUND_PER_RUN
        running = self._running[origin]
        if running - self._overdue[origin] >= most:
            return Placement.HELD
        if self._is_at_limit(record, now_s):
            is_trial = not suspicion.crashes_at_once and self._may_be_tried(record, now_s)
            return Placement.APART if is_trial else Placement.HELD
        # Each run apart may add one crash.
        is_spent = record.apart_s > now_s - WINDOW_S and count + running >= MAX_ORIGIN_CRASHES
        is_last = not suspicion.is_strong and self._keeps_last(record, now_s)
        return Placement.HELD if is_spent or is_last else Placement.APART

    def _keeps_last(self, record: _OriginRecord, now_s: float) -> bool:
        """Return whether the last crash that an origin may cause is kept for a later run.

        If nothing is known to be sound, its items would otherwise be held for the rest of the
        window, though the crashes may have come to an end.
        """
        counted = self._counted(record, now_s)
        if len(counted) != MAX_ORIGIN_CRASHES - 1 or record.apart_s <= now_s - WINDOW_S:
            return False
        if record.proven >= SOUND_PER_RUN:
            return False
        # Crashes that have another cause are a sign that there are more of them.
        are_all_own = len(counted) == len(record.counted(now_s))
        return are_all_own and now_s - max(counted.values()) < TRIAL_PAUSE_S

    def _may_be_tried(self, record: _OriginRecord, now_s: float) -> bool:
        """Return whether an item may run though its origin has crashed too many back ends.

        Runs apart follow each other, so that crashes of different items which came faster have
        another cause, as those may have that came while back ends crashed elsewhere too.
        """
        at_s = self._counted(record, now_s).values()
        if now_s - max(at_s) < TRIAL_PAUSE_S:
            return False
        came_together = max(at_s) - min(at_s) < TRIAL_PAUSE_S
        if came_together and not record.has_repeated and record.proven < SOUND_PER_RUN:
            return True
        return self._is_doubtful(record, now_s)

    def _is_doubtful(self, record: _OriginRecord, now_s: float) -> bool:
        """Return whether most of an origin's crashes may have another cause.

        Others crashed as well, and at most half of its own come from items that look harmful: one
        item of many looks so by chance.
        """
        if 2 * record.count_harmful(now_s) > self._count(record, now_s):
            return False
        return self._rates.has_others(record.starts, now_s)

    def _must_wait(self, origins: tuple[Origin, ...], suspicion: Suspicion, now_s: float) -> bool:
        """Return whether a suspect may not run yet."""
        known = [origin for origin in origins if origin in self._origins]
        limited = self._limited(known, now_s)
        is_explained = bool(known) and not limited
        is_doubtful = bool(known) and all(self._is_doubtful(record, now_s) for record in limited)
        most_s = TRIAL_PAUSE_S if is_doubtful else math.inf
        if self._running_keys[suspicion.key] or self._is_exhausted(suspicion, most_s, now_s):
            return True
        if any(self._has_enough_suspects(origin, now_s) for origin in origins):
            return True
        if suspicion.crashes_at_once and self._has_spent_harmful(known, now_s):
            return True
        if not suspicion.is_strong:
            return False
        per_trial = BACK_ENDS_PER_EXPLAINED_TRIAL if is_explained else BACK_ENDS_PER_TRIAL
        if self._strong_trials(now_s) >= max(1, self.back_ends // per_trial):
            return True
        # After a change of leader, the time of the last crash is not known.
        crashed_s = self._crashed_s.setdefault(suspicion.key, now_s)
        pause_s = min(self._pause_s(origins, suspicion, now_s), most_s)
        pause_s = FIRST_PAUSE_S if is_explained else pause_s
        if not suspicion.own_crashes:
            return now_s - crashed_s < min(pause_s, TURN_S)
        own_s = crashed_s if suspicion.own_crashed_s is None else suspicion.own_crashed_s
        return now_s - own_s < pause_s or self._has_turn_left(origins, now_s)

    def _has_turn_left(self, origins: tuple[Origin, ...], now_s: float) -> bool:
        """Return whether the turn of another one of many strong suspects is not over."""
        return any(
            len(self._strong.get(origin, ())) > MAX_TURNS
            and now_s - self._origins[origin].strong_s < TURN_S
            for origin in origins
            if origin in self._origins
        )

    def _has_spent_harmful(self, origins: Iterable[Origin], now_s: float) -> bool:
        """Return whether the harmful items of an origin have crashed as many as it may."""
        counts = [self._origins[origin].count_harmful(now_s) for origin in origins]
        return max(counts, default=0) >= MAX_ORIGIN_CRASHES

    def _is_exhausted(self, suspicion: Suspicion, most_s: float, now_s: float) -> bool:
        """Return whether a request has used up its runs and not rested for long enough."""
        pause_s = min(suspicion.exhausted_pause_s, most_s)
        return bool(pause_s) and now_s - self._crashed_s.setdefault(suspicion.key, now_s) < pause_s

    def _strong_trials(self, now_s: float) -> int:
        """Return how many back ends strong suspects run at or have crashed just now."""
        for start, at_s in list(self._strong_crashed_s.items()):
            if now_s - at_s >= STRONG_INTERVAL_S:
                del self._strong_crashed_s[start]
        return self._running_strong + len(self._strong_crashed_s)

    def _has_enough_suspects(self, origin: Origin, now_s: float) -> bool:
        record, running = self._origins.get(origin), self._running[origin]
        if record is None or not running:
            return False
        return self._count(record, now_s) + running >= MAX_CRASHES_AT_ONCE

    def _pause_s(self, origins: tuple[Origin, ...], suspicion: Suspicion, now_s: float) -> float:
        """Return how long a strong suspect waits after its last crash."""
        records = self._limited(origins, now_s)
        count = max((self._count(record, now_s) for record in records), default=0)
        strong = max((len(self._strong.get(origin, ())) for origin in origins), default=0)
        strong = min(strong, MAX_TURNS)
        if strong <= 1 and max(count, suspicion.crashes) <= STRONG_SUSPECT_CRASHES:
            return FIRST_PAUSE_S
        if suspicion.own_crashes < suspicion.crashes:
            # Another item with the same prompt goes first: its body may be harmless, and then its
            # response clears the prompt.
            strong = max(strong, suspicion.own_crashes)
        return TRIAL_PAUSE_S if strong <= 1 or suspicion.crashes == 1 else TURN_S * strong

    def _acquit(self, item: ItemKey) -> None:
        """Count the crashes that an item seemed to have caused for the other items again."""
        if self._causes:
            self._causes = {start: cause for start, cause in self._causes.items() if cause != item}

    def _drop_strong(self, origin: Origin, key: str) -> None:
        strong = self._strong.get(origin)
        if strong is not None:
            self._strong[origin] = {item: known for item, known in strong.items() if known != key}


__all__ = ["CrashLimits", "Origin", "Suspicion"]
