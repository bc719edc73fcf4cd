"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from leverjunction.proxy.dialect import RawHeaders

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""With the framing of the body, which is made anew on each connection."""


def end_to_end(headers: RawHeaders) -> RawHeaders:
    """Return the fields that are passed on."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    ]


def find(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first field with a name, given in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)
