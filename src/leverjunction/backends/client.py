"""Client of the engine protocol, with a pool of urllib3 connections."""

from __future__ import annotations

import msgspec
import urllib3

from leverjunction.backends.echo import ATTEMPT_HEADER, REQUEST_ID_HEADER, response_mismatch
from leverjunction.backends.head_wait import (
    AbortableConnection,
    IsOutdated,
    RequestOutdatedError,
    ShouldAbort,
    abort_wait_when,
    send_unless,
)
from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import (
    EngineCall,
    HeldRequest,
    HeldRequests,
    LoadReport,
    Order,
    OrderOutcome,
)
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import Fence
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.whole_heads import new_pool_manager

CONNECT_TIMEOUT_S = 0.5
LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
HELD_REQUESTS_TIMEOUT_S = 1.0
CONNECTIONS_PER_ENGINE = 64
MAX_ENGINES = 2048

PRIORITY_HEADER = "X-Priority"
OWNER_HEADER = "X-Owner"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
MONITOR_REQUEST_ID = "monitor"


class _Http10Connection(AbortableConnection):
    """Sends HTTP/1.0 requests, whose responses have no transfer coding and end with the connection.

    The relay loop can then copy the response body without parsing it.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class _Http10Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Http10Connection


class _AbortablePool(urllib3.HTTPConnectionPool):
    ConnectionCls = AbortableConnection


class _FenceRefusal(msgspec.Struct, frozen=True):
    fence: Fence


class EngineClient:
    """Calls engines. Thread-safe; never retries a call itself."""

    def __init__(self) -> None:
        self._pool = _new_pool(_AbortablePool)
        self._http10_pool = _new_pool(_Http10Pool)

    def open(
        self,
        call: EngineCall,
        should_abort: ShouldAbort | None = None,
        is_outdated: IsOutdated | None = None,
    ) -> EngineStream | Failure:
        """Send a request, or resume its stream, and return the response once its head has arrived.

        Args:
            call: The request or resume to send.
            should_abort: Called repeatedly until the head has arrived; True aborts the wait with
                a failure.
            is_outdated: Called just before the request is sent; True ends the call with a failure
                of kind STALE.

        Returns:
            The response with any status; or a failure, whose execution is NOT_RUN unless the
            engine may have run the request.
        """
        method = "POST" if call.last_event_id is None else "GET"
        path = call.path if call.last_event_id is None else _stream_path(call.request_id)
        headers = _headers(call.request_id, call.attempt)
        headers[PRIORITY_HEADER] = str(call.priority)
        if call.owner:
            headers[OWNER_HEADER] = call.owner
        if call.last_event_id is not None:
            headers[LAST_EVENT_ID_HEADER] = call.last_event_id
        with abort_wait_when(should_abort), send_unless(is_outdated):
            response = self._request(
                self._http10_pool if call.raw_stream else self._pool,
                method,
                call.address,
                path,
                call.body if method == "POST" else None,
                headers,
                call.timeout_s,
            )
        if isinstance(response, Failure):
            return response
        mismatch = response_mismatch(response.headers, call.request_id, call.attempt, call.address)
        if mismatch is not None:
            _close_response(response)
            return mismatch
        return EngineStream(response, call.address)

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request at its engine.

        Returns:
            None on success, including a request that the engine does not know; else the failure.
        """
        response = self._call(
            "DELETE", address, f"/v1/requests/{request_id}", request_id, None, CANCEL_TIMEOUT_S
        )
        if isinstance(response, Failure):
            return response
        if response[0] >= 500:
            return _status_failure(address, response[0], response[1])
        return None

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List the running and waiting requests of an engine that were sent with an owner label."""
        response = self._call(
            "GET", address, "/v1/requests", MONITOR_REQUEST_ID, None, HELD_REQUESTS_TIMEOUT_S
        )
        if isinstance(response, Failure):
            return response
        if response[0] != 200:
            return _status_failure(address, response[0], response[1])
        held = decode(response[1], HeldRequests, address)
        return held if isinstance(held, Failure) else held.requests

    def load(self, address: str, timeout_s: float = LOAD_TIMEOUT_S) -> LoadReport | Failure:
        """Return an engine's load report; a failure if it does not respond within ``timeout_s``."""
        response = self._call("GET", address, "/load", MONITOR_REQUEST_ID, None, timeout_s)
        if isinstance(response, Failure):
            return response
        if response[0] != 200:
            return _status_failure(address, response[0], response[1])
        return decode(response[1], LoadReport, address)

    def order(self, address: str, order: Order) -> OrderOutcome | Failure:
        """Send a fenced order.

        Returns:
            Whether the engine accepted the order; a failure if that is unknown.
        """
        response = self._call(
            "POST", address, "/orders", order.order_id, encode(order), ORDER_TIMEOUT_S
        )
        if isinstance(response, Failure):
            return response
        status, data = response
        if status == 409:
            refusal = decode(data, _FenceRefusal, address)
            highest = None if isinstance(refusal, Failure) else refusal.fence
            return OrderOutcome(
                accepted=False, status_code=status, highest_fence=highest, reason="fenced"
            )
        reason = "" if status < 300 else data[:200].decode("utf8", "replace")
        return OrderOutcome(accepted=status < 300, status_code=status, reason=reason)

    def open_event_stream(
        self, address: str, path: str, silence_s: float
    ) -> EngineStream | Failure:
        """Open an unbounded event stream of an engine, such as its cache events.

        Args:
            address: ``host:port`` of the engine.
            path: Path of the stream.
            silence_s: Time in seconds without bytes after which the connection counts as broken.
        """
        headers = _headers(MONITOR_REQUEST_ID, 1)
        response = self._request(self._pool, "GET", address, path, None, headers, silence_s)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            status = response.status
            _close_response(response)
            return _status_failure(address, status, b"")
        return EngineStream(response, address)

    def health(self, address: str, timeout_s: float = LOAD_TIMEOUT_S) -> bool:
        """Return whether the engine responds to a health check with 200 within ``timeout_s``."""
        response = self._call("GET", address, "/health", MONITOR_REQUEST_ID, None, timeout_s)
        return not isinstance(response, Failure) and response[0] == 200

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()
        self._http10_pool.clear()

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        request_id: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes] | Failure:
        """Send a call with a short response and return its status and body."""
        headers = _headers(request_id, 1)
        response = self._request(self._pool, method, address, path, body, headers, timeout_s)
        if isinstance(response, Failure):
            return response
        mismatch = response_mismatch(response.headers, request_id, 1, address)
        if mismatch is not None:
            _close_response(response)
            return mismatch
        data = EngineStream(response, address).read_all()
        return data if isinstance(data, Failure) else (response.status, data)

    def _request(
        self,
        pool: urllib3.PoolManager,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse | Failure:
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            return pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers | {"Host": address},
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(
                kind=FailureKind.UNREACHABLE,
                reason=f"cannot connect to the back end: {error}",
                step=Step.CONNECTING,
                peer=address,
                execution=Execution.NOT_RUN,
            )
        except RequestOutdatedError:
            return outdated_failure(address)
        except urllib3.exceptions.HTTPError as error:
            # The request may have been sent, so the engine may have run it.
            return Failure(
                kind=FailureKind.BACKEND_FAILED,
                reason=f"no response from the back end: {error}",
                step=Step.RESPONDING,
                peer=address,
                execution=Execution.UNKNOWN,
            )


def outdated_failure(address: str) -> Failure:
    """Return the failure of a call whose request was not sent because it was outdated."""
    return Failure(
        kind=FailureKind.STALE,
        reason="the choice of the back end became outdated before the request was sent",
        step=Step.SENDING,
        peer=address,
        execution=Execution.NOT_RUN,
    )


def _new_pool(pool_class: type[urllib3.HTTPConnectionPool]) -> urllib3.PoolManager:
    return new_pool_manager(
        pool_class, num_pools=MAX_ENGINES, maxsize=CONNECTIONS_PER_ENGINE, block=False
    )


def _headers(request_id: str, attempt: int) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        ATTEMPT_HEADER: str(attempt),
    }


def _stream_path(request_id: str) -> str:
    return f"/v1/requests/{request_id}/stream"


def _close_response(response: urllib3.BaseHTTPResponse) -> None:
    """Close the connection of a response, so that it is not reused with an unread body."""
    response.close()


def _status_failure(address: str, status: int, body: bytes) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_FAILED,
        reason=f"the back end returned HTTP {status}: {body[:200].decode('utf8', 'replace')}",
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
