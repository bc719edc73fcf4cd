"""Asks back ends for the answer to a request, until one of them gives its head."""

from __future__ import annotations

import asyncio

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.gateway.retry import RetryBudget
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer, Choice
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dispatch import Dispatch, LateHead, OpenedResponse, Patience
from leverjunction.proxy.doubt import Doubt
from leverjunction.proxy.failures import harmful, no_runner, out_of_time, suspect_under_way
from leverjunction.proxy.hedging import first_opened
from leverjunction.proxy.patience import HEDGE_RATIO, HeadTimes
from leverjunction.proxy.quarantine import Quarantine, is_lost_run
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.runner_seat import RunnerSeat
from leverjunction.quarantine.verdicts import Standing, ran_on
from leverjunction.routes.types import Route

DECLINED_MOST = 4
"""Back ends that may decline a request before the caller is told to come back."""

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
"""A back end says so at the request's own deadline, which tells nothing of the back end."""


class Asker:
    """Chooses back ends, sends, and repeats where that is allowed; used by one event loop.

    Args:
        sender: Sends requests.
        balancer: Chooses back ends.
        decision_log: Takes the decisions.
        quarantine: Knows requests under which back ends ended.
        doubt: Holds requests while the back ends may have changed unnoticed.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        decision_log: DecisionLog,
        quarantine: Quarantine,
        doubt: Doubt,
    ) -> None:
        self._doubt = doubt
        self._sender = sender
        self._balancer = balancer
        self._decision_log = decision_log
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._head_times: dict[str, HeadTimes] = {}
        self._budget = RetryBudget()

    def admitted(self, routed: RoutedRequest) -> None:
        """Note a request that is about to be sent: it earns a share of a second send."""
        self._budget.request(routed.service, HEDGE_RATIO, self._loop.time())

    async def answer(self, routed: RoutedRequest, last_event_id: str) -> OpenedResponse | Failure:
        """Return the first head that a back end gives."""
        declined = 0
        while True:
            await self._doubt.over(routed.until_s)
            now_s = self._loop.time()
            if now_s >= routed.until_s:
                return out_of_time(routed.execution)
            held_back = self.held_back(routed)
            if held_back is not None:
                return held_back
            choice = self._choose(routed, now_s)
            if choice is None:
                return no_runner(routed.service)
            answer = await self._send(routed, choice, last_event_id)
            if isinstance(answer, LateHead):
                if self._has_untried(routed):
                    return await self._hedge(routed, choice, answer, last_event_id)
                self._sender.abandon(answer)
                answer = answer.failure
            elif not isinstance(answer, Failure):
                return answer
            if answer.execution is Execution.NOT_RUN:
                declined += 1
                if declined >= DECLINED_MOST:
                    return no_runner(routed.service)
                continue
            if not routed.may_run_again:
                return answer

    async def _send(
        self, routed: RoutedRequest, choice: Choice, last_event_id: str
    ) -> OpenedResponse | LateHead | Failure:
        """Send a request to a back end and note what comes of it."""
        seat = choice.seat
        routed.tried.add(seat.record.start)
        routed.first_output_s = None
        sent_s = self._loop.time()
        answer = await self._sender.begin(
            Dispatch(
                routed.request,
                routed.metadata,
                seat,
                repeatable=routed.route.repeatable,
                last_event_id=last_event_id,
                until_s=routed.until_s,
                patience=self._patience(routed, sent_s),
            )
        )
        if isinstance(answer, LateHead):
            self._decision_log.sent(routed, choice, answer.failure, self._loop.time())
            routed.note_run()
            return answer
        if not isinstance(answer, Failure) or answer.execution is not Execution.NOT_RUN:
            routed.note_run()
        await self._note(routed, choice, answer, sent_s)
        return answer

    async def _note(
        self, routed: RoutedRequest, choice: Choice, answer: OpenedResponse | Failure, sent_s: float
    ) -> None:
        """Learn from the head of an answer, or from its failure."""
        seat = choice.seat
        self._decision_log.sent(routed, choice, answer, self._loop.time())
        if not isinstance(answer, Failure):
            self.times_of(routed.route).note(self._loop.time() - sent_s)
            if _is_fault(answer.head.status):
                self._balancer.failed(seat, self._loop.time())
            return
        if answer.kind is FailureKind.NOT_LISTENING:
            self._quarantine.not_listening(seat.record)
        if answer.execution is not Execution.NOT_RUN and is_lost_run(answer):
            await self.lost(routed, seat, answer)

    def _has_untried(self, routed: RoutedRequest) -> bool:
        return any(
            seat.record.start not in routed.tried for seat in self._balancer.seats(routed.service)
        )

    async def _hedge(
        self, routed: RoutedRequest, choice: Choice, late: LateHead, last_event_id: str
    ) -> OpenedResponse | Failure:
        """Ask another back end while a late head is waited for; return what comes first.

        The one that is late may be sound, and the other one silent.
        """
        try:
            return await first_opened(
                self._late_answer(routed, choice, late),
                self.answer(routed, last_event_id),
                lambda answer: self._sender.finish(answer, whole=False),
            )
        finally:
            # A task that is cancelled before its first step never gets to wait for the head.
            self._sender.abandon(late)

    async def _late_answer(
        self, routed: RoutedRequest, choice: Choice, late: LateHead
    ) -> OpenedResponse | Failure:
        answer = await self._sender.wait(late)
        await self._note(routed, choice, answer, late.sent_s)
        return answer

    def held_back(self, routed: RoutedRequest) -> Failure | None:
        """Return the refusal of a request under which too many back ends ended."""
        key = routed.key or self._quarantine.find(routed.request)
        standing = self._quarantine.standing(key)
        if standing is Standing.SOUND:
            return None
        routed.key = key
        if standing is Standing.REFUSED:
            return harmful(routed.key, routed.execution)
        repeated = standing is Standing.CAREFUL and not routed.trials
        if repeated and self._quarantine.is_under_way(routed.key):
            return suspect_under_way(routed.execution)
        return None

    async def lost(self, routed: RoutedRequest, seat: RunnerSeat, failure: Failure) -> None:
        """Note a run that its back end broke off; before another one, know why it did."""
        self._decision_log.run_lost(routed, seat.record.start, failure, self._loop.time())
        self._quarantine.lost(
            routed.request,
            routed.route.name,
            routed.metadata.request_id,
            seat.record,
            ran_on=ran_on(routed.first_output_s, self._loop.time()),
        )
        if routed.may_run_again:
            await self._quarantine.settle(seat.record)

    def _choose(self, routed: RoutedRequest, now_s: float) -> Choice | None:
        """Return the back end of the next send."""
        if not routed.key:
            return self._balancer.choose(
                routed.service, routed.prompt, routed.tried, now_s
            ) or self._balancer.choose(routed.service, routed.prompt, (), now_s)
        # It may end its back end: where few others run, and no other suspect does.
        avoided = routed.tried | self._quarantine.taken_places()
        choice = self._balancer.choose_quiet(routed.service, avoided, now_s)
        if choice is not None:
            start = choice.seat.record.start
            routed.trials.append(start)
            self._quarantine.began(routed.key, start)
        return choice

    def _patience(self, routed: RoutedRequest, now_s: float) -> Patience:
        """Return how long to wait for a head before another back end is asked too."""
        # A suspect is never asked of two back ends at once: each run may end one.
        last_run = routed.runs + 1 >= max(1, routed.route.max_attempts)
        if not routed.route.repeatable or last_run or routed.key:
            return Patience.until(routed.until_s)
        patience_s = self.times_of(routed.route).patience_s(routed.route.target_ms)
        soft_s = now_s + patience_s + routed.prompt.read_ms / 1000
        return Patience(routed.until_s, soft_s, lambda: self._may_hedge(routed))

    def _may_hedge(self, routed: RoutedRequest) -> bool:
        return self._budget.take(routed.service, self._loop.time())

    def times_of(self, route: Route) -> HeadTimes:
        """Return the times to the heads of a route's latest answers."""
        return self._head_times.setdefault(route.name, HeadTimes())


def _is_fault(status: int) -> bool:
    """Return whether an answer speaks against its back end, though it is passed on as it is.

    Only online requests are asked: an item of a batch that can never be done fails everywhere.
    """
    return status >= SERVER_ERROR and status != GATEWAY_TIMEOUT


__all__ = ["Asker"]
