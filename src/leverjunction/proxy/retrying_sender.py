"""Sends a request to back ends, with retries and hedging, until a response head arrives."""

from __future__ import annotations

import asyncio

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.gateway.retry import RetryBudget
from leverjunction.proxy.answers import harmful, no_runner, out_of_time, suspect_under_way
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer, Choice
from leverjunction.proxy.dispatch import Dispatch, HeadTimeouts, LateHead, OpenedAnswer
from leverjunction.proxy.freshness import FreshnessGate
from leverjunction.proxy.hedge_delay import HEDGE_RATIO, HeadLatencies
from leverjunction.proxy.hedging import first_response
from leverjunction.proxy.journal import ProxyJournal
from leverjunction.proxy.quarantine import Quarantine, is_lost_run
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.proxy.work import Work
from leverjunction.quarantine.verdicts import Standing, ran_on
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
        journal: Logs the decisions.
        quarantine: Knows the requests that crash back ends.
        freshness: Holds requests while the back ends may have changed unnoticed.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        journal: ProxyJournal,
        quarantine: Quarantine,
        freshness: FreshnessGate,
    ) -> None:
        self._freshness = freshness
        self._sender = sender
        self._balancer = balancer
        self._journal = journal
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._latencies: dict[str, HeadLatencies] = {}
        self._budget = RetryBudget()

    def record_admission(self, work: Work) -> None:
        """Record a request that is about to be sent: it adds to the budget of hedged requests."""
        self._budget.request(work.service, HEDGE_RATIO, self._loop.time())

    async def send(self, work: Work, last_event_id: str) -> OpenedAnswer | Failure:
        """Send a request until a back end gives a response head or no further attempt is allowed.

        Args:
            work: The request and the state of its attempts.
            last_event_id: Event after which to continue a stream; empty for a whole response.

        Returns:
            The opened response, or the failure to report to the caller.
        """
        declined = 0
        while True:
            await self._freshness.wait(work.until_s)
            now_s = self._loop.time()
            if now_s >= work.until_s:
                return out_of_time(work.execution)
            refusal = self.quarantine_refusal(work)
            if refusal is not None:
                return refusal
            choice = self._choose(work, now_s)
            if choice is None:
                return no_runner(work.service)
            response = await self._send_once(work, choice, last_event_id)
            if isinstance(response, LateHead):
                if self._has_untried(work):
                    return await self._hedge(work, choice, response, last_event_id)
                self._sender.abandon(response)
                response = response.failure
            elif not isinstance(response, Failure):
                return response
            if response.execution is Execution.NOT_RUN:
                declined += 1
                if declined >= MAX_DECLINES:
                    return no_runner(work.service)
                continue
            if not work.may_run_again:
                return response

    async def _send_once(
        self, work: Work, choice: Choice, last_event_id: str
    ) -> OpenedAnswer | LateHead | Failure:
        """Send a request to a back end once, and record the outcome."""
        runner = choice.runner
        work.tried.add(runner.record.start)
        work.first_output_s = None
        sent_s = self._loop.time()
        response = await self._sender.begin(
            Dispatch(
                work.request,
                work.facts,
                runner,
                repeatable=work.route.repeatable,
                last_event_id=last_event_id,
                until_s=work.until_s,
                head_timeouts=self._head_timeouts(work, sent_s),
            )
        )
        if isinstance(response, LateHead):
            self._journal.sent(work, choice, response.failure, self._loop.time())
            work.note_run()
            return response
        if not isinstance(response, Failure) or response.execution is not Execution.NOT_RUN:
            work.note_run()
        await self._record_outcome(work, choice, response, sent_s)
        return response

    async def _record_outcome(
        self, work: Work, choice: Choice, response: OpenedAnswer | Failure, sent_s: float
    ) -> None:
        """Record the response head or the failure of one attempt."""
        runner = choice.runner
        self._journal.sent(work, choice, response, self._loop.time())
        if not isinstance(response, Failure):
            self.head_latencies(work.route).record(self._loop.time() - sent_s)
            if _is_fault(response.head.status):
                self._balancer.failed(runner, self._loop.time())
            return
        if response.kind is FailureKind.NOT_LISTENING:
            self._quarantine.not_listening(runner.record)
        if response.execution is not Execution.NOT_RUN and is_lost_run(response):
            await self.run_lost(work, runner, response)

    def _has_untried(self, work: Work) -> bool:
        return any(
            runner.record.start not in work.tried
            for runner in self._balancer.available(work.service)
        )

    async def _hedge(
        self, work: Work, choice: Choice, late: LateHead, last_event_id: str
    ) -> OpenedAnswer | Failure:
        """Send a hedged request while waiting for a late head; return the first response.

        The wait goes on because the late back end may be healthy and the other one hanging.
        """
        try:
            return await first_response(
                self._await_late_response(work, choice, late),
                self.send(work, last_event_id),
                lambda response: self._sender.finish(response, whole=False),
            )
        finally:
            # A task cancelled before its first step has never called ``Sender.wait``.
            self._sender.abandon(late)

    async def _await_late_response(
        self, work: Work, choice: Choice, late: LateHead
    ) -> OpenedAnswer | Failure:
        response = await self._sender.wait(late)
        await self._record_outcome(work, choice, response, late.sent_s)
        return response

    def quarantine_refusal(self, work: Work) -> Failure | None:
        """Return the refusal of a request that has crashed too many back ends, otherwise None."""
        key = work.key or self._quarantine.find(work.request)
        standing = self._quarantine.standing(key)
        if standing is Standing.SOUND:
            return None
        work.key = key
        if standing is Standing.REFUSED:
            return harmful(work.key, work.execution)
        repeated = standing is Standing.CAREFUL and not work.trials
        if repeated and self._quarantine.is_running(work.key):
            return suspect_under_way(work.execution)
        return None

    async def run_lost(self, work: Work, runner: TrackedRunner, failure: Failure) -> None:
        """Record a run that its back end broke off.

        If the request may run again, waits briefly to find out whether the back end has crashed.
        """
        self._journal.run_lost(work, runner.record.start, failure, self._loop.time())
        self._quarantine.run_lost(
            work.request,
            work.route.name,
            work.facts.request_id,
            runner.record,
            ran_on=ran_on(work.first_output_s, self._loop.time()),
        )
        if work.may_run_again:
            await self._quarantine.wait_for_probe(runner.record)

    def _choose(self, work: Work, now_s: float) -> Choice | None:
        """Choose the back end of the next attempt."""
        if not work.key:
            return self._balancer.choose(
                work.service, work.prompt, work.tried, now_s
            ) or self._balancer.choose(work.service, work.prompt, (), now_s)
        # It may crash its back end: prefer one with few requests and without another suspect.
        avoided = work.tried | self._quarantine.occupied_starts()
        choice = self._balancer.choose_least_loaded(work.service, avoided, now_s)
        if choice is not None:
            start = choice.runner.record.start
            work.trials.append(start)
            self._quarantine.trial_started(work.key, start)
        return choice

    def _head_timeouts(self, work: Work, now_s: float) -> HeadTimeouts:
        """Return how long to wait for a response head, and when to hedge."""
        # A suspect never runs at two back ends at once: it may crash each of them.
        last_run = work.runs + 1 >= max(1, work.route.max_attempts)
        if not work.route.repeatable or last_run or work.key:
            return HeadTimeouts.without_hedge(work.until_s)
        hedge_delay_s = self.head_latencies(work.route).hedge_delay_s(work.route.target_ms)
        soft_s = now_s + hedge_delay_s + work.prompt.prefill_ms / 1000
        return HeadTimeouts(work.until_s, soft_s, lambda: self._may_hedge(work))

    def _may_hedge(self, work: Work) -> bool:
        return self._budget.take(work.service, self._loop.time())

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
