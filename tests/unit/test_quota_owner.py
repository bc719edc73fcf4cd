"""The owner of the tenants' limits: who it is, and whom it tells. In virtual time, without I/O."""

from __future__ import annotations

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.quota_relay import QuotaRelay
from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.ledger import TAKEOVER_WAIT_S, UNHEARD_S
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.quota.owner import OTHER_OWNER_S, STEP_S, Datagram, QuotaOwner
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.records import JOBS_GROUP, FleetView, GroupRecord
from leverjunction.routes.types import RateLimit, RouteTable, Tenant
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.envelope import Envelope, MessageKind

LIMIT = RateLimit(per_s=20.0, burst=10.0)
BOUNDS = QuotaBounds(window_s=5.0, overshoot=0.1)
STORE = ("10.0.0.9", 7)
GATEWAY = ("10.0.0.5", 7)
OTHER_GATEWAY = ("10.0.0.6", 7)


class Registry:
    """State of the registry at one control process."""

    def __init__(self) -> None:
        self.table = RouteTable(version=1, tenants=(Tenant(name="acme", limit=LIMIT),))
        self.is_stale = False
        address = f"{STORE[0]}:{STORE[1]}"
        jobs = GroupRecord(name=JOBS_GROUP, founders=(address,), voters=(address,))
        self.view = FleetView(revision=1, groups=(jobs,))

    def watch(self, request: WatchRequest) -> WatchReply | Failure:
        if self.is_stale:
            return Failure(
                kind=FailureKind.STALE,
                reason="stale",
                step=Step.EXCHANGING,
                execution=Execution.NOT_RUN,
            )
        return WatchReply(
            table=self.table if self.table.version > request.table_version else None,
            view=self.view if self.view.revision > request.revision else None,
            controls=(),
            contact_age_s=0.0,
        )


class Process:
    """A control process that steps as time passes."""

    def __init__(self) -> None:
        self.leads = True
        self.registry = Registry()
        self.owner = QuotaOwner(BOUNDS, self.registry, lambda: self.leads)
        self.now_s = 100.0
        self.sent: list[Datagram] = []

    def run(self, for_s: float) -> None:
        self.sent = []
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.sent += self.owner.step(self.now_s)
            self.now_s += STEP_S

    def report(
        self, name: str, admitted: int, sender: tuple[str, int] = GATEWAY, address: str = ""
    ) -> None:
        usage = TenantUsage(gateway=name, tenants={"acme": (admitted, 15.0)}, address=address)
        envelope = Envelope(kind=MessageKind.TENANT_USAGE, incarnation=1, body=encode(usage))
        self.owner.receive(envelope, sender, self.now_s)

    def tell_as(self, sender: tuple[str, int]) -> None:
        levels = TenantLevels(gateways=1, report_interval_s=0.1, tenants={})
        body = encode(levels)
        self.owner.receive(Envelope(kind=MessageKind.TENANT_LEVELS, body=body), sender, self.now_s)

    def told(self) -> set[tuple[str, int]]:
        """Return who was told levels in the last run."""
        levels = [item for item in self.sent if item.kind is MessageKind.TENANT_LEVELS]
        return {receiver for item in levels for receiver in item.receivers}

    def level(self) -> float:
        """Return the last level that was told."""
        levels = [item for item in self.sent if item.kind is MessageKind.TENANT_LEVELS]
        found = [decode(item.body, TenantLevels) for item in levels]
        return [item for item in found if not isinstance(item, Failure) and item.tenants][
            -1
        ].tenants["acme"][0]


def test_the_leader_tells_the_gateways_that_report() -> None:
    process = Process()
    process.run(STEP_S)
    process.report("g", 0)
    process.run(TAKEOVER_WAIT_S - STEP_S)
    assert not process.told(), "other gateways may not have reported yet"
    process.run(2 * STEP_S)
    assert process.told() == {GATEWAY}


def test_a_leader_that_no_gateway_has_reported_to_answers_the_first_at_once() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.run(2 * STEP_S)
    assert process.told() == {GATEWAY}


def test_a_process_that_does_not_lead_tells_nobody_and_forgets() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.leads = False
    process.run(1.0)
    process.report("g", 0)
    assert not process.sent
    process.leads = True
    process.run(3.0)
    assert not process.told(), "it has to hear of the gateways again"


def test_what_gateways_admit_is_charged() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.run(0.5)
    before = process.level()
    process.report("g", 10)
    process.run(STEP_S)
    assert process.level() < before - 10 + LIMIT.per_s * 3 * STEP_S


def test_a_lower_limit_of_a_newer_table_is_used() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.run(1.5)
    lower = Tenant(name="acme", limit=RateLimit(per_s=2.0, burst=1.0))
    process.registry.table = RouteTable(version=2, tenants=(lower,))
    process.report("g", 0)
    process.run(1.5)
    assert process.level() <= BOUNDS.depth(lower.limit)


def test_a_leader_without_contact_to_the_registry_keeps_its_limits() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.registry.is_stale = True
    process.run(1.0)
    assert process.told() == {GATEWAY}


def test_a_store_of_an_earlier_release_that_owns_the_limits_stays_the_only_owner() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    probes = [item for item in process.sent if item.kind is MessageKind.TENANT_USAGE]
    assert probes
    assert all(item.receivers == (STORE,) for item in probes)
    process.report("g", 0)
    process.run(0.5)
    assert process.told() == {GATEWAY}
    for _ in range(30):
        process.tell_as(STORE)
        process.report("g", 0)
        process.run(STEP_S)
        assert not process.told()
    # The store is replaced.
    process.run(OTHER_OWNER_S + 1.0)
    process.report("g", 0)
    process.run(TAKEOVER_WAIT_S + 3 * STEP_S)
    assert process.told() == {GATEWAY}


def test_levels_of_a_process_that_is_no_store_are_ignored() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("g", 0)
    process.tell_as(OTHER_GATEWAY)
    process.run(2 * STEP_S)
    assert process.told() == {GATEWAY}


def test_a_gateway_whose_report_was_passed_on_is_told_itself() -> None:
    process = Process()
    process.run(UNHEARD_S + 3 * STEP_S)
    process.report("former", 0, STORE, f"{GATEWAY[0]}:{GATEWAY[1]}")
    process.run(2 * STEP_S)
    assert process.told() == {GATEWAY}


def relayed(
    usage: TenantUsage, leads: bool = True
) -> tuple[Envelope, list[tuple[str, int]]] | None:
    relay = QuotaRelay(lambda: leads, lambda: ["10.0.0.1:7", "10.0.0.2:7"])
    envelope = Envelope(kind=MessageKind.TENANT_USAGE, incarnation=5, body=encode(usage))
    return relay.relay(envelope, GATEWAY)


def test_the_store_that_leads_passes_reports_of_gateways_on() -> None:
    usage = TenantUsage(gateway="former", tenants={"acme": (3, 1.0)})
    passed = relayed(usage)
    assert passed is not None
    envelope, receivers = passed
    assert receivers == [("10.0.0.1", 7), ("10.0.0.2", 7)]
    assert envelope.incarnation == 5
    assert decode(envelope.body, TenantUsage) == TenantUsage(
        gateway="former", tenants=usage.tenants, address="10.0.0.5:7"
    )


def test_other_reports_are_not_passed_on() -> None:
    usage = TenantUsage(gateway="former", tenants={})
    assert relayed(usage, leads=False) is None
    assert relayed(TenantUsage(gateway="", tenants={})) is None, "the probe of a control process"
    assert relayed(TenantUsage(gateway="g", tenants={}, address="10.0.0.7:7")) is None
