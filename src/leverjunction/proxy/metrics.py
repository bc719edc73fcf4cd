"""Prometheus metrics of a gateway process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

RESPONSE_HEAD_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)

ORIGIN_LOOKUP_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0)


MAX_BACK_ENDS = 64
"""Number of back ends whose rates are told."""


class ProxyMetrics:
    """Metrics of one gateway, registered in a collector registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "proxy_requests_total", "Requests passed on, by outcome", ["outcome"], registry=registry
        )
        self.refusals = Counter(
            "proxy_refusals_total", "The proxy's own answers, by kind", ["kind"], registry=registry
        )
        self.sends = Counter(
            "proxy_sends_total", "Sends to back ends, by result", ["result"], registry=registry
        )
        self.answers = Counter(
            "proxy_back_end_answers_total",
            "Heads of answers of back ends, by the request that they belong to",
            ["owner"],
            registry=registry,
        )
        self.lost_runs = Counter(
            "proxy_lost_runs_total",
            "Runs that their back end broke off after the whole request was sent",
            registry=registry,
        )
        self.suspects = Gauge(
            "proxy_suspect_requests",
            "Requests under which back ends ended, by how they are treated",
            ["standing"],
            registry=registry,
        )
        self.ended_runs = Gauge(
            "proxy_ended_runs",
            "Runs since the start under which their back end was found to have ended",
            registry=registry,
        )
        self.standstills = Gauge(
            "proxy_standstills",
            "Times since the start that this process did not run for half a second and more",
            registry=registry,
        )
        self.resumptions = Counter(
            "proxy_resumptions_total",
            "Streams that callers continue, by where the version that began them is known from, or"
            " why it is unknown",
            ["source"],
            registry=registry,
        )
        self.resumed_streams = Counter(
            "proxy_resumed_streams_total",
            "Streams that callers continue, by outcome: an event came (went on), none came though"
            " a back end may have run the request (failed), or nothing was run (not run)",
            ["outcome"],
            registry=registry,
        )
        self.origin_lookup_s = Histogram(
            "proxy_origin_lookup_seconds",
            "Time to find which version began a stream that a caller continues",
            buckets=ORIGIN_LOOKUP_BUCKETS_S,
            registry=registry,
        )
        self.origins_not_recorded = Counter(
            "proxy_origins_not_recorded_total",
            "Streams that began while too few control processes stored which version began them",
            registry=registry,
        )
        self.back_ends = Gauge(
            "proxy_back_ends",
            "Back ends that accept new work, by service and version of their software",
            ["service", "version"],
            registry=registry,
        )
        self.back_end_speed = Gauge(
            "proxy_back_end_speed",
            "Lasting speed of back ends as a multiple of the mean, those that differ most",
            ["runner"],
            registry=registry,
        )
        self.back_end_pace = Gauge(
            "proxy_back_end_pace",
            "Time of work at back ends at this moment as a multiple of the usual, of the same ones",
            ["runner"],
            registry=registry,
        )
        self.back_end_rate_age_s = Gauge(
            "proxy_back_end_rate_age_seconds",
            "Time since this gateway last saw a report or a run there, of the same ones",
            ["runner"],
            registry=registry,
        )
        self.holds = Counter(
            "proxy_holds_total",
            "Requests that waited at this gateway for a back end, by what became of them",
            ["outcome"],
            registry=registry,
        )
        self.beyond_share = Counter(
            "proxy_beyond_share_total",
            "Requests beyond their tenant's share while their service was short of slots, by what"
            " was decided when they arrived",
            ["tenant", "decision"],
            registry=registry,
        )
        self.returned = Counter(
            "proxy_returned_requests_total",
            "Requests that this gateway had refused before, by what became of them",
            ["tenant", "outcome"],
            registry=registry,
        )
        self.held = Gauge(
            "proxy_held_requests",
            "Requests that wait at this gateway for a back end, by service",
            ["service"],
            registry=registry,
        )
        self.oldest_held_s = Gauge(
            "proxy_oldest_held_seconds",
            "Time since the arrival of the held request that came first, by service",
            ["service"],
            registry=registry,
        )
        self.head_s = Histogram(
            "proxy_head_seconds",
            "Time from a request's arrival to the head of its answer, by route class",
            ["route_class"],
            buckets=RESPONSE_HEAD_BUCKETS_S,
            registry=registry,
        )
        self.table_version = Gauge(
            "proxy_table_version", "Version of the route table in force", registry=registry
        )
        self.contact_age_s = Gauge(
            "proxy_contact_age_seconds",
            "Time since a control process last answered",
            registry=registry,
        )
        self.table_age_s = Gauge(
            "proxy_table_age_seconds",
            "Age of what is known of routes and back ends: later changes may be missing",
            registry=registry,
        )
        self.failing_receivers = Gauge(
            "proxy_registry_receivers_failing",
            "Parts of this gateway that did not take the registry's newest state",
            registry=registry,
        )
        self.kept_answers = Gauge(
            "proxy_kept_answers",
            "Answers of which callers have not read all that this gateway has",
            registry=registry,
        )
        self.kept_bytes = Gauge(
            "proxy_kept_bytes", "Bytes of answers that wait for callers to read", registry=registry
        )
        self.kept_bytes_limit = Gauge(
            "proxy_kept_bytes_limit",
            "Bytes of answers beyond which slow callers are dropped",
            registry=registry,
        )
        self.dropped_answers = Counter(
            "proxy_dropped_answers_total",
            "Answers that were broken off because their callers read too slowly, by reason",
            ["reason"],
            registry=registry,
        )
        self.read_pauses = Gauge(
            "proxy_read_pauses",
            "Times since the start that a caller was not read on because it pipelined much",
            registry=registry,
        )
        self.request_bytes = Gauge(
            "proxy_request_bytes",
            "Bytes of bodies of requests that are received or in progress",
            registry=registry,
        )
        self.request_bytes_limit = Gauge(
            "proxy_request_bytes_limit",
            "Bytes of bodies beyond which unfinished requests are refused",
            registry=registry,
        )
        self.refused_for_room = Gauge(
            "proxy_requests_refused_for_room",
            "Unfinished requests since the start that were refused for the bytes kept of all",
            registry=registry,
        )
        self.lines_lost = Counter(
            "log_lines_lost_total", "Decision lines lost to a slow reader", registry=registry
        )
