"""Broken rules of the proxy; each function returns the patches of one."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any
from unittest import mock

import msgspec

from leverjunction.errors import Execution, Failure
from leverjunction.proxy import forwarding, runner_connection
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import EndCause, Responder
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import RequestMetadata
from leverjunction.proxy.failures import no_route
from leverjunction.proxy.forwarding import Caller, Forwarder
from leverjunction.proxy.process import ProxyNode
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.stop_schedule import StopSchedule
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.routes import Route
from leverjunction.routes.matching import RouteIndex
from testbed.simulation.rule import Rule


def deny_routes_at_any_age() -> list[Any]:
    """Return the patches: a gateway says "not found" however old its table may be."""

    def denied(_self: Forwarder, host: str, path: str) -> Failure:
        return no_route(host, path)

    return [mock.patch.object(Forwarder, "_no_route", denied)]


def use_leaving_back_ends() -> list[Any]:
    """Return the patches."""
    replace = Balancer.replace

    def all_ready(
        self: Balancer, records: Iterable[RunnerRecord], departing: Collection[str] = frozenset()
    ) -> None:
        ready = [msgspec.structs.replace(one, state=RunnerState.READY) for one in records]
        replace(self, ready, departing)

    return [mock.patch.object(Balancer, "replace", all_ready)]


def repeat_whatever_failed() -> list[Any]:
    """Return the patches: each request may run again."""
    return [mock.patch.object(Route, "repeatable", property(lambda _self: True))]


def repeat_nothing() -> list[Any]:
    """Return the patches: no request may run again."""
    return [mock.patch.object(Route, "repeatable", property(lambda _self: False))]


def say_not_run() -> list[Any]:
    """Return the patches: each failure is told as one before any run."""

    def told(failure: Failure, _execution: Execution) -> Failure:
        return msgspec.structs.replace(failure, execution=Execution.NOT_RUN)

    return [mock.patch.object(forwarding, "_with_execution", told)]


def answer_only_what_was_not_run() -> list[Any]:
    """Return the patches: a caller is not told of a run that was lost."""
    refuse = Forwarder._refuse

    def sometimes(
        self: Forwarder,
        request: CallerRequest,
        metadata: RequestMetadata,
        responder: Responder,
        failure: Failure,
    ) -> None:
        if failure.execution is Execution.NOT_RUN:
            refuse(self, request, metadata, responder, failure)

    return [mock.patch.object(Forwarder, "_refuse", sometimes)]


def stop_at_once() -> list[Any]:
    """Return the patches: a planned stop waits for no request."""

    async def at_once(_self: ProxyNode) -> None:
        return

    return [mock.patch.object(ProxyNode, "_drain", at_once)]


def refuse_nothing_while_stopping() -> list[Any]:
    """Return the patches: a stopping gateway takes each request that comes."""
    names = ("refuses", "may_cut")
    return [mock.patch.object(StopSchedule, name, lambda *_args: False) for name in names]


def give_no_last_answers() -> list[Any]:
    """Return the patches: what has no answer at the end of a planned stop gets none."""
    make_routed = Forwarder._make_routed

    def until_its_own_deadline(
        self: Forwarder, request: CallerRequest, route: Route, caller: Caller, index: RouteIndex
    ) -> RoutedRequest:
        routed = make_routed(self, request, route, caller, index)
        timeout_ms = min(request.metadata.deadline_ms or route.timeout_ms, route.timeout_ms)
        routed.until_s = request.arrived_s + timeout_ms / 1000
        return routed

    caller_left = property(lambda _self: EndCause.CALLER_LEFT)
    return [
        mock.patch.object(Forwarder, "_make_routed", until_its_own_deadline),
        mock.patch.object(Forwarder, "begin_stop", lambda _self: None),
        mock.patch.object(Responder, "end_cause", caller_left),
    ]


def take_a_part_for_the_whole() -> list[Any]:
    """Return the patches: an answer whose connection breaks counts as complete."""
    return [
        mock.patch.object(
            runner_connection.RunnerConnection,
            "_connection_failure",
            lambda _self, _reason: runner_connection.ResponseEnd(),
        )
    ]


def know_only_the_first_back_ends() -> list[Any]:
    """Return the patches: news of back ends are taken once."""
    take = ProxyNode._take_back_ends

    def first(self: ProxyNode, snapshot: Snapshot) -> None:
        if not self._balancer.order.ids:
            take(self, snapshot)

    return [mock.patch.object(ProxyNode, "_take_back_ends", first)]


_FOUND = "routes_are_found"
_SERVED = "requests_are_served"
_READ = "stopping_gateways_answer_what_they_read"
_ONCE = "runs_at_most_once"
_LEAVING = "leaving_gets_nothing_new"

ROUTED_RULES: dict[str, Rule] = {
    "deny_routes_at_any_age": Rule(
        "a gateway denies routes however old its table may be", _FOUND, deny_routes_at_any_age
    ),
    "use_leaving_back_ends": Rule(
        "a gateway sends new work to back ends that leave", _LEAVING, use_leaving_back_ends
    ),
    "repeat_whatever_failed": Rule(
        "a request that may run once is sent again", _ONCE, repeat_whatever_failed
    ),
    "say_not_run": Rule("each failure is told as one before any run", _ONCE, say_not_run),
    "answer_only_what_was_not_run": Rule(
        "a caller is not told that the run of a request was lost",
        "callers_are_answered",
        answer_only_what_was_not_run,
    ),
    "take_a_part_for_the_whole": Rule(
        "an answer whose connection breaks counts as complete",
        "answers_are_whole",
        take_a_part_for_the_whole,
    ),
    "stop_at_once": Rule(
        "a planned stop waits for no request", "planned_stops_cut_nothing", stop_at_once
    ),
    "refuse_nothing_while_stopping": Rule(
        "a stopping gateway takes each request that comes", _READ, refuse_nothing_while_stopping
    ),
    "give_no_last_answers": Rule(
        "what has no answer at the end of a planned stop gets none", _READ, give_no_last_answers
    ),
    "know_only_the_first_back_ends": Rule(
        "news of back ends are taken once", _LEAVING, know_only_the_first_back_ends
    ),
    "repeat_nothing": Rule("no request is sent again", _SERVED, repeat_nothing),
}
