"""A caller's request as it was received, and what its content says of it."""

from __future__ import annotations

from leverjunction.errors import Execution
from leverjunction.proxy.dialect import RawHeaders, RequestMetadata
from leverjunction.proxy.headers import find
from leverjunction.quarantine.prompt_parts import MAX_PARTS, PartId
from leverjunction.quarantine.request_key import RequestContent

_UNPARSED = RequestMetadata()


class CallerRequest:
    """A completely received request.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Header fields.
        body: Body with its transfer coding removed.
        arrived_s: Time at which the last byte arrived, in monotonic seconds.
        metadata: Metadata from the headers; empty until they are parsed.
        is_item: Whether it is an item of a batch job.
        execution: Whether a back end may have run it.
    """

    __slots__ = (
        "arrived_s",
        "body",
        "execution",
        "headers",
        "is_item",
        "metadata",
        "method",
        "target",
    )

    def __init__(
        self, method: bytes, target: bytes, headers: RawHeaders, body: bytes, arrived_s: float
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s
        self.metadata = _UNPARSED
        self.is_item = False
        self.execution = Execution.NOT_RUN

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """The query without the question mark."""
        return self.target.partition(b"?")[2].decode("latin-1")


def request_address(request: CallerRequest) -> RequestContent:
    """Return the parts of a request's content that its path part depends on, the others empty."""
    host = find(request.headers, b"host") or b""
    return RequestContent(host, request.method, request.target, b"", b"")


def request_parts(request: CallerRequest, route: str) -> list[PartId]:
    """Return the parts of a request's prompt that others may share, which is all but the last."""
    metadata = request.metadata
    credentials = metadata.tenant or metadata.credentials
    return [(route, credentials, part.key) for part in metadata.parts[:-1][:MAX_PARTS]]


def request_content(request: CallerRequest) -> RequestContent:
    """Return the parts of a request that are the same when its caller sends it again."""
    # A tenant may send a request again with another of its keys.
    credentials = request.metadata.tenant.encode() or find(request.headers, b"authorization") or b""
    # An item only waits, but an online request would be refused for what somebody else declares,
    # unless credentials tell the callers apart.
    uses_prompt = request.is_item or credentials
    return RequestContent(
        host=find(request.headers, b"host") or b"",
        method=request.method,
        target=request.target,
        credentials=credentials,
        body=request.body,
        prompt=request.metadata.declared_prompt.encode() if uses_prompt else b"",
    )


__all__ = ["CallerRequest", "request_address", "request_content", "request_parts"]
