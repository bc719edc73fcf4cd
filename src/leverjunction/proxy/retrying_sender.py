"""Sends a request to back ends, with retries and hedging, until a response head arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.gateway.retry import RetryBudget
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer, Choice
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dispatch import Dispatch, HeadTimeouts, LateHead, OpenedResponse
from leverjunction.proxy.failures import (
    harmful,
    no_runner,
    no_runner_of_version,
    out_of_time,
    suspect_under_way,
)
from leverjunction.proxy.freshness import FreshnessGate
from leverjunction.proxy.hedge_delay import HEDGE_RATIO, HeadLatencies
from leverjunction.proxy.hedging import first_response
from leverjunction.proxy.quarantine import Quarantine, is_lost_run
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.quarantine.prompt_parts import is_part_key
from leverjunction.quarantine.verdicts import SEVERITY, Standing, ran_on
from leverjunction.routes.types import Route

MAX_DECLINES = 4
"""Attempts that back ends may decline before the caller is told to retry later."""

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
"""Status of a back end at the request's own deadline, which is not a fault of the back end."""


class RetryingSender:
    """Chooses back ends, sends, and retries where that is allowed; used by one event loop.

    Args:
        sender: Sends one attempt.
        balancer: Chooses back ends.
        decision_log: Logs the decisions.
        quarantine: Knows the requests that crash back ends.
        freshness: Holds requests while the back ends may have changed unnoticed.
        beginning_version: Returns the version of a service at which streams must begin while back
            ends of it are left, None for any.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        decision_log: DecisionLog,
        quarantine: Quarantine,
        freshness: FreshnessGate,
        beginning_version: Callable[[str], str | None],
        reachable_departures: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._reachable_departures = reachable_departures
        self._beginning_version = beginning_version
        self._freshness = freshness
        self._sender = sender
        self._balancer = balancer
        self._decision_log = decision_log
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._latencies: dict[str, HeadLatencies] = {}
        self._budget = RetryBudget()

    def record_admission(self, routed: RoutedRequest) -> None:
        """Record a request that is about to be sent: it adds to the budget of hedged requests."""
        self._budget.request(routed.service, HEDGE_RATIO, self._loop.time())

    async def send(self, routed: RoutedRequest, last_event_id: str) -> OpenedResponse | Failure:
        """Send a request until a back end gives a response head or no further attempt is allowed.

        Args:
            routed: The request and the state of its attempts.
            last_event_id: Event after which to continue a stream; empty for a whole response.

        Returns:
            The opened response, or the failure to report to the caller.
        """
        declined = 0
        while True:
            pause_end_s = await self._freshness.wait(routed.until_s)
            now_s = self._loop.time()
            if now_s >= routed.until_s:
                return out_of_time(routed.execution)
            refusal = self.quarantine_refusal(routed)
            if refusal is not None:
                return refusal
            choice = self._choose(routed, now_s)
            if choice is None and routed.origin is not None:
                return no_runner_of_version(routed.origin)
            if choice is None:
                return no_runner(routed.service)
            response = await self._send_once(routed, choice, last_event_id, pause_end_s)
            if isinstance(response, LateHead):
                if self._has_untried(routed):
                    return await self._hedge(routed, choice, response, last_event_id)
                self._sender.abandon(response)
                response = response.failure
            elif not isinstance(response, Failure):
                return response
            elif response.kind is FailureKind.STALE:
                # Nothing was sent, so this is no attempt: a back end is chosen again.
                continue
            if response.execution is Execution.NOT_RUN:
                declined += 1
                if declined >= MAX_DECLINES:
                    return no_runner(routed.service)
                continue
            if not routed.may_run_again:
                return response

    async def _send_once(
        self, routed: RoutedRequest, choice: Choice, last_event_id: str, pause_end_s: float
    ) -> OpenedResponse | LateHead | Failure:
        """Send a request to a back end once, and record the outcome."""
        runner = choice.runner
        is_new = runner.record.start not in routed.tried
        routed.tried.add(runner.record.start)
        routed.first_output_s = None
        routed.runner_id = runner.record.start
        routed.sent_s = sent_s = self._loop.time()
        dispatch = Dispatch(
            routed.request,
            routed.metadata,
            runner,
            repeatable=routed.route.repeatable,
            last_event_id=last_event_id,
            until_s=routed.until_s,
            head_timeouts=self._head_timeouts(routed, choice, sent_s),
            is_outdated=lambda: self._is_outdated(routed, choice, pause_end_s),
        )
        try:
            response = await self._sender.begin(dispatch)
        except asyncio.CancelledError:
            if dispatch.was_sent:
                routed.note_run()
            raise
        if isinstance(response, Failure) and response.kind is FailureKind.STALE and is_new:
            routed.tried.discard(runner.record.start)
        if isinstance(response, LateHead):
            now_s = self._loop.time()
            self._decision_log.sent(routed, choice, response.failure, dispatch, sent_s, now_s)
            routed.note_run()
            return response
        if not isinstance(response, Failure) or response.execution is not Execution.NOT_RUN:
            routed.note_run()
        await self._record_outcome(routed, choice, response, dispatch, sent_s)
        return response

    async def _record_outcome(
        self,
        routed: RoutedRequest,
        choice: Choice,
        response: OpenedResponse | Failure,
        dispatch: Dispatch,
        sent_s: float,
    ) -> None:
        """Record the response head or the failure of one attempt."""
        runner = choice.runner
        self._decision_log.sent(routed, choice, response, dispatch, sent_s, self._loop.time())
        if not isinstance(response, Failure):
            self.head_latencies(routed.route).record(self._loop.time() - sent_s)
            if _is_fault(response.head.status):
                self._balancer.failed(runner, self._loop.time())
            return
        if response.kind is FailureKind.NOT_LISTENING:
            self._quarantine.not_listening(runner.record)
        if response.execution is not Execution.NOT_RUN and is_lost_run(response):
            await self.run_lost(routed, runner, response)

    def _has_untried(self, routed: RoutedRequest) -> bool:
        return any(
            runner.record.start not in routed.tried
            for runner in self._balancer.available(routed.service, self.required_version(routed))
        )

    async def _hedge(
        self, routed: RoutedRequest, choice: Choice, late: LateHead, last_event_id: str
    ) -> OpenedResponse | Failure:
        """Send a hedged request while waiting for a late head; return the first response.

        The wait goes on because the late back end may be healthy and the other one hanging.
        """
        try:
            return await first_response(
                self._await_late_response(routed, choice, late),
                self.send(routed, last_event_id),
                lambda response: self._sender.finish(response, whole=False),
            )
        finally:
            # A task cancelled before its first step has never called ``Sender.wait``.
            self._sender.abandon(late)

    async def _await_late_response(
        self, routed: RoutedRequest, choice: Choice, late: LateHead
    ) -> OpenedResponse | Failure:
        response = await self._sender.wait(late)
        await self._record_outcome(routed, choice, response, late.dispatch, late.sent_s)
        return response

    def quarantine_refusal(self, routed: RoutedRequest) -> Failure | None:
        """Return the refusal of a request that has crashed too many back ends, otherwise None."""
        key, standing = self._judge(routed)
        if standing is Standing.SOUND:
            if is_part_key(routed.key):
                routed.key = ""
            return None
        routed.key = key
        if standing is Standing.REFUSED:
            return harmful(routed.key, routed.execution)
        repeated = standing is Standing.CAREFUL and not routed.trials
        if repeated and self._quarantine.is_running(routed.key):
            return suspect_under_way(routed.execution)
        return None

    def _judge(self, routed: RoutedRequest) -> tuple[str, Standing]:
        """Return the key under which a request is suspect, and how to treat it."""
        known = "" if is_part_key(routed.key) else routed.key
        key = known or self._quarantine.find(routed.request)
        standing = self._quarantine.standing(key)
        part, part_standing = self._quarantine.judge_parts(routed.request, routed.route.name)
        if SEVERITY[part_standing] > SEVERITY[standing]:
            return part, part_standing
        return key, standing

    async def run_lost(
        self, routed: RoutedRequest, runner: TrackedRunner, failure: Failure
    ) -> None:
        """Record a run that its back end broke off.

        If the request may run again, waits briefly to find out whether the back end has crashed.
        """
        self._decision_log.run_lost(routed, runner.record, failure, self._loop.time())
        self._quarantine.run_lost(
            routed.request,
            routed.route.name,
            routed.metadata.request_id,
            runner.record,
            ran_on=ran_on(routed.first_output_s, self._loop.time()),
            sent_s=routed.sent_s,
        )
        if routed.may_run_again:
            await self._quarantine.wait_for_probe(runner.record)

    def _choose(self, routed: RoutedRequest, now_s: float) -> Choice | None:
        """Choose the back end of the next attempt."""
        version = self.required_version(routed)
        departing = self._departing_for(routed)
        if not routed.key:
            return self._balancer.choose(
                routed.service, routed.prompt, routed.tried, now_s, version, departing
            ) or self._balancer.choose(routed.service, routed.prompt, (), now_s, version, departing)
        # It may crash its back end: prefer one with few requests and without another suspect.
        avoided = routed.tried | self._quarantine.occupied_starts()
        choice = self._balancer.choose_least_loaded(
            routed.service, avoided, now_s, version, departing
        )
        if choice is not None:
            start = choice.runner.record.start
            routed.trials.append((routed.key, start))
            self._quarantine.trial_started(routed.key, start)
        return choice

    def _departing_for(self, routed: RoutedRequest) -> frozenset[str]:
        """Return the starts of leaving back ends that a request may be sent to.

        Only a stream that cannot go on at another version has them.
        """
        return frozenset() if routed.version is None else self._reachable_departures()

    def _is_outdated(self, routed: RoutedRequest, choice: Choice, pause_end_s: float) -> bool:
        """Return whether a chosen back end may have begun, or ended, to leave since."""
        if self._freshness.was_suspended_since(pause_end_s):
            return True
        return choice.is_departing and choice.runner.record.start not in self._departing_for(routed)

    def required_version(self, routed: RoutedRequest) -> str | None:
        """Return the version that the back end of the next attempt must have, None for any."""
        if routed.origin is not None or routed.stream is None:
            return routed.version
        # Asked before each attempt: another version may have joined since the last one.
        version = self._beginning_version(routed.service)
        has_back_ends = bool(self._balancer.available(routed.service, version))
        return version if has_back_ends else None

    def _head_timeouts(self, routed: RoutedRequest, choice: Choice, now_s: float) -> HeadTimeouts:
        """Return how long to wait for a response head, and when to hedge."""
        # A suspect never runs at two back ends at once: it may crash each of them.
        last_run = routed.runs + 1 >= max(1, routed.route.max_attempts)
        if not routed.route.repeatable or last_run or routed.key:
            return HeadTimeouts.without_hedge(routed.until_s)
        hedge_delay_s = self.head_latencies(routed.route).hedge_delay_s(
            routed.route.target_ms, choice.factor
        )
        soft_s = now_s + hedge_delay_s + routed.prompt.prefill_ms / 1000
        return HeadTimeouts(routed.until_s, soft_s, lambda: self._may_hedge(routed))

    def _may_hedge(self, routed: RoutedRequest) -> bool:
        return self._budget.take(routed.service, self._loop.time())

    def head_latencies(self, route: Route) -> HeadLatencies:
        """Return the latencies of a route's recent response heads."""
        return self._latencies.setdefault(route.name, HeadLatencies())


def _is_fault(status: int) -> bool:
    """Return whether a response status counts as a failure of its back end.

    The response is passed on unchanged in either case. Applies to online requests only: an
    impossible item of a batch fails at every back end.
    """
    return status >= SERVER_ERROR and status != GATEWAY_TIMEOUT


__all__ = ["RetryingSender"]
