"""Questions of a gateway to the control processes about the origins of streams.

Each control process is asked one question at a time, about all streams that wait for its answer
then. The number of calls under way thus depends neither on the number of streams nor on how long a
control process takes to answer. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from itertools import islice

import msgspec

from leverjunction.registry.origin_acks import stored_at
from leverjunction.registry.origins import (
    STREAM_LIFETIME_S,
    FindOrigins,
    FoundOrigins,
    OriginSource,
    Resumption,
    StreamOrigin,
)

MAX_STREAMS_ASKED = 2_000
"""Streams in one question, of about 22 bytes each."""


class Lookup(msgspec.Struct, frozen=True):
    """What is looked up: the origin of one stream.

    Attributes:
        stream: Key of the stream.
        service: Service that the stream would be sent to.
    """

    stream: int
    service: str


class OriginAnswer(msgspec.Struct, frozen=True):
    """What one control process knows of one stream.

    Attributes:
        origin: Its origin; None if it was not reported there.
        only_version: The one version of the service that can have begun it, if there is only one.
        base_version: The version that began it if it was reported to no control process; None if
            the control process cannot tell.
        kept_s: For how long the control process has kept records, in seconds.
        controls: Number of control processes that an origin may have been reported to.
    """

    origin: StreamOrigin | None
    only_version: str | None
    base_version: str | None
    kept_s: float
    controls: int


Answers = Mapping[str, OriginAnswer | None]
"""Answers by the address of the control process; None where the call has failed."""


def conclude(service: str, answers: Answers, peers: int, *, is_over: bool) -> Resumption | None:
    """Return what the answers say about a stream; None to wait for more.

    Args:
        service: Service that the stream would be sent to.
        answers: Answers and failures so far.
        peers: Number of control processes.
        is_over: Whether no answer is waited for any longer.
    """
    known = [answer for answer in answers.values() if answer is not None]

    def result(origin: StreamOrigin | None, source: OriginSource) -> Resumption:
        return Resumption(origin, source, answered=len(known), asked=peers)

    for answer in known:
        if answer.origin is not None:
            return result(answer.origin, OriginSource.DIRECTORY)
    base = _agreed_base(known, peers)
    if base is not None:
        return result(StreamOrigin(service, base), OriginSource.BASE_VERSION)
    if len(answers) < peers and not is_over:
        return None
    for answer in known:
        if answer.only_version is not None:
            origin = StreamOrigin(service, answer.only_version)
            return result(origin, OriginSource.ONLY_VERSION)
    return result(None, _why_unknown(known, peers))


def _agreed_base(known: list[OriginAnswer], peers: int) -> str | None:
    """Return the base version if so many tell it that one of them would know another origin."""
    bases = [answer.base_version for answer in known if answer.base_version is not None]
    controls = max([peers, *(answer.controls for answer in known)])
    # A recorded origin is at ``stored_at`` of them, so that many cannot all lack it.
    needed = controls - stored_at(controls) + 1
    return bases[0] if len(bases) >= needed and len(set(bases)) == 1 else None


def _why_unknown(known: list[OriginAnswer], peers: int) -> OriginSource:
    if not peers:
        return OriginSource.NOT_ASKED
    if len(known) < peers:
        return OriginSource.NO_ANSWER
    if any(answer.kept_s < STREAM_LIFETIME_S for answer in known):
        return OriginSource.RESTARTED
    return OriginSource.NOBODY_KNOWS


class _State:
    """State of one lookup.

    Attributes:
        peers: Number of control processes that are asked.
        answers: Their answers; None where the call has failed.
    """

    __slots__ = ("answers", "peers")

    def __init__(self, peers: int) -> None:
        self.peers = peers
        self.answers: dict[str, OriginAnswer | None] = {}


class OriginQuestions:
    """Lookups that wait, and the question that each control process is being asked."""

    __slots__ = ("_lookups", "_unasked", "_under_way")

    def __init__(self) -> None:
        self._lookups: dict[Lookup, _State] = {}
        self._unasked: dict[str, dict[Lookup, None]] = {}
        self._under_way: dict[str, tuple[Lookup, ...]] = {}

    def __len__(self) -> int:
        return len(self._lookups)

    def begin(self, lookup: Lookup, peers: Collection[str]) -> None:
        """Add a lookup that is to be answered by control processes."""
        if lookup in self._lookups:
            return
        self._lookups[lookup] = _State(len(peers))
        for peer in peers:
            self._unasked.setdefault(peer, {})[lookup] = None

    def drop(self, lookup: Lookup) -> None:
        """Remove a lookup whose caller is gone; it gets into no further question."""
        if self._lookups.pop(lookup, None) is not None:
            for unasked in self._unasked.values():
                unasked.pop(lookup, None)

    def peers(self) -> list[str]:
        """Return the control processes that lookups wait for and that are not being asked."""
        return [
            peer
            for peer, unasked in self._unasked.items()
            if unasked and peer not in self._under_way
        ]

    def next_question(self, peer: str) -> FindOrigins | None:
        """Return the next question to a control process; None while it is being asked."""
        unasked = self._unasked.get(peer)
        if peer in self._under_way or not unasked:
            return None
        lookups = tuple(islice(unasked, MAX_STREAMS_ASKED))
        services: dict[str, list[int]] = {}
        for lookup in lookups:
            del unasked[lookup]
            services.setdefault(lookup.service, []).append(lookup.stream)
        if not unasked:
            del self._unasked[peer]
        self._under_way[peer] = lookups
        return FindOrigins(services=services)

    def answered(self, peer: str, reply: FoundOrigins | None) -> dict[Lookup, Resumption]:
        """Apply the reply to a question; return the lookups that end with it.

        Args:
            peer: The control process that was asked.
            reply: Its reply; None if the call has failed.
        """
        ended: dict[Lookup, Resumption] = {}
        for lookup in self._under_way.pop(peer, ()):
            state = self._lookups.get(lookup)
            if state is None:
                continue
            state.answers[peer] = None if reply is None else _answer_of(reply, lookup)
            found = conclude(lookup.service, state.answers, state.peers, is_over=False)
            if found is not None:
                ended[lookup] = found
                self.drop(lookup)
        return ended

    def give_up(self, lookup: Lookup) -> Resumption:
        """End a lookup whose time is over, and return what the answers so far say."""
        state = self._lookups.get(lookup) or _State(0)
        self.drop(lookup)
        found = conclude(lookup.service, state.answers, state.peers, is_over=True)
        assert found is not None
        return found


def _answer_of(reply: FoundOrigins, lookup: Lookup) -> OriginAnswer:
    return OriginAnswer(
        reply.origins.get(lookup.stream),
        reply.only_versions.get(lookup.service),
        reply.base_versions.get(lookup.service),
        reply.kept_s,
        reply.controls,
    )


__all__ = ["Lookup", "OriginAnswer", "OriginQuestions", "conclude"]
