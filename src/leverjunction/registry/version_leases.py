"""Leases on the set of versions of each service. Performs no I/O; callers pass in the time.

A gateway may take the version that it knows for the only one while its state is recent enough; a
control process may tell so for ``CONTROL_LEASE_S`` after its last contact, though no quorum is
left. In return a newer version is used only once all of them have heard of it, or once the state of
those that have not is too old. Control processes report to the registry's leader which revision
each gateway has acknowledged by its watch calls; the leader returns the revision that all have.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Collection

import msgspec

from leverjunction.registry.origins import STREAM_LIFETIME_S
from leverjunction.registry.records import FleetView

CONTROL_LEASE_S = 8.0
"""Time after which a control process that has not heard of a version tells of no version."""

LEASE_MARGIN_S = 1.2
"""Time by which the lease of a control process ends earlier there than at the leader and at
gateways: a former leader may grant one for so long after another was elected.
"""

EXCHANGE_INTERVAL_S = 0.7
PENDING_INTERVAL_S = 0.1
"""Interval of reports while a version waits until it may be used."""


class SharedRevisions(msgspec.Struct, frozen=True, kw_only=True):
    """Revisions of the registry that all processes have, or whose lease on older ones is over.

    Attributes:
        controls: Revision of all control processes, -1 if it is not known. Gateways may have older
            states, which they trust for ``bounds.in_force_ms`` at most.
        gateways: Revision of all control processes and gateways, -1 if it is not known.
        are_held: Whether no gateway uses a version sooner: all are of a build that holds them back.
        versions: Revision from which on the control process that tells this knew all versions that
            serve, -1 if it is not known.
        leader: Revision of the leader when it replied, -1 if it did not tell and in what is passed
            on to others.
    """

    controls: int = -1
    gateways: int = -1
    are_held: bool = False
    versions: int = -1
    leader: int = -1

    def merged(self, later: SharedRevisions | None) -> SharedRevisions:
        """Return what is known after a later message; a revision that all had, they still have.

        ``versions`` is unknown after a message without it: that of an earlier one would have a
        version that joined since count as widely known.
        """
        if later is None:
            return msgspec.structs.replace(self, versions=-1)
        return SharedRevisions(
            controls=max(later.controls, self.controls),
            gateways=max(later.gateways, self.gateways),
            are_held=later.are_held,
            versions=-1 if later.versions < 0 else max(later.versions, self.versions),
        )


class FirstSeen(msgspec.Struct, frozen=True):
    """When a gateway first heard of a version.

    Attributes:
        at_s: Time in monotonic seconds.
        revision: Revision of the state that told it.
    """

    at_s: float
    revision: int

    def is_widely_known(self, shared: SharedRevisions, now_s: float, view_lease_s: float) -> bool:
        """Return whether no process takes another version for the only one any more.

        Args:
            shared: Revisions that all processes have.
            now_s: Monotonic time in seconds.
            view_lease_s: Longest time for which a gateway trusts a state, in seconds.
        """
        if shared.gateways >= self.revision:
            return True
        lease_s = view_lease_s if shared.controls >= self.revision else CONTROL_LEASE_S
        return now_s - self.at_s > lease_s


class ReportViews(msgspec.Struct, frozen=True, kw_only=True):
    """Message of a control process to the registry's leader.

    Attributes:
        control: RPC address of the control process.
        revision: Revision of the registry that it has.
        gateways: Revision by name of each start of a gateway that may still trust a state received
            here.
        is_unsure: Whether there may be gateways that are not listed.
    """

    control: str
    revision: int
    gateways: dict[str, int]
    is_unsure: bool


class _Followed:
    """A gateway at a control process: revision, calls that are held, and end of its lease."""

    __slots__ = ("calls", "revision", "until_s")

    def __init__(self) -> None:
        self.revision = -1
        self.calls = 0
        self.until_s = -math.inf


class FollowedViews:
    """The gateways that may trust a state received from this control process. Thread-safe.

    Args:
        view_lease_s: Longest time for which a gateway trusts a state, in seconds.
        started_s: Start of this process, in monotonic seconds; what a former start sent is unknown.
    """

    def __init__(self, view_lease_s: float, started_s: float) -> None:
        self._lock = threading.Lock()
        self._view_lease_s = view_lease_s
        self._known_from_s = started_s + view_lease_s
        self._followed: dict[str, _Followed] = {}

    def asked(self, gateway: str, revision: int) -> None:
        """Note a call of a gateway; ``replied`` must follow.

        Args:
            gateway: Its name; empty if it is of a build that does not send one.
            revision: Revision that it has.
        """
        with self._lock:
            followed = self._followed.setdefault(gateway, _Followed())
            followed.revision = revision
            followed.calls += 1

    def replied(self, gateway: str, now_s: float) -> None:
        """Note that the reply to a call is complete, so that no older state is sent any more."""
        with self._lock:
            followed = self._followed[gateway]
            followed.calls -= 1
            followed.until_s = now_s + self._view_lease_s

    def report(self, control: str, revision: int, now_s: float) -> ReportViews:
        """Return the report to the leader.

        Args:
            control: RPC address of this process.
            revision: Revision of the registry that this process has, read before this call.
            now_s: Monotonic time in seconds.
        """
        with self._lock:
            self._followed = {
                gateway: item
                for gateway, item in self._followed.items()
                if item.calls or item.until_s >= now_s
            }
            gateways = {gateway: item.revision for gateway, item in self._followed.items()}
        is_unsure = gateways.pop("", None) is not None or now_s <= self._known_from_s
        return ReportViews(
            control=control, revision=revision, gateways=gateways, is_unsure=is_unsure
        )


class ViewReports:
    """The reports of control processes to one leader. Not thread-safe.

    Args:
        since_s: Begin of its leadership, in monotonic seconds.
    """

    __slots__ = ("_controls_s", "_reports", "_since_s")

    def __init__(self, since_s: float) -> None:
        self._since_s = since_s
        self._reports: dict[str, tuple[ReportViews, float]] = {}
        self._controls_s: dict[str, float] = {}

    def record(self, report: ReportViews, now_s: float) -> None:
        """Store the newest report of a control process."""
        self._reports[report.control] = (report, now_s)

    def shared(self, controls: Collection[str], now_s: float) -> SharedRevisions:
        """Return which revisions all processes have.

        Args:
            controls: RPC addresses of all control processes that may serve the registry.
            now_s: Monotonic time in seconds.
        """
        self._controls_s |= dict.fromkeys(controls, now_s)
        self._controls_s = {
            address: seen_s
            for address, seen_s in self._controls_s.items()
            if now_s - seen_s <= CONTROL_LEASE_S
        }
        reports = [self._reports[item][0] for item in self._controls_s if item in self._reports]
        holders = [item for item in self._controls_s if not self._has_ended(item, now_s)]
        is_whole = len(reports) == len(self._controls_s)
        is_sure = not any(report.is_unsure for report in reports)
        return SharedRevisions(
            controls=min((self._revision(item) for item in holders), default=-1),
            gateways=_lowest_revision(reports) if is_whole and is_sure else -1,
            are_held=is_sure and all(item in self._reports for item in holders),
        )

    def _has_ended(self, control: str, now_s: float) -> bool:
        """Return whether the lease of a control process is over."""
        _, heard_s = self._reports.get(control, (None, self._since_s))
        return now_s - max(heard_s, self._since_s) > CONTROL_LEASE_S

    def _revision(self, control: str) -> int:
        report = self._reports.get(control)
        return -1 if report is None else report[0].revision


def _lowest_revision(reports: list[ReportViews]) -> int:
    """Return the lowest revision of all control processes and gateways."""
    gateways: dict[str, int] = {}
    for report in reports:
        for gateway, revision in report.gateways.items():
            # One that turned to another control process is listed twice.
            gateways[gateway] = max(revision, gateways.get(gateway, -1))
    return min([*(report.revision for report in reports), *gateways.values()], default=-1)


class ControlLease:
    """The lease of one control process, and what its leader told last. Not thread-safe."""

    __slots__ = ("_granted_s", "shared")

    def __init__(self) -> None:
        self.shared = SharedRevisions()
        self._granted_s = -math.inf

    def granted(self, reply: SharedRevisions, sent_s: float) -> None:
        """Note the reply to a report that was sent at a time, in monotonic seconds."""
        self.shared = self.shared.merged(reply)
        self._granted_s = sent_s if reply.are_held else -math.inf

    def is_valid(self, age_s: float, now_s: float) -> bool:
        """Return whether a version that this process has not heard of is not used yet.

        Args:
            age_s: Upper bound of the age of the registry's state here, in seconds.
            now_s: Monotonic time in seconds.
        """
        return max(age_s, now_s - self._granted_s) <= CONTROL_LEASE_S - LEASE_MARGIN_S


class VersionChanges:
    """The revision at which a process first knew all versions that serve. Not thread-safe."""

    __slots__ = ("_updated_s", "_versions", "_view", "changed_s", "revision")

    def __init__(self) -> None:
        self._view: FleetView | None = None
        self._versions: set[tuple[str, str]] = set()
        self._updated_s = -math.inf
        self.revision = -1
        self.changed_s = -math.inf

    def update(self, view: FleetView, now_s: float) -> None:
        """Apply a state of the registry."""
        if now_s - self._updated_s > STREAM_LIFETIME_S:
            # A version may have ended and come back, and others no longer reckon with it.
            self._view, self._versions = None, set()
        self._updated_s = now_s
        if view is self._view:
            return
        self._view = view
        versions = {(record.service, record.version) for record in view.runners}
        if versions - self._versions:
            self.revision, self.changed_s = view.revision, now_s
        self._versions = versions

    def is_pending(self, shared: SharedRevisions, now_s: float) -> bool:
        """Return whether a version may not be used yet for lack of acknowledgements."""
        return shared.gateways < self.revision and now_s - self.changed_s <= CONTROL_LEASE_S


__all__ = [
    "CONTROL_LEASE_S",
    "EXCHANGE_INTERVAL_S",
    "LEASE_MARGIN_S",
    "PENDING_INTERVAL_S",
    "ControlLease",
    "FirstSeen",
    "FollowedViews",
    "ReportViews",
    "SharedRevisions",
    "VersionChanges",
    "ViewReports",
]
