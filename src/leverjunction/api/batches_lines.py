"""Parsing of batch input: JSON lines that arrive in pieces, checked one by one."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from leverjunction.batch.commands import ItemInput
from leverjunction.errors import Failure, FailureKind, Step

ALLOWED_URLS = frozenset({"/v1/chat/completions", "/v1/completions"})
MAX_LINE_BYTES = 1_000_000
MAX_CUSTOM_ID_CHARACTERS = 512
MAX_REPORTED_ERRORS = 20


class _Body(msgspec.Struct):
    """The fields of a request body that are checked here; the engine checks the others."""

    model: str
    stream: bool | None = None


class _Line(msgspec.Struct):
    """One input line, as OpenAI's batch format defines it."""

    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = "POST"


_LINE_DECODER = msgspec.json.Decoder(_Line)
_BODY_DECODER = msgspec.json.Decoder(_Body)


class LineError(msgspec.Struct, frozen=True):
    """What is wrong with a line (numbered from 1) and how to mend it."""

    line: int
    reason: str


class LineReader:
    """Cuts pieces of a body into lines and checks each; memory is bounded by the longest line.

    Args:
        service_for_model: Returns the service of a model, or None when it is unknown.
        max_items: Largest number of items that the tenant may submit in one job.
    """

    def __init__(self, service_for_model: Callable[[str], str | None], max_items: int) -> None:
        self._service_for_model = service_for_model
        self._max_items = max_items
        self._rest = bytearray()
        self._line_number = 0
        self._count = 0
        self._stopped = False
        # Hashes instead of ids keep 100,000 items in a few megabytes.
        self._seen_ids: set[int] = set()
        self.service = ""
        self.errors: list[LineError] = []

    def feed(self, data: bytes) -> list[ItemInput]:
        """Take the next piece of the body and return the items of the lines it completes."""
        if self._is_refused():
            return []
        self._rest += data
        if b"\n" not in data:
            self._check_length()
            return []
        *lines, rest = bytes(self._rest).split(b"\n")
        self._rest = bytearray(rest)
        self._check_length()
        return self._parse_lines(lines)

    def finish(self) -> list[ItemInput]:
        """Return the item of a last line that has no newline."""
        rest = bytes(self._rest)
        self._rest.clear()
        return self._parse_lines([rest])

    def failure(self) -> Failure | None:
        """Return the refusal of the whole input, or None when all lines so far are good."""
        if not self.errors:
            return None
        shown = "; ".join(f"line {error.line}: {error.reason}" for error in self.errors)
        return Failure(
            kind=FailureKind.TOO_LARGE if self._stopped else FailureKind.BAD_REQUEST,
            reason=f"nothing was accepted: {shown}",
            step=Step.PARSING,
        )

    def _is_refused(self) -> bool:
        return self._stopped or len(self.errors) >= MAX_REPORTED_ERRORS

    def _check_length(self) -> None:
        if len(self._rest) > MAX_LINE_BYTES:
            self._rest.clear()
            self._refuse(f"is longer than {MAX_LINE_BYTES} bytes; shorten the request")
            # The rest of the line would be read as lines of their own.
            self._stopped = True

    def _parse_lines(self, lines: list[bytes]) -> list[ItemInput]:
        items = []
        for line in lines:
            if self._is_refused():
                break
            self._line_number += 1
            if not line.strip():
                continue
            item = self._parse(line)
            if item is not None:
                items.append(item)
        return items

    def _parse(self, line: bytes) -> ItemInput | None:
        self._count += 1
        if self._count > self._max_items:
            self._stopped = True
            self._refuse(f"more than {self._max_items} items; split the job", current=True)
            return None
        try:
            parsed = _LINE_DECODER.decode(line)
            body = _BODY_DECODER.decode(parsed.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._refuse(f"{error}; want custom_id, url and body with a model", current=True)
            return None
        reason = self._check(parsed, body)
        if reason:
            self._refuse(reason, current=True)
            return None
        return ItemInput(parsed.custom_id, body.model, parsed.url, bytes(parsed.body).decode())

    def _check(self, line: _Line, body: _Body) -> str:
        """Return what is wrong with a decoded line, empty when it is good."""
        if not 0 < len(line.custom_id) <= MAX_CUSTOM_ID_CHARACTERS:
            return f"custom_id needs 1 to {MAX_CUSTOM_ID_CHARACTERS} characters"
        digest = xxhash.xxh64_intdigest(line.custom_id.encode())
        if digest in self._seen_ids:
            return f"custom_id {line.custom_id!r} stands twice; give each line its own"
        self._seen_ids.add(digest)
        if line.method != "POST":
            return f"method {line.method!r}; only POST is possible"
        if line.url not in ALLOWED_URLS:
            return f"url {line.url!r}; use one of {', '.join(sorted(ALLOWED_URLS))}"
        if body.stream:
            return "stream is not possible in a batch; remove it"
        return self._check_service(body.model)

    def _check_service(self, model: str) -> str:
        service = self._service_for_model(model)
        if service is None:
            return f"no service has the model {model!r}; GET /v1/models lists them"
        if self.service and service != self.service:
            return (
                f"model {model!r} belongs to service {service!r}, earlier lines to "
                f"{self.service!r}; submit one job for each service"
            )
        self.service = service
        return ""

    def _refuse(self, reason: str, *, current: bool = False) -> None:
        number = self._line_number if current else self._line_number + 1
        self.errors.append(LineError(number, reason))
