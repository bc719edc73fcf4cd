"""A caller of gateways: online requests, streams and batch jobs, as checkers need them."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
import urllib3

from testbed.engine.text import Answer, chat_prompt

CHAT_PATH = "/v1/chat/completions"
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 60.0
PAGE_LINES = 500
DONE = "[DONE]"


class CallerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller got for one request.

    Attributes:
        status: HTTP status; 0 when the connection failed.
        text: Text of the answer, joined over a stream's events.
        finish_reason: Why it ended; empty when the end never came.
        whole: True when the answer came to its proper end.
        request_id: The gateway's id of the request.
        error: The error object of a refusal or of an error event; empty when there was none.
    """

    status: int
    text: str = ""
    finish_reason: str = ""
    whole: bool = False
    request_id: str = ""
    error: dict[str, Any] = {}

    @property
    def execution(self) -> str:
        """What the error says about execution."""
        return str(self.error.get("execution", ""))


class Caller:
    """Calls one gateway with one API key. Safe to share between threads."""

    def __init__(self, gateway_url: str, api_key: str) -> None:
        self._url = gateway_url
        self._key = api_key
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ANSWER_TIMEOUT_S)
        self._pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=timeout)

    def chat(
        self,
        model: str,
        content: str,
        tokens: int,
        *,
        stream: bool = True,
        headers: Mapping[str, str] | None = None,
    ) -> CallerAnswer:
        """Ask one chat question, for an answer of exactly ``tokens`` tokens."""
        body = chat_body(model, content, tokens) | {"stream": stream}
        try:
            response = self._request("POST", CHAT_PATH, json.dumps(body).encode(), headers)
        except urllib3.exceptions.HTTPError as error:
            return CallerAnswer(status=0, error={"message": str(error)})
        if response.status != 200:
            return _refusal(response)
        return _read_stream(response) if stream else _read_whole(response)

    def submit_job(
        self,
        lines: list[dict[str, object]],
        *,
        idempotency_key: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Submit a batch job and return the batch object, or the error object under ``error``."""
        body = "\n".join(json.dumps(line) for line in lines).encode()
        extra = {"Content-Type": "application/jsonl", **(headers or {})}
        if idempotency_key:
            extra["Idempotency-Key"] = idempotency_key
        return self._json("POST", "/v1/batches", body, extra)

    def job(self, batch_id: str) -> dict[str, Any]:
        """Return a batch object."""
        return self._json("GET", f"/v1/batches/{batch_id}")

    def cancel_job(self, batch_id: str) -> dict[str, Any]:
        """Cancel a job and return its batch object."""
        return self._json("POST", f"/v1/batches/{batch_id}/cancel", b"{}")

    def results(self, batch_id: str) -> list[dict[str, Any]]:
        """Return all result lines of a job that are there now, in their order."""
        return list(self._result_lines(batch_id))

    def _result_lines(self, batch_id: str) -> Iterator[dict[str, Any]]:
        cursor = "0"
        while True:
            path = f"/v1/batches/{batch_id}/results?after={cursor}&limit={PAGE_LINES}"
            response = self._request("GET", path)
            if response.status != 200:
                raise ValueError(f"{path} answered {response.status}: {response.data[:300]!r}")
            lines = response.data.splitlines()
            yield from (json.loads(line) for line in lines)
            if not lines:
                return
            cursor = response.headers["X-Next-Cursor"]

    def _json(
        self, method: str, path: str, body: bytes | None = None, headers: Mapping[str, str] = {}
    ) -> dict[str, Any]:
        try:
            response = self._request(method, path, body, headers)
            return dict(json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return {"error": {"message": str(error), "code": "no_answer"}}

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        sent = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json"}
        return self._pool.request(
            method,
            self._url + path,
            body=body,
            headers=sent | dict(headers or {}),
            preload_content=path != CHAT_PATH,
        )


def chat_body(model: str, content: str, tokens: int) -> dict[str, object]:
    """Return the body of a chat request whose answer has exactly ``tokens`` tokens."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "min_tokens": tokens,
    }


def job_line(custom_id: str, model: str, content: str, tokens: int) -> dict[str, object]:
    """Return one line of a batch job's input."""
    body = chat_body(model, content, tokens)
    return {"custom_id": custom_id, "method": "POST", "url": CHAT_PATH, "body": body}


def expected_text(model: str, content: str, tokens: int) -> str:
    """Return the text that the stand-in gives to a chat question."""
    prompt = chat_prompt([{"role": "user", "content": content}])
    return Answer(model, prompt, tokens, tokens).text(tokens)


def result_text(line: Mapping[str, Any]) -> str:
    """Return the answer's text of a result line; empty when the item has none."""
    response = line.get("response") or {}
    choices = (response.get("body") or {}).get("choices") or []
    return str(choices[0]["message"]["content"]) if choices else ""


def _refusal(response: urllib3.BaseHTTPResponse) -> CallerAnswer:
    try:
        error = json.loads(response.read()).get("error", {})
    except (ValueError, urllib3.exceptions.HTTPError):
        error = {}
    return CallerAnswer(
        status=response.status, error=error, request_id=response.headers.get("X-Request-Id", "")
    )


def _read_whole(response: urllib3.BaseHTTPResponse) -> CallerAnswer:
    request_id = response.headers.get("X-Request-Id", "")
    try:
        choice = json.loads(response.read())["choices"][0]
    except (ValueError, KeyError, urllib3.exceptions.HTTPError) as error:
        return CallerAnswer(status=200, request_id=request_id, error={"message": str(error)})
    return CallerAnswer(
        status=200,
        text=choice["message"]["content"],
        finish_reason=choice["finish_reason"],
        whole=True,
        request_id=request_id,
    )


def _read_stream(response: urllib3.BaseHTTPResponse) -> CallerAnswer:
    text: list[str] = []
    finish_reason = ""
    error: dict[str, Any] = {}
    done = False
    try:
        for data in _event_data(response):
            if data == DONE:
                done = True
                break
            event = json.loads(data)
            error = event.get("error", error)
            for choice in event.get("choices", []):
                text.append(choice.get("delta", {}).get("content") or "")
                finish_reason = choice.get("finish_reason") or finish_reason
    except (ValueError, urllib3.exceptions.HTTPError) as failure:
        error = error or {"message": f"stream broke off: {failure}"}
    return CallerAnswer(
        status=200,
        text="".join(text),
        finish_reason=finish_reason,
        whole=done and not error,
        request_id=response.headers.get("X-Request-Id", ""),
        error=error,
    )


def _event_data(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    pending = b""
    for chunk in response.stream(65536):
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                yield line[len(b"data:") :].decode().strip()
