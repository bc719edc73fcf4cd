"""The exchange loop: delay of the next exchange, settings, resent digests and pending work."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.exchange import DigestOutbox, ExchangeLoop
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.gateway.view import ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    JobAlert,
    PendingWork,
    RunnerDigest,
    SettingRow,
)

INTERVAL_S = 1.0
GATEWAY = GatewayState(
    gateway_id="g1", address="a", rpc_address="r", zone="z1", incarnation=1, settings_version=0
)
REPLY = ExchangeReply(
    settings_version=0,
    settings=[],
    view_version=1,
    hub_incarnation=1,
    full_view=True,
    gateways=[],
    gone_gateways=[],
    runners=[],
    gone_runners=[],
    digests=[],
    lost_lease_ids=[],
    cancelled_jobs=[],
    hubs=[],
    quorum_age_s=0.0,
)
NO_REPLY = Failure(
    kind=FailureKind.TIMEOUT, reason="no reply", step=Step.EXCHANGING, execution=Execution.NOT_RUN
)


class StubControl:
    hub = "h1"

    def __init__(self) -> None:
        self.reply: ExchangeReply | Failure = REPLY
        self.requests: list[ExchangeRequest] = []

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        self.requests.append(request)
        return self.reply


class StubCache:
    def save(self, _settings: ResolvedSettings) -> None:
        return None


class StubLeases:
    def __init__(self) -> None:
        self.pending_work: list[list[PendingWork]] = []
        self.alerts: list[list[JobAlert]] = []

    def update_pending(self, work: list[PendingWork]) -> None:
        self.pending_work.append(work)

    def lease_ids(self) -> dict[str, list[str]]:
        return {}

    def alerted(self, alerts: list[JobAlert]) -> None:
        self.alerts.append(alerts)

    def revoke(self, _lost_lease_ids: list[str], _cancelled_jobs: list[str]) -> None:
        return None


def make_loop(
    outbox: DigestOutbox | None = None, leases: StubLeases | None = None
) -> tuple[ExchangeLoop, StubControl]:
    control = StubControl()
    loop = ExchangeLoop(
        control,  # type: ignore[arg-type]
        lambda: GATEWAY,
        ClusterView(),
        SettingsStore(StubCache()),  # type: ignore[arg-type]
        outbox or DigestOutbox(),
        leases or StubLeases(),
        GatewayCounters(),
        INTERVAL_S,
        lambda _snapshot: None,
    )
    return loop, control


def test_a_failed_exchange_is_retried_soon_and_then_less_often() -> None:
    loop, control = make_loop()
    control.reply = NO_REPLY
    assert loop.exchange_once() is NO_REPLY
    assert loop.wait_s <= 0.3
    for _ in range(8):
        loop.exchange_once()
    assert loop.wait_s == INTERVAL_S
    control.reply = REPLY
    assert loop.exchange_once() is None
    assert loop.wait_s == INTERVAL_S
    control.reply = NO_REPLY
    loop.exchange_once()
    assert loop.wait_s <= 0.3


def test_settings_withheld_by_the_hub_are_requested_again_soon() -> None:
    loop, control = make_loop()
    control.reply = msgspec.structs.replace(REPLY, settings_retry_after_s=0.2)
    loop.exchange_once()
    assert 0.1 <= loop.wait_s <= 0.3


def test_a_hub_without_a_quorum_is_polled_more_often() -> None:
    """With full intervals, gateways stayed one version behind for 4.1 and 7.8 s (simulator).

    After most control processes had ended, each gateway polled a hub without a quorum once a
    second. A hub had the new version from the new leader 0.6 s before the gateway's next exchange.
    The gateway then switched to a hub that had not heard of a leader, and stayed there for two more
    exchanges. Those at 18.2, 19.2 (another hub) and 20.2 s returned the old version, with a quorum
    age of 3600 s ("gateway-2 has 7: ok qage=3600.00 v=7"). The new version was in force at the
    first hub at 19.0 s and at the gateway at 21.2 s.
    """
    loop, control = make_loop()
    control.reply = SETTINGS
    loop.exchange_once()
    control.reply = msgspec.structs.replace(REPLY, settings_version=3, quorum_age_s=3600.0)
    for _ in range(5):
        loop.exchange_once()
        assert loop.wait_s <= INTERVAL_S / 2
    control.reply = msgspec.structs.replace(control.reply, quorum_age_s=0.1)
    loop.exchange_once()
    assert loop.wait_s == INTERVAL_S


SETTINGS = msgspec.structs.replace(
    REPLY,
    settings_version=3,
    settings=[SettingRow("services/llm/models/m/version", "1", 3)],
)


def test_a_new_version_is_reported_soon() -> None:
    loop, control = make_loop()
    control.reply = SETTINGS
    loop.exchange_once()
    assert loop.wait_s <= 0.15
    loop.exchange_once()
    assert loop.wait_s == INTERVAL_S
    assert [request.settings_version for request in control.requests] == [0, 3]


def test_a_gateway_without_saved_settings_accepts_none_from_a_cut_off_hub() -> None:
    loop, control = make_loop()
    control.reply = msgspec.structs.replace(SETTINGS, quorum_age_s=5.0)
    loop.exchange_once()
    loop.exchange_once()
    assert [request.settings_version for request in control.requests] == [0, 0]
    assert loop.wait_s <= 0.3
    control.reply = SETTINGS
    loop.exchange_once()
    newer = [SettingRow("services/llm/models/m/version", "2", 4)]
    control.reply = msgspec.structs.replace(
        SETTINGS, settings_version=4, settings=newer, quorum_age_s=5.0
    )
    loop.exchange_once()
    loop.exchange_once()
    assert control.requests[-1].settings_version == 4, "the version never decreases"


def test_digests_of_a_failed_exchange_are_resent() -> None:
    outbox = DigestOutbox()
    loop, control = make_loop(outbox)
    loop.exchange_once()
    digest = RunnerDigest(
        runner_id="e1", running=1, waiting=0, batch_running=0, kv_used_ratio=0.0, as_of_ms=1
    )
    outbox.put(digest)
    control.reply = NO_REPLY
    loop.exchange_once()
    control.reply = REPLY
    loop.exchange_once()
    assert [request.digests for request in control.requests] == [[], [digest], [digest]]


def test_pending_work_is_passed_on_if_the_reply_contains_it() -> None:
    leases = StubLeases()
    loop, control = make_loop(leases=leases)
    loop.exchange_once()
    assert leases.pending_work == []
    work = [PendingWork("jobs-0", ["llm"])]
    control.reply = msgspec.structs.replace(REPLY, pending_work=work)
    loop.exchange_once()
    assert leases.pending_work == [work]


def test_job_alerts_are_passed_on() -> None:
    leases = StubLeases()
    loop, control = make_loop(leases=leases)
    loop.exchange_once()
    assert leases.alerts == []
    alert = JobAlert(
        job_id="jobs-0.a", as_of_ms=1, crashes=[], answered=0, owners=["g1"], is_full=True
    )
    control.reply = msgspec.structs.replace(REPLY, job_alerts=[alert])
    loop.exchange_once()
    assert leases.alerts == [[alert]]
