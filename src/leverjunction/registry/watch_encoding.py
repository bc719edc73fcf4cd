"""Encodes replies to watchers from parts that are encoded once for all of them.

A control process has hundreds of watchers, which all wait for the same change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from leverjunction.quarantine.records import SuspectList
from leverjunction.registry.commands import WatchReply
from leverjunction.registry.metrics import WATCH_BYTES, WATCH_PARTS
from leverjunction.registry.version_leases import SharedRevisions
from leverjunction.wire.codec import encode_reply

Encoder = Callable[[Any], bytes]


class _EncodedWatchReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """``WatchReply`` with encoded parts.

    The parts that earlier releases decode without a default are always written.
    """

    table: msgspec.Raw | None
    view: msgspec.Raw | None
    controls: tuple[str, ...]
    contact_age_s: float
    suspects: SuspectList | None = None
    table_version: int = -1
    revision: int = -1
    held_s: float = 0.0
    table_changes: msgspec.Raw | None = None
    view_changes: msgspec.Raw | None = None
    shared: SharedRevisions | None = None
    verified_age_s: float | None = None


def encode_watch_reply(reply: WatchReply, encode_table: Encoder, encode_view: Encoder) -> bytes:
    """Return the JSON bytes of a reply, and count what it sends.

    Args:
        reply: The reply.
        encode_table: Encodes a route table or changes of one.
        encode_view: Encodes a view or changes of one.
    """
    encoded = _EncodedWatchReply(
        table=_part(reply.table, encode_table, "table", "whole"),
        view=_part(reply.view, encode_view, "view", "whole"),
        controls=reply.controls,
        contact_age_s=reply.contact_age_s,
        suspects=reply.suspects,
        table_version=reply.table_version,
        revision=reply.revision,
        held_s=reply.held_s,
        table_changes=_part(reply.table_changes, encode_table, "table", "changes"),
        view_changes=_part(reply.view_changes, encode_view, "view", "changes"),
        shared=reply.shared,
        verified_age_s=reply.verified_age_s,
    )
    return encode_reply(encoded)


def _part(
    part: msgspec.Struct | None, encoder: Encoder, name: str, form: str
) -> msgspec.Raw | None:
    if part is None:
        return None
    encoded = encoder(part)
    WATCH_PARTS.labels(name, form).inc()
    WATCH_BYTES.labels(name, form).inc(len(encoded))
    return msgspec.Raw(encoded)


__all__ = ["encode_watch_reply"]
