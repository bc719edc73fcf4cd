"""An admitted online request, and the answer that a back end gave to it."""

from __future__ import annotations

import msgspec

from leverjunction.backends.stream import EngineStream
from leverjunction.gateway.runner_pool import RouteNeeds
from leverjunction.settings.resolved import ResolvedServing


class OnlineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request on its way to a back end.

    Attributes:
        request_id: Id chosen by this gateway; engines echo it.
        tenant: Who asked.
        service: Service that serves the model.
        model: ``model`` or ``model:adapter``.
        path: API path.
        body: Body as it came, or with ``continue_text`` for a continuation.
        stream: True when the answer is SSE.
        blocks: Hashes of the prompt's cache blocks.
        continues: Whether the prompt goes on with an earlier one.
        repeatable: False when it may run at most once.
        serving: Settings in force for it when it arrived.
        region_zones: Zones of the gateway's region.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time by which the whole answer must be there.
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

    def needs(self, tried: frozenset[str]) -> RouteNeeds:
        """Return what routing must know."""
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
    """One send to one runner."""

    runner_id: str
    address: str
    number: int

    def key(self, request_id: str) -> str:
        """Return the key of this send in the ledger."""
        return f"{request_id}.{self.number}"


class WholeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer that was read to its end; the attempt is closed."""

    status: int
    content_type: str
    body: bytes
    attempt: Attempt


class OpenAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A streaming answer whose head has come; the attempt stays open until the stream ends."""

    stream: EngineStream
    attempt: Attempt
