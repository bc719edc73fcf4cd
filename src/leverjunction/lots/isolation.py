"""Runs suspect items apart from everything else, and reports which back ends crash under items.

Belongs to the event loop of the lots runner. An item run *apart* has a back end to itself, as far
as this process can tell, until the run is proven: until it has produced output for longer than
harmful requests do before their back end crashes.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable

from leverjunction.lots.broken_runs import BrokenRun, BrokenRuns
from leverjunction.lots.crash_limits import PAUSES_TTL_S, CrashLimits, Origin, Suspicion
from leverjunction.lots.crash_rates import CrashRates
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.lots.ownership import owner_of
from leverjunction.lots.placement import Placement
from leverjunction.lots.unproven_runs import UNPROVEN_TIMEOUT_S, UnprovenRuns
from leverjunction.proxy.quarantine import EvidenceReporter, Quarantine
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.quarantine.records import EndedRun
from leverjunction.quarantine.verdicts import REFUSAL_THRESHOLD, Standing
from leverjunction.registry.follower import Snapshot

IDLE_PATIENCE_S = 2.0
"""Time for which an item waits for an idle back end before it takes the least loaded one."""

LOT_IDLE_PATIENCE_S = 6.0
"""The same for items that have met no crash, but whose lot has caused some. They wait together, so
that the lot is not slowed down by as much for each of them.
"""

STRONG_IDLE_PATIENCE_S = 10.0
"""The same for an item that almost certainly crashes its back end: longer than most runs take that
have to end there first.
"""

MAX_IDLE_GAP_S = 6.0
"""Time without asking for an idle back end after which the wait for one begins anew: the item was
held back meanwhile.
"""

CAUSE_ALONE_CRASHES = 2
"""Crashes at back ends where nothing else ran from which an item is taken for the cause of its
earlier crashes too. One may be the work of an online request that came after the item.
"""

DRAIN_TIMEOUT_S = 2.0
"""Time after which a back end is no longer kept free, unless an item still waits for it."""

MAX_DEFERRED_S = 10.0
"""Time after its crash, or after its lot was held, for which an item lets those of the lot go first
that have met fewer crashes: the lot may wait long for capacity.
"""

AUTHORIZATION = "authorization"


class _ApartRun:
    """A run apart that is not proven yet.

    Attributes:
        run: The item.
        suspicion: What was known against it when the run started.
        origins: Its origins.
        is_alone: Whether no other request was known at its back end.
        is_overdue: Whether it has produced nothing for so long that others may start.
        started_s: When it started, in monotonic seconds.
    """

    __slots__ = ("is_alone", "is_overdue", "origins", "run", "started_s", "suspicion")

    def __init__(
        self, run: ItemRun, suspicion: Suspicion, is_alone: bool, started_s: float
    ) -> None:
        self.run = run
        self.is_overdue = False
        self.started_s = started_s
        self.suspicion = suspicion
        self.origins = _origins(run)
        self.is_alone = is_alone


class Isolation:
    """Decides how suspect items run, and chooses their back ends.

    Implements ``EvidenceReporter``, so that it hears of each crash that the quarantine proves.

    Args:
        report: Receives the evidence in turn; None for nobody.
    """

    __slots__ = (
        "_apart",
        "_broken",
        "_busy_services",
        "_draining",
        "_early_runs",
        "_held_s",
        "_item_keys_s",
        "_known_starts",
        "_least_crashes",
        "_limits",
        "_loop",
        "_quarantine",
        "_rates",
        "_report",
        "_strong_suspects",
        "_suspects",
        "_unproven",
        "_waiting",
    )

    def __init__(self, report: EvidenceReporter | None) -> None:
        self._report = report
        self._rates = CrashRates()
        self._limits = CrashLimits(self._rates)
        self._quarantine = Quarantine(self)
        self._apart: dict[str, _ApartRun] = {}
        self._early_runs: dict[ItemKey, tuple[ItemRun, float]] = {}
        self._broken = BrokenRuns()
        self._strong_suspects: list[ItemRun] = []
        self._suspects: dict[ItemKey, ItemRun] = {}
        self._unproven = UnprovenRuns()
        self._waiting: dict[ItemKey, ItemRun] = {}
        self._busy_services: set[str] = set()
        self._draining: dict[str, tuple[str, float]] = {}
        self._held_s: dict[str, float] = {}
        self._item_keys_s: dict[str, float] = {}
        self._known_starts: set[str] = set()
        self._least_crashes: dict[str, int] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def quarantine(self) -> Quarantine:
        """The evidence about suspect requests."""
        return self._quarantine

    def set_registry(self, snapshot: Snapshot) -> None:
        """Apply a newer state of the registry, which may prove that back ends have crashed."""
        self._known_starts = {record.start for record in snapshot.view.runners}
        self._limits.back_ends = len(self._known_starts)
        self._quarantine.replace(snapshot.view.runners, snapshot.suspects)
        self._rates.set_runners(snapshot.view.runners, self._loop.time())
        from_s = self._loop.time() - PAUSES_TTL_S
        self._item_keys_s = {key: at_s for key, at_s in self._item_keys_s.items() if at_s > from_s}
        self._note_refused_starts()

    def _note_refused_starts(self) -> None:
        self._limits.crashed_by_others(self._quarantine.refused_starts(self._item_keys_s))

    def ended(self, run: EndedRun) -> None:
        """Note a proven crash of a back end during an item's run, and report it."""
        self._item_keys_s[run.key] = self._loop.time()
        self._rates.crashed(run.start, self._loop.time())
        broken = self._broken.take_proof(run.request_id, run.start)
        if broken is not None and not run.ran_on:
            self._rates.crashed_in_run(run.start, broken.ran_s)
            item = broken.run
            item.crashed_starts.add(run.start)
            item.crashed_s = self._loop.time()
            if broken.was_alone:
                item.alone_starts.add(run.start)
            self._suspects[item.key] = item
            if self._quarantine.crashes(run.key) > self._quarantine.crashes(item.suspect_key):
                item.suspect_key = run.key
            self._unproven.crashed(item.item.lot_id)
            self._limits.crashed(
                item.key,
                _origins(item),
                run.start,
                self._evidence(item),
                self._loop.time(),
                apart=broken.was_alone,
            )
            if len(item.alone_starts) >= CAUSE_ALONE_CRASHES:
                self._limits.caused(item.key, item.crashed_starts)
        if self._report is not None:
            self._report.ended(run)

    def answered(self, key: str) -> None:
        """Report that a suspect request got a complete response."""
        if self._report is not None:
            self._report.answered(key)

    def update(self) -> None:
        """Account for runs that are proven or have ended; call it before runs are started."""
        now_s = self._loop.time()
        for start, apart in list(self._apart.items()):
            if not apart.run.is_at(start):
                self._settle(start)
            elif apart.run.is_proven(now_s):
                self._settle(start)
                self._limits.proven(apart.run.key, apart.origins)
            elif not apart.is_overdue and now_s - apart.started_s > UNPROVEN_TIMEOUT_S:
                apart.is_overdue = True
                self._limits.overdue(apart.origins)
        for early, _ in list(self._early_runs.values()):
            # A task that is cancelled before its first step does not tell that its run has ended.
            if early.task is None or early.is_proven(now_s):
                self._end_early_run(early)
        self._unproven.update(now_s)
        self._quarantine.expire()
        self._rates.expire(now_s)
        self._busy_services.clear()
        self._draining = {
            service: (start, until_s)
            for service, (start, until_s) in self._draining.items()
            if until_s >= now_s and start in self._known_starts
        }
        self._broken.expire(now_s)
        if not self._limits.is_idle:
            self._limits.expire(now_s)

    def placement(self, run: ItemRun) -> Placement:
        """Return how an item may run now."""
        if self._limits.is_idle and not run.suspect_key and not self._broken.has_early:
            placement = Placement.SHARED
        else:
            placement = self._limited_placement(run)
        run.placement = placement
        if placement is Placement.SHARED:
            run.wants_idle_s = None
        return placement

    def _limited_placement(self, run: ItemRun) -> Placement:
        origins, now_s = _origins(run), self._loop.time()
        placement = self._limits.placement(origins, self._suspicion(run), now_s)
        if placement is Placement.SHARED:
            return self._broken.placement(run.key)
        if self._broken.placement(run.key) is Placement.HELD:
            return Placement.HELD
        # The few crashes that a lot may cause are left to items that have caused fewer, most of
        # which are harmless.
        lot_id = run.item.lot_id
        if self._limits.is_at_limit(origins, now_s):
            self._held_s[lot_id] = now_s
        since_s = max(run.crashed_s, self._held_s.get(lot_id, 0.0))
        least = self._least_crashes.get(lot_id, 0)
        has_waited = now_s - since_s > MAX_DEFERRED_S
        is_next = self._own_crashes(run) <= least or has_waited
        return placement if is_next else Placement.HELD

    def adopt(self, runs: Iterable[ItemRun], wall_ms: int = 0) -> None:
        """Take over what is known against open items from before this process became leader.

        This process may have led before; runs by another store are known from the registry.

        Args:
            runs: The open items.
            wall_ms: Current time in milliseconds since the Unix epoch, from which the ages of
                crashes are estimated.
        """
        records = self._quarantine.reported()
        if not records and not self._suspects:
            return
        now_s = self._loop.time()
        for start in {start for each in records.values() for one in each for start in one.starts}:
            self._rates.crashed(start, now_s - self._rates.crash_age_s(start, wall_ms))
        adopted: dict[Origin, set[str]] = {}
        items: Counter[Origin] = Counter()
        for run in runs:
            earlier = self._suspects.get(run.key)
            if earlier is not None:
                run.suspect_key = earlier.suspect_key
                run.crashed_starts = set(earlier.crashed_starts)
                run.alone_starts = set(earlier.alone_starts)
                run.crashed_s = earlier.crashed_s
            known = set(run.crashed_starts)
            for record in records.get(run.item.item_id, ()):
                self._item_keys_s[record.key] = now_s
                if self._quarantine.crashes(record.key) > self._quarantine.crashes(run.suspect_key):
                    run.suspect_key = record.key
                run.crashed_starts.update(record.starts)
            # The limits still count the crashes from before, each from when it happened.
            added = {
                start: now_s - self._rates.crash_age_s(start, wall_ms)
                for start in run.crashed_starts - known
            }
            self._adopt_crashes(run, added)
            items.update(_origins(run))
            for origin in _origins(run) if added else ():
                adopted.setdefault(origin, set()).update(added)
            if len(run.crashed_starts) < REFUSAL_THRESHOLD:
                self._rates.adopt(_subject(run), added, 1, now_s)
        for origin, starts in adopted.items():
            self._rates.adopt(origin, starts, items[origin], now_s)
        self._note_refused_starts()

    def _adopt_crashes(self, run: ItemRun, crashed_s: dict[str, float]) -> None:
        """Count crashes from before against an item, each by its start and time."""
        for start, at_s in sorted(crashed_s.items(), key=lambda crash: crash[1]):
            run.crashed_s = at_s
            self._limits.crashed(
                run.key, _origins(run), start, self._evidence(run), at_s, apart=False
            )

    def rank_suspects(self, waiting: Iterable[ItemRun]) -> None:
        """Note which of the waiting items go first; call it with each ranking."""
        self._least_crashes = {}
        self._strong_suspects = []
        if self._limits.is_idle:
            return
        for run in waiting:
            lot_id, crashes = run.item.lot_id, self._own_crashes(run)
            known = self._least_crashes.get(lot_id, crashes)
            self._least_crashes[lot_id] = min(known, crashes)
            if self._suspicion(run).is_strong:
                self._strong_suspects.append(run)
        self._strong_suspects.sort(key=lambda run: (self._own_crashes(run), run.crashed_s))

    def retain_lots(self, lot_ids: set[str]) -> None:
        """Drop what is known about all lots but those listed."""
        self._unproven.retain(lot_ids)
        self._held_s = {lot: at_s for lot, at_s in self._held_s.items() if lot in lot_ids}
        for key in [key for key in self._suspects if key[0] not in lot_ids]:
            del self._suspects[key]

    def may_share(self, run: ItemRun, start: str) -> bool:
        """Return whether an item may start at a back end beside other requests."""
        apart = self._apart.get(start)
        if apart is not None and not apart.is_overdue:
            return False
        if any(start == kept for kept, _ in self._draining.values()):
            return False
        if self._quarantine.has_crashed(start):
            return False
        return self._unproven.may_start(run, start)

    def reserved_starts(self) -> set[str]:
        """Return the starts at which an item runs apart, or which are kept free for one."""
        running = {start for start, apart in self._apart.items() if not apart.is_overdue}
        return running | {start for start, _ in self._draining.values()}

    def is_starting(self, run: ItemRun) -> bool:
        """Return whether an item waits until other runs of its lot are proven."""
        return self._unproven.is_full(run)

    def is_proven(self, run: ItemRun) -> bool:
        """Return whether an item has shown in an earlier run that it is harmless."""
        return self._unproven.is_proven(run)

    def take_waiting(self) -> list[ItemRun]:
        """Return the items that come before the ranked ones, which fill each slot that is free.

        These are the items for which there was no back end, the longest waiting first, and the
        strong suspects, those with the fewest crashes first.
        """
        waiting, self._waiting = self._waiting, {}
        return [run for run in (*waiting.values(), *self._strong_suspects) if run.task is None]

    def pick_runner(
        self,
        run: ItemRun,
        service: str,
        loads: LoadWatch,
        may_use: Callable[[str], bool] = lambda _start: True,
    ) -> TrackedRunner | None:
        """Return a back end for an item that is to run apart, None while there is none.

        While the item waits for an idle back end, one is kept free of other items.

        Args:
            run: The item.
            service: Service that it is sent to.
            loads: Knows the load of the back ends.
            may_use: Returns whether a start may run the item.
        """
        now_s = self._loop.time()
        if run.wants_idle_s is None or now_s - run.asked_idle_s > MAX_IDLE_GAP_S:
            run.wants_idle_s = now_s
        run.asked_idle_s = now_s
        is_patient = now_s - run.wants_idle_s < self._patience_s(run)
        runner = None
        if not is_patient or service not in self._busy_services:
            runner = self._pick_runner(service, loads, is_patient, may_use)
        if runner is None:
            self._busy_services.add(service)
            self._waiting[run.key] = run
        return runner

    def _pick_runner(
        self, service: str, loads: LoadWatch, is_patient: bool, may_use: Callable[[str], bool]
    ) -> TrackedRunner | None:
        choice = loads.pick_idlest(
            service,
            lambda start: (
                start not in self._apart
                and not self._quarantine.has_crashed(start)
                and may_use(start)
            ),
        )
        if choice is None:
            return None
        runner, requests = choice
        if not requests or not is_patient:
            return runner
        kept, _ = self._draining.get(service, (runner.record.start, 0.0))
        self._draining[service] = (kept, self._loop.time() + DRAIN_TIMEOUT_S)
        return None

    def _patience_s(self, run: ItemRun) -> float:
        """Return how long an item waits for an idle back end before it takes another one."""
        if run.crashed_starts and self._limits.needs_idle(_origins(run), self._loop.time()):
            return math.inf
        if self._suspicion(run).is_strong:
            return STRONG_IDLE_PATIENCE_S
        return IDLE_PATIENCE_S if run.crashed_starts else LOT_IDLE_PATIENCE_S

    def hold_end_s(self, run: ItemRun) -> float | None:
        """Return when an item may run at the latest, if no further back end crashes.

        In monotonic seconds; None if that is not known. Only for log lines.
        """
        if run.placement is not Placement.APART or run.wants_idle_s is None:
            return None
        end_s = run.wants_idle_s + self._patience_s(run)
        return end_s if math.isfinite(end_s) else None

    def started(self, run: ItemRun, other_requests: int) -> None:
        """Note that an item starts at the back end that it was assigned to.

        Args:
            run: The item.
            other_requests: Requests that are known to be at the back end.
        """
        run.first_output_s = None
        self._end_early_run(run)
        self._early_runs[run.key] = (run, self._loop.time())
        self._unproven.started(run, self._loop.time())
        beside = self._apart.get(run.runner_id)
        if beside is not None:
            beside.is_alone = False
        if run.placement is not Placement.APART:
            return
        run.wants_idle_s = None
        is_alone = not other_requests
        apart = _ApartRun(run, self._suspicion(run), is_alone, self._loop.time())
        self._apart[run.runner_id] = apart
        self._limits.started(apart.suspicion, apart.origins)
        for service, (start, _) in list(self._draining.items()):
            if start == run.runner_id:
                del self._draining[service]

    def may_send(self, run: ItemRun) -> bool:
        """Return whether an item whose key was just looked up may run where it was placed.

        Its place was chosen by what was known then: an item that has not run yet, or that another
        store ran, may turn out to be a suspect only now.
        """
        if not self._suspicion(run).crashes:
            return True
        apart = self._apart_run(run)
        return apart is not None and run.suspect_key == apart.suspicion.key

    def run_lost(self, run: ItemRun) -> None:
        """Note that an item's run was broken off; call it before telling the quarantine."""
        apart = self._apart_run(run)
        was_alone = apart is not None and apart.is_alone
        was_early = not run.has_run_on
        ran_s = self._end_early_run(run)
        self._broken.add(BrokenRun(run, was_alone, was_early, self._loop.time(), ran_s))
        if apart is not None:
            self._settle(run.runner_id)
        self._unproven.dropped(run)

    def run_ended(self, run: ItemRun) -> None:
        """Note that an item is no longer at its back end, whatever came of its run."""
        self._end_early_run(run)

    def run_answered(self, run: ItemRun) -> None:
        """Note a complete response to an item."""
        self._suspects.pop(run.key, None)
        self._end_early_run(run)
        self._broken.answered(run)
        self._unproven.proven(run)
        if self._apart_run(run) is not None:
            self._settle(run.runner_id)
        if not self._limits.is_idle:
            self._limits.answered(run.key, _origins(run), run.suspect_key)

    def clear(self) -> None:
        """Forget all runs: another store leads the group. The crashes still count."""
        self._apart.clear()
        self._early_runs.clear()
        self._broken.clear()
        self._waiting.clear()
        self._unproven.clear()
        self._draining.clear()
        self._limits.stop_running()

    def _end_early_run(self, run: ItemRun) -> float:
        """Account for a run that is proven or has ended; return its time, in seconds."""
        early = self._early_runs.pop(run.key, None)
        if early is None:
            return math.inf
        now_s = self._loop.time()
        subjects = (*_origins(run), _subject(run))
        self._rates.ran(run.runner_id, subjects, now_s - early[1], now_s)
        return now_s - early[1]

    def _apart_run(self, run: ItemRun) -> _ApartRun | None:
        """Return the run of an item if it runs apart and is not proven yet."""
        apart = self._apart.get(run.runner_id)
        return apart if apart is not None and apart.run is run else None

    def _settle(self, start: str) -> None:
        apart = self._apart.pop(start)
        self._limits.settled(apart.suspicion, apart.origins, was_overdue=apart.is_overdue)

    def _own_crashes(self, run: ItemRun) -> int:
        return self._limits.own_crashes(run.key, run.crashed_starts)

    def _is_explained(self, run: ItemRun) -> bool:
        """Return whether the crashes of others explain those in an item's runs."""
        return self._rates.explain(_subject(run), run.crashed_starts, self._loop.time())

    def _suspicion(self, run: ItemRun) -> Suspicion:
        return Suspicion() if self._is_explained(run) else self._evidence(run)

    def _evidence(self, run: ItemRun) -> Suspicion:
        """Return what is known against an item, whether or not others explain it."""
        key = run.suspect_key
        if not key:
            return Suspicion()
        return Suspicion(
            key,
            self._quarantine.crashes(key),
            self._quarantine.verdicts(key),
            self._quarantine.standing(key) is Standing.REFUSED,
            self._own_crashes(run),
            run.crashed_s,
            crashed_alone=bool(run.alone_starts),
            crashes_at_once=self._rates.crashes_at_once(_subject(run), run.crashed_starts),
        )


def _subject(run: ItemRun) -> tuple[str, ...]:
    """Return the subject whose time ``CrashRates`` counts for an item."""
    return ("item", *run.key)


def _origins(run: ItemRun) -> tuple[Origin, ...]:
    """Return the origins of an item, its lot first."""
    lot = ("lot", run.item.lot_id)
    tenant = owner_of(run.item.lot_id)
    credentials = (
        [tenant]
        if tenant
        else [value for name, value in run.item.headers if name.lower() == AUTHORIZATION]
    )
    if not credentials:
        return (lot,)
    return (lot, ("caller", run.item.host, run.route_name, *credentials))


__all__ = ["Isolation"]
