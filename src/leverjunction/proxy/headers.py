"""Separates end-to-end header fields from hop-by-hop ones (RFC 9110, section 7.6.1)."""

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
"""Includes the fields that frame the body, because each connection frames it anew."""


def end_to_end(headers: RawHeaders) -> RawHeaders:
    """Return the fields that a proxy forwards: those that do not concern one connection only."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in connection_options
    ]


def ends_with_connection(headers: RawHeaders) -> bool:
    """Return whether a response with these fields ends when its connection does.

    Nothing then tells a stream that ended before its first event from one that was broken off.
    """
    return find(headers, b"content-length") is None and find(headers, b"transfer-encoding") is None


def find(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the value of the first field with a name in lower case, or None."""
    return next((value for key, value in headers if key.lower() == name), None)
