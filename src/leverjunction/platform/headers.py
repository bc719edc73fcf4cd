"""Names and formats of the platform's header fields."""

from __future__ import annotations

from typing import Annotated

import msgspec

from leverjunction.api_keys import MAX_KEY_BYTES, hash_key
from leverjunction.errors import Failure
from leverjunction.proxy.dialect import (
    EngineLoad,
    PresentedKey,
    PromptPart,
    RawHeaders,
    RequestMetadata,
    ResponseMetadata,
)
from leverjunction.untrusted import (
    COUNT_MOST,
    TOKENS_MOST,
    finite_number,
    note_unreadable,
    read_json,
    whole_number,
)

REQUEST_ID = b"Leverjunction-Request-Id"
DEADLINE_MS = b"Leverjunction-Deadline-Ms"
PROMPT_PREFIX = b"Leverjunction-Prompt-Prefix"
TOKEN_COUNT = b"Leverjunction-Token-Count"
MODEL = b"Leverjunction-Model"
API_KEY = b"Leverjunction-Key"
TENANT = b"Leverjunction-Tenant"
EXPECT_INSTANCE = b"Leverjunction-Expect-Instance"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"
SERVER_STAMP = b"Leverjunction-Server-Stamp"
NOT_EXECUTED = b"Leverjunction-Not-Executed"
INSTANCE_LOAD = b"Leverjunction-Instance-Load"
RETRY_AFTER = b"Retry-After"
REPORT_PATH = b"/api/report"

MIN_LOAD_FIGURES = 3
"""Running, waiting and slots; a load report with fewer figures is ignored."""

USUAL_WORK_PERCENT = 100.0
MAX_WORK_PERCENT = 10_000.0
"""Range above 0 in which the fourth figure of a load report is believed. Work that takes a hundred
times as long as usual is as good as no work at all.
"""

_PARSED_FIELDS = {
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE_MS,
        PROMPT_PREFIX,
        TOKEN_COUNT,
        MODEL,
        LAST_EVENT_ID,
        RESUMES,
        SERVER_STAMP,
        NOT_EXECUTED,
        INSTANCE_LOAD,
        b"Authorization",
        b"Keep-Alive",
        b"Connection",
    )
}
_REPLACED_FIELDS = {name.lower() for name in (DEADLINE_MS, EXPECT_INSTANCE, API_KEY, TENANT)}


Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MOST)]


class _ReportPayload(msgspec.Struct, rename="pascal"):
    running: Count
    waiting: Count


_REPORT_DECODER = msgspec.json.Decoder(_ReportPayload)


class PlatformDialect:
    """Implements ``proxy.dialect.Dialect`` for the platform's header fields."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Parse the headers of a caller's request; malformed fields count as absent."""
        fields = _parse_fields(headers)
        tokens_in, tokens_out = _parse_token_counts(fields.get(TOKEN_COUNT.lower(), ""))
        return RequestMetadata(
            request_id=fields.get(REQUEST_ID.lower(), ""),
            deadline_ms=finite_number(fields.get(DEADLINE_MS.lower(), "")),
            parts=_parse_prompt_parts(fields.get(PROMPT_PREFIX.lower(), "")),
            tokens_in=tokens_in,
            tokens_out=tokens_out,
            last_event_id=fields.get(LAST_EVENT_ID.lower(), ""),
            model=fields.get(MODEL.lower(), ""),
            resumes=fields.get(RESUMES.lower(), ""),
            credentials=fields.get(b"authorization", ""),
            key=_parse_key(headers),
        )

    def forwarded_headers(
        self,
        headers: RawHeaders,
        left_ms: float,
        runner_id: str,
        last_event_id: str,
        tenant: str = "",
    ) -> RawHeaders:
        """Return the headers of a request to a back end."""
        added = [
            (DEADLINE_MS, b"%d" % max(1, int(left_ms))),
            (EXPECT_INSTANCE, runner_id.encode()),
        ]
        if tenant:
            added.append((TENANT, tenant.encode()))
        replaced = _REPLACED_FIELDS
        if last_event_id:
            added.append((LAST_EVENT_ID, last_event_id.encode()))
            replaced = _REPLACED_FIELDS | {LAST_EVENT_ID.lower()}
        return [item for item in headers if item[0].lower() not in replaced] + added

    def item_headers(self, headers: RawHeaders, host: str, item_id: str) -> RawHeaders:
        """Return the headers of the request that runs an item of a batch job."""
        replaced = {b"host", REQUEST_ID.lower()}
        kept = [item for item in headers if item[0].lower() not in replaced]
        return [(b"Host", host.encode()), *kept, (REQUEST_ID, item_id.encode())]

    def read_response(self, headers: RawHeaders) -> ResponseMetadata:
        """Parse the headers of a back end's response; malformed fields count as absent."""
        fields = _parse_fields(headers)
        return ResponseMetadata(
            request_id=fields.get(REQUEST_ID.lower(), ""),
            signed=SERVER_STAMP.lower() in fields,
            not_run=NOT_EXECUTED.lower() in fields,
            load=_parse_load(fields.get(INSTANCE_LOAD.lower(), "")),
            keep_alive_s=_parse_keep_alive(fields.get(b"keep-alive", "")),
            closes="close" in fields.get(b"connection", "").lower(),
        )

    def load_request(self) -> tuple[bytes, RawHeaders]:
        """Return path and headers of the request that reads a back end's load."""
        return REPORT_PATH, []

    def read_load(self, body: bytes) -> EngineLoad | None:
        """Parse the response to ``load_request``; return None if it is malformed."""
        payload = read_json(body, _REPORT_DECODER)
        if isinstance(payload, Failure):
            note_unreadable("report", "a back end", payload.reason)
            return None
        return EngineLoad(payload.running, payload.waiting, 0)

    def own_response_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a response that the proxy generates itself."""
        headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def _parse_fields(headers: RawHeaders) -> dict[bytes, str]:
    return {
        name.lower(): value.decode("latin-1").strip()
        for name, value in headers
        if name.lower() in _PARSED_FIELDS
    }


def _parse_key(headers: RawHeaders) -> PresentedKey | None:
    """Return the key of a request's headers, None if there is none."""
    values = [value.strip() for name, value in headers if name.lower() == API_KEY.lower()]
    if not values:
        return None
    if len(values) > 1:
        return PresentedKey(problem="several API keys were sent")
    if not 0 < len(values[0]) <= MAX_KEY_BYTES:
        return PresentedKey(problem=f"the API key is empty or longer than {MAX_KEY_BYTES} bytes")
    if not values[0].isascii():
        return PresentedKey(problem="the API key is not ASCII")
    return PresentedKey(key_hash=hash_key(values[0].decode("ascii")))


def _parse_token_counts(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return whole_number(first, TOKENS_MOST), whole_number(second, TOKENS_MOST)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else []:
        key, _, tokens = item.strip().rpartition(":")
        parts.append(PromptPart(key, whole_number(tokens, TOKENS_MOST)))
    return tuple(parts)


def _parse_load(text: str) -> EngineLoad | None:
    """Parse a load report; figures after the known ones are ignored."""
    if not text:
        return None
    figures = text.split(",")
    counts = [_parse_count(figure) for figure in figures[:MIN_LOAD_FIGURES]]
    known = [count for count in counts if count is not None]
    if len(known) < MIN_LOAD_FIGURES:
        note_unreadable("load", "a back end", "the number of requests or slots is invalid")
        return None
    running, waiting, slots = known
    return EngineLoad(running, waiting, slots, _parse_slowdown(figures[MIN_LOAD_FIGURES:]))


def _parse_count(text: str) -> int | None:
    number = finite_number(text)
    return int(number) if number is not None and number <= COUNT_MOST else None


def _parse_slowdown(further: list[str]) -> float | None:
    """Parse the figure that tells how long work takes; an invalid one costs itself alone."""
    if not further:
        return None
    percent = finite_number(further[0])
    if percent is None or not 0 < percent <= MAX_WORK_PERCENT:
        note_unreadable("load", "a back end", "the time that work takes is invalid")
        return None
    return percent / USUAL_WORK_PERCENT


def _parse_keep_alive(text: str) -> float | None:
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            return finite_number(value)
    return None
