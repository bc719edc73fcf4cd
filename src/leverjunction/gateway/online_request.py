"""A validated online request, the attempts to send it, and the response of a back end."""

from __future__ import annotations

import msgspec

from leverjunction.backends.stream import EngineStream
from leverjunction.gateway.runner_pool import RouteNeeds
from leverjunction.settings.resolved import ResolvedServing


class OnlineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request with everything that is needed to send it to a back end.

    Attributes:
        request_id: Id given to the request by this gateway; engines echo it.
        tenant: Tenant that sent the request.
        service: Service that serves the model.
        model: ``model`` or ``model:adapter``.
        path: API path.
        body: Body as received, with ``continue_text`` added for the continuation of a stream.
        stream: True if the response is a stream of server-sent events.
        blocks: Hashes of the prompt's cache blocks.
        continues: True if the prompt continues an earlier conversation.
        repeatable: False if the request may run at most once.
        serving: Settings in force for the request when it arrived.
        region_zones: Zones of the gateway's region.
        arrived_s: Monotonic time of arrival, in seconds.
        deadline_s: Monotonic time by which the response must be complete, in seconds.
        received_body: Body as received if ``body`` was changed, otherwise None.
    """

    request_id: str
    tenant: str
    service: str
    model: str
    path: str
    body: bytes
    stream: bool
    blocks: list[str]
    continues: bool
    repeatable: bool
    serving: ResolvedServing
    region_zones: frozenset[str]
    arrived_s: float
    deadline_s: float
    received_body: bytes | None = None

    def needs(self, tried: frozenset[str]) -> RouteNeeds:
        """Return the properties of the request that routing depends on.

        Args:
            tried: Ids of runners that must not be chosen.
        """
        return RouteNeeds(
            service=self.service,
            model=self.model,
            blocks=self.blocks,
            serving=self.serving,
            region_zones=self.region_zones,
            continues=self.continues,
            tried=tried,
        )


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to send a request, to one runner.

    Attributes:
        runner_id: Id of the runner.
        address: ``host:port`` of the runner's engine.
        number: Number of the attempt, from 1.
    """

    runner_id: str
    address: str
    number: int

    def key(self, request_id: str) -> str:
        """Return the key of this attempt in the send ledger."""
        return f"{request_id}.{self.number}"


class CompleteResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response that was read completely; its attempt is closed."""

    status: int
    content_type: str
    body: bytes
    attempt: Attempt


class OpenResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A streaming response whose head was received; its attempt is open until the stream ends."""

    stream: EngineStream
    attempt: Attempt
