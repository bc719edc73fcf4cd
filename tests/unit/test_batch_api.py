"""Tests of the files and batches API over HTTP, with the OpenAI client and plain requests."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
import socket
import threading
from collections.abc import Iterator

import cherrypy
import openai
import pytest
import urllib3
from cheroot import wsgi
from tests.unit.batch_support import GROUPS, LocalControl

from leverjunction.api.batches import BatchApi
from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    ExpireDeadlines,
    ExpiredLeases,
    GrantLease,
    ItemResult,
    ItemState,
    Lease,
)
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow


def _rows() -> list[SettingRow]:
    leaves: dict[str, object] = {
        "services/llm/models/m/version": "1",
        "services/docs/models/d/version": "1",
        "batch_classes/night/deadline_s": 7200.0,
        "batch_classes/night/weight": 0.25,
        "batch_classes/night/results_retention_s": 3600.0,
        "tenants/kilimo/limits/max_job_items": 1500,
    }
    for tenant in ("kilimo", "hanbit"):
        digest = hashlib.sha256(f"key-{tenant}".encode()).hexdigest()
        leaves[f"tenants/{tenant}/api_key_hashes"] = [digest]
    return [SettingRow(path, value, 1) for path, value in leaves.items()]


class Server:
    """Serves the batch API on a free port, with the job groups' state machines in this process."""

    def __init__(self) -> None:
        self.control = LocalControl(SystemClock().wall_ms)
        settings = ResolvedSettings.from_rows(_rows())
        api = BatchApi(
            self.control,
            lambda: settings,
            SystemClock(),
            random.Random(1),
            lambda: GROUPS,
            InflightRequests(),
        )
        application = cherrypy.Application(api, "/v1")
        application.log.screen = False
        self._server = wsgi.Server(("127.0.0.1", 0), application)
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()
        self.address = ("127.0.0.1", self._server.bind_addr[1])
        self.url = f"http://127.0.0.1:{self._server.bind_addr[1]}/v1"
        self._pool = urllib3.PoolManager(retries=False)

    def stop(self) -> None:
        self._server.stop()
        self._thread.join()

    def request(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        tenant = headers.pop("tenant", "kilimo")
        sent = {"Authorization": f"Bearer key-{tenant}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body is not None:
            sent.setdefault("Content-Type", "application/jsonl")
        return self._pool.request(method, self.url + path, body=body, headers=sent)

    def run_all(self) -> None:
        """Lease every pending item and complete it with a result that echoes its custom id."""
        for group in GROUPS:
            lease = self.control.propose(
                group, GrantLease(f"l-{group}", "g", "llm", ["m"], 500), Lease
            )
            assert isinstance(lease, Lease)
            results = [
                ItemResult(
                    job_id=item.job_id,
                    index=item.index,
                    attempt=item.attempt,
                    state=ItemState.DONE,
                    status_code=200,
                    body=json.dumps({"echo": item.item.custom_id}),
                )
                for item in lease.items
            ]
            self.control.propose(group, CompleteItems(lease.lease_id, results), CompletedItems)


@pytest.fixture
def server() -> Iterator[Server]:
    started = Server()
    yield started
    started.stop()


def line(custom_id: str, **changes: object) -> bytes:
    body = {"model": changes.pop("model", "m"), "prompt": "x"}
    body |= changes.pop("body", {})  # type: ignore[arg-type]
    base = {"custom_id": custom_id, "method": "POST", "url": "/v1/completions", "body": body}
    return json.dumps(base | changes).encode()


def lines(count: int) -> bytes:
    return b"\n".join(line(f"c{index}") for index in range(count))


def test_official_client_runs_a_batch(server: Server) -> None:
    client = openai.OpenAI(api_key="key-kilimo", base_url=server.url, max_retries=0)
    uploaded = client.files.create(file=("in.jsonl", lines(1200)), purpose="batch")
    assert (uploaded.filename, uploaded.bytes) == ("in.jsonl", len(lines(1200)))
    batch = client.batches.create(
        input_file_id=uploaded.id, endpoint="/v1/completions", completion_window="24h"
    )
    assert batch.request_counts is not None
    assert (batch.status, batch.request_counts.total) == ("in_progress", 1200)
    assert [listed.id for listed in client.batches.list()] == [batch.id]
    other = client.files.create(file=("in.jsonl", lines(2)), purpose="batch")
    small = client.batches.create(
        input_file_id=other.id, endpoint="/v1/completions", completion_window="24h"
    )
    client.batches.cancel(batch.id)
    assert client.batches.retrieve(batch.id).status == "cancelled"
    server.run_all()
    done = client.batches.retrieve(small.id)
    assert done.status == "completed" and done.output_file_id is not None
    output = [json.loads(text) for text in client.files.content(done.output_file_id).iter_lines()]
    assert [entry["response"]["body"]["echo"] for entry in output] == ["c0", "c1"]


def test_batch_from_body_with_retries_and_paged_results(server: Server) -> None:
    first = server.request("POST", "/batches", lines(3), Idempotency_Key="k")
    batch = json.loads(first.data)
    assert first.status == 200, first.data
    again = server.request("POST", "/batches", lines(3), Idempotency_Key="k")
    assert json.loads(again.data)["id"] == batch["id"]
    other = server.request("POST", "/batches", lines(4), Idempotency_Key="k")
    assert (other.status, json.loads(other.data)["error"]["code"]) == (422, "key_reused")
    server.run_all()
    page = server.request("GET", f"/batches/{batch['id']}/results?limit=2")
    assert page.headers["X-Complete"] == "false"
    cursor = page.headers["X-Next-Cursor"]
    rest = server.request("GET", f"/batches/{batch['id']}/results?after={cursor}")
    assert rest.headers["X-Complete"] == "true"
    ids = [json.loads(text)["custom_id"] for text in (page.data + rest.data).splitlines()]
    assert ids == ["c0", "c1", "c2"]


def test_official_client_pages_through_all_batches(server: Server) -> None:
    client = openai.OpenAI(api_key="key-kilimo", base_url=server.url, max_retries=0)
    created = []
    for _ in range(7):
        # Another tenant's batch, and a file without a batch, must not take a place on a page.
        server.request("POST", "/batches", lines(1), tenant="hanbit")
        client.files.create(file=("in.jsonl", lines(1)), purpose="batch")
        created.append(json.loads(server.request("POST", "/batches", lines(1)).data)["id"])
    # islice bounds the test in case pagination never ends and repeats batches.
    listed = [batch.id for batch in itertools.islice(client.batches.list(limit=2), 20)]
    assert sorted(listed) == sorted(created)
    times = [client.batches.retrieve(batch_id).created_at for batch_id in listed]
    assert times == sorted(times, reverse=True)
    page = client.batches.list(limit=7)
    assert (len(page.data), page.has_more) == (7, False)


@pytest.mark.parametrize(
    ("query", "status", "reason"),
    [
        ("limit=0", 400, "limit: expected a whole number from 1 to 100, got '0'"),
        ("limit=many", 400, "limit: expected a whole number from 1 to 100, got 'many'"),
        ("after=batch_jobs-0.00", 404, "no job 'jobs-0.00'"),
    ],
)
def test_invalid_list_parameters_are_refused(
    server: Server, query: str, status: int, reason: str
) -> None:
    refused = server.request("GET", f"/batches?{query}")
    assert refused.status == status, refused.data
    assert reason in json.loads(refused.data)["error"]["message"]


def test_tenants_see_only_their_own_jobs(server: Server) -> None:
    batch = json.loads(server.request("POST", "/batches", lines(1)).data)["id"]
    job_id = batch.removeprefix("batch_")
    calls = [
        ("GET", f"/batches/{batch}"),
        ("POST", f"/batches/{batch}/cancel"),
        ("GET", f"/batches/{batch}/results"),
        ("GET", f"/files/file-{job_id}"),
        ("GET", f"/files/file-output-{job_id}/content"),
        ("DELETE", f"/files/file-{job_id}"),
        ("GET", "/batches/batch_jobs-9.00"),
    ]
    for method, path in calls:
        assert server.request(method, path, tenant="hanbit").status == 404, path
    assert json.loads(server.request("GET", "/batches", tenant="hanbit").data)["data"] == []
    assert server.request("GET", "/batches", tenant="nobody").status == 401


@pytest.mark.parametrize(
    ("body", "status", "reasons"),
    [
        (b"", 400, ["no lines"]),
        (line("a") + b"\n{nonsense\n", 400, ["line 2: ", "expected custom_id"]),
        (line("a") + b"\n\n" + line("a"), 400, ["line 3: custom_id 'a' is used twice"]),
        (line("a", model="none"), 400, ["line 1: no service has the model 'none'"]),
        (line("a") + b"\n" + line("b", model="d"), 400, ["line 2: ", "one job for each service"]),
        (line("a", url="/v1/embeddings"), 400, ["line 1: url '/v1/embeddings'; use one of"]),
        (line("a", body={"stream": True}), 400, ["line 1: stream is not supported"]),
        (line("", model="none") + b"\n" + line("b", method="GET"), 400, ["line 1: ", "line 2: "]),
        (lines(1501), 413, ["line 1501: more than 1500 items"]),
        (line("a", body={"prompt": "x" * 1_100_000}), 413, ["line 1: is longer than 1000000"]),
    ],
)
def test_input_with_an_invalid_line_is_refused_as_a_whole(
    server: Server, body: bytes, status: int, reasons: list[str]
) -> None:
    refused = server.request("POST", "/batches", body, Idempotency_Key="k")
    error = json.loads(refused.data)["error"]
    assert (refused.status, error["execution"]) == (status, "not_run"), error
    for reason in reasons:
        assert reason in error["message"]
    for connection in server.control.connections.values():
        assert connection.execute("SELECT COUNT(*) FROM sm_items").fetchone() == (0,)
    # The idempotency key can be reused for the corrected input.
    assert server.request("POST", "/batches", lines(1), Idempotency_Key="k").status == 200


MULTIPART_HEAD = (
    b'--cut\r\nContent-Disposition: form-data; name="file"; filename="in.jsonl"\r\n'
    b"Content-Type: application/jsonl\r\n\r\n"
)


@pytest.mark.parametrize(
    ("path", "headers", "sent"),
    [
        ("batches", b"Content-Type: application/jsonl\r\nContent-Length: 5000", lines(3) + b"\n"),
        (
            "batches",
            b"Content-Type: application/jsonl\r\nTransfer-Encoding: chunked",
            f"{len(lines(3)) + 1:x}\r\n".encode() + lines(3) + b"\n\r\n",
        ),
        (
            "files",
            b"Content-Type: multipart/form-data; boundary=cut\r\nContent-Length: 5000",
            MULTIPART_HEAD + lines(3) + b"\n",
        ),
    ],
)
def test_body_truncated_between_two_lines_is_refused(
    server: Server, path: str, headers: bytes, sent: bytes
) -> None:
    # The gateway ends a body that arrives too slowly in the same way.
    head = f"POST /v1/{path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-kilimo\r\n".encode()
    with socket.create_connection(server.address) as connection:
        connection.sendall(head + b"Idempotency-Key: k\r\n" + headers + b"\r\n\r\n" + sent)
        connection.shutdown(socket.SHUT_WR)
        response = connection.makefile("rb").read()
    assert response.startswith(b"HTTP/1.1 400"), response
    assert json.loads(response.rpartition(b"\r\n\r\n")[2])["error"]["execution"] == "not_run"
    for connection_ in server.control.connections.values():
        sealed = connection_.execute("SELECT COUNT(*) FROM sm_jobs WHERE content_hash != ''")
        assert sealed.fetchone() == (0,)
    # A retry of the whole body with the same key creates the job.
    whole = server.request("POST", "/batches", lines(5), Idempotency_Key="k")
    assert json.loads(whole.data)["request_counts"]["total"] == 5


def test_retry_resumes_an_upload_that_failed_without_quorum(server: Server) -> None:
    lost = Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no quorum",
        step=Step.PROPOSING,
        execution=Execution.UNKNOWN,
    )
    sent: list[str] = []

    def refuse(command: object) -> Failure | None:
        sent.append(type(command).__name__)
        return lost if sent.count("AppendItems") == 2 else None

    server.control.refuse = refuse
    failed = server.request("POST", "/batches", lines(1200), Idempotency_Key="k")
    error = json.loads(failed.data)["error"]
    assert (failed.status, error["execution"]) == (503, "not_run")
    server.control.refuse = lambda _command: None
    resent = server.request("POST", "/batches", lines(1200), Idempotency_Key="k")
    assert json.loads(resent.data)["request_counts"]["total"] == 1200


def test_lost_reply_to_accept_job_is_reported_as_unknown(server: Server) -> None:
    lost = Failure(
        kind=FailureKind.TIMEOUT, reason="late", step=Step.PROPOSING, execution=Execution.UNKNOWN
    )
    server.control.refuse = lambda command: lost if type(command).__name__ == "AcceptJob" else None
    failed = server.request("POST", "/batches", lines(2))
    assert json.loads(failed.data)["error"]["execution"] == "unknown"


def test_job_terms_are_read_from_headers_and_query(server: Server) -> None:
    created = server.request(
        "POST", "/batches?completion_window=2h&batch_class=night", lines(1), X_Repeat="never"
    )
    batch = json.loads(created.data)
    assert batch["expires_at"] - batch["created_at"] in (7199, 7200)
    assert (batch["may_repeat"], batch["metadata"]["batch_class"]) == (False, "night")
    bad = server.request("POST", "/batches?completion_window=soon", lines(1))
    assert bad.status == 400


def test_batch_class_must_be_in_the_settings(server: Server) -> None:
    refused = server.request("POST", "/batches", lines(1), X_Batch_Class="nihgt")
    assert refused.status == 400
    assert "known: default, night" in json.loads(refused.data)["error"]["message"]
    created = server.request("POST", "/batches", lines(1), X_Batch_Class="night")
    batch = json.loads(created.data)
    assert batch["expires_at"] - batch["created_at"] in (7199, 7200)
    weights = [
        weight
        for connection in server.control.connections.values()
        for (weight,) in connection.execute("SELECT weight_milli FROM sm_jobs")
    ]
    assert weights == [250]


def test_idempotency_key_of_a_file_batch_is_bound_to_its_file(server: Server) -> None:
    client = openai.OpenAI(api_key="key-kilimo", base_url=server.url, max_retries=0)
    ids = [client.files.create(file=("in.jsonl", lines(1)), purpose="batch").id for _ in range(2)]

    def create(file_id: str) -> urllib3.BaseHTTPResponse:
        body = json.dumps({"input_file_id": file_id, "completion_window": "24h"}).encode()
        return server.request(
            "POST", "/batches", body, Content_Type="application/json", Idempotency_Key="k"
        )

    assert create(ids[0]).data == create(ids[0]).data
    assert create(ids[1]).status == 422
    assert json.loads(server.request("DELETE", f"/files/{ids[1]}").data)["deleted"]
    assert server.request("GET", f"/files/{ids[1]}").status == 404


def test_results_expire_after_their_retention(server: Server) -> None:
    created = server.request("POST", "/batches", lines(3), X_Batch_Class="night")
    batch_id = json.loads(created.data)["id"]
    server.run_all()
    batch = json.loads(server.request("GET", f"/batches/{batch_id}").data)
    assert 3600 <= batch["results_expire_at"] - batch["completed_at"] <= 3601
    results = f"/batches/{batch_id}/results"
    assert server.request("GET", results).status == 200
    late_ms = batch["results_expire_at"] * 1000 + 1000
    server.control.wall_ms = lambda: late_ms
    for group in GROUPS:
        server.control.propose(group, ExpireDeadlines(), ExpiredLeases)
    for path in (results, f"/files/{batch['output_file_id']}/content"):
        refused = server.request("GET", path)
        assert (refused.status, json.loads(refused.data)["error"]["code"]) == (410, "expired")
    after = json.loads(server.request("GET", f"/batches/{batch_id}").data)
    assert (after["status"], after["output_file_id"]) == ("completed", None)
    assert after["request_counts"]["completed"] == 3
