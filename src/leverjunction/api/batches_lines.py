"""Incremental parser of batch input: JSON lines, each validated as it arrives."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from leverjunction.batch.commands import ItemInput
from leverjunction.errors import Execution, Failure, FailureKind, Step

ALLOWED_URLS = frozenset({"/v1/chat/completions", "/v1/completions"})
MAX_LINE_BYTES = 1_000_000
MAX_CUSTOM_ID_CHARACTERS = 512
MAX_REPORTED_ERRORS = 20


class _Body(msgspec.Struct):
    """Fields of a request body that are validated here; the engine validates the others."""

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
    """Error in an input line.

    Attributes:
        line: Line number, counted from 1.
        reason: What is wrong with the line and how to correct it.
    """

    line: int
    reason: str


class LineReader:
    """Splits a streamed body into lines and validates each.

    At most one incomplete line of up to ``MAX_LINE_BYTES`` is buffered between two pieces.

    Args:
        service_for_model: Returns the service that has a model, or None when there is none.
        max_items: Largest number of items that the tenant may submit in one job.
    """

    def __init__(self, service_for_model: Callable[[str], str | None], max_items: int) -> None:
        self._service_for_model = service_for_model
        self._max_items = max_items
        self._partial_line = bytearray()
        self._line_number = 0
        self._item_count = 0
        self._stopped = False
        # Stores 64-bit hashes of the ids: 100,000 items then take only a few megabytes.
        self._seen_ids: set[int] = set()
        self.service = ""
        self.errors: list[LineError] = []

    def feed(self, data: bytes) -> list[ItemInput]:
        """Parse the next piece of the body and return the items of the lines that it completes."""
        if self._is_refused():
            return []
        self._partial_line += data
        if b"\n" not in data:
            self._check_length()
            return []
        *lines, last_part = bytes(self._partial_line).split(b"\n")
        self._partial_line = bytearray(last_part)
        self._check_length()
        return self._parse_lines(lines)

    def finish(self) -> list[ItemInput]:
        """Parse the last line when it has no newline, and return its item."""
        last_part = bytes(self._partial_line)
        self._partial_line.clear()
        return self._parse_lines([last_part])

    def failure(self) -> Failure | None:
        """Return the Failure of the whole input, or None when all lines so far are valid."""
        if not self.errors:
            return None
        details = "; ".join(f"line {error.line}: {error.reason}" for error in self.errors)
        return Failure(
            kind=FailureKind.TOO_LARGE if self._stopped else FailureKind.BAD_REQUEST,
            reason=f"nothing was accepted: {details}",
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )

    def _is_refused(self) -> bool:
        return self._stopped or len(self.errors) >= MAX_REPORTED_ERRORS

    def _check_length(self) -> None:
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._partial_line.clear()
            self._add_error(f"is longer than {MAX_LINE_BYTES} bytes; shorten the request")
            # The remainder of this line would otherwise be parsed as separate lines.
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
        self._item_count += 1
        if self._item_count > self._max_items:
            self._stopped = True
            self._add_error(f"more than {self._max_items} items; split the job", current=True)
            return None
        try:
            parsed = _LINE_DECODER.decode(line)
            body = _BODY_DECODER.decode(parsed.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._add_error(f"{error}; expected custom_id, url and body with a model", current=True)
            return None
        reason = self._find_error(parsed, body)
        if reason:
            self._add_error(reason, current=True)
            return None
        return ItemInput(parsed.custom_id, body.model, parsed.url, bytes(parsed.body).decode())

    def _find_error(self, line: _Line, body: _Body) -> str:
        """Return the error of a decoded line, or an empty string when it is valid."""
        if not 0 < len(line.custom_id) <= MAX_CUSTOM_ID_CHARACTERS:
            return f"custom_id must have 1 to {MAX_CUSTOM_ID_CHARACTERS} characters"
        digest = xxhash.xxh64_intdigest(line.custom_id.encode())
        if digest in self._seen_ids:
            return f"custom_id {line.custom_id!r} is used twice; each line needs its own"
        self._seen_ids.add(digest)
        if line.method != "POST":
            return f"method {line.method!r}; only POST is supported"
        if line.url not in ALLOWED_URLS:
            return f"url {line.url!r}; use one of {', '.join(sorted(ALLOWED_URLS))}"
        if body.stream:
            return "stream is not supported in a batch; remove it"
        return self._find_service_error(body.model)

    def _find_service_error(self, model: str) -> str:
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

    def _add_error(self, reason: str, *, current: bool = False) -> None:
        number = self._line_number if current else self._line_number + 1
        self.errors.append(LineError(number, reason))
