"""Names of the platform's interface, as its pages state them.

What plays a caller, a back end, the operator or the platform takes its names from here. The product
has names of its own in ``leverjunction.platform``; ``tests/unit/test_platform_words.py`` compares
both. Nothing here is derived from the product, so a wrong name on one side is a difference.
"""

from __future__ import annotations

# PROTOCOL.md, Requests.
REQUEST_ID = "Leverjunction-Request-Id"
DEADLINE_MS = "Leverjunction-Deadline-Ms"
EXPECT_INSTANCE = "Leverjunction-Expect-Instance"
MODEL = "Leverjunction-Model"
TOKEN_COUNT = "Leverjunction-Token-Count"
PROMPT_PREFIX = "Leverjunction-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"

# The page on versions of software that serve side by side.
RESUMES = "Resumes"

# shifted/LATER.md, Requests.
API_KEY = "Leverjunction-Key"
TENANT = "Leverjunction-Tenant"

CALLER_FIELDS = frozenset(
    {
        REQUEST_ID,
        DEADLINE_MS,
        MODEL,
        TOKEN_COUNT,
        PROMPT_PREFIX,
        LAST_EVENT_ID,
        RESUMES,
        API_KEY,
    }
)
"""Header fields of callers that the platform defines."""

SYSTEM_FIELDS = frozenset({DEADLINE_MS, EXPECT_INSTANCE, TENANT, LAST_EVENT_ID})
"""Header fields that the system sets on requests to back ends."""

# PROTOCOL.md, Answers.
SERVER_STAMP = "Leverjunction-Server-Stamp"
RETRY_AFTER = "Retry-After"

# PROTOCOL.md, Runners; the fourth figure of a load is stated by demands/LATER.md, Runners.
NOT_EXECUTED = "Leverjunction-Not-Executed"
INSTANCE_LOAD = "Leverjunction-Instance-Load"
KEEP_ALIVE = "Keep-Alive"
KEEP_ALIVE_TIMEOUT = "timeout"
CONNECTION = "Connection"
REPORT_PATH = "/api/report"
HEALTH_PATH = "/health"
"""Path of the page's examples; a configuration names its own."""

REPORT_FIELDS = frozenset({"Running", "Waiting"})

BACK_END_FIELDS = frozenset(
    {REQUEST_ID, SERVER_STAMP, NOT_EXECUTED, INSTANCE_LOAD, KEEP_ALIVE, CONNECTION}
)
"""Header fields of back ends' answers that the system reads."""

# RFC 9110. Callers of the platform show a key; others may show credentials in this field.
AUTHORIZATION = "Authorization"

# PROTOCOL.md, Ingress.
READY_PATH = "/api/ready"

# PROTOCOL.md, Batch jobs.
LOTS_PATH = "/api/lots/"
ITEMS_PATH = "/api/items/"
AFTER_REVISION = "AfterRevision"
ITEM_ID_PARAMETER = "Id"
LOT_FIELDS = frozenset({"Items"})
ITEM_FIELDS = frozenset({"Id", "Path", "Headers", "Body", "Tokens"})
PAGE_FIELDS = frozenset({"Total", "NextToken", "Results"})
RESULT_FIELDS = frozenset({"Id", "State", "Text"})
RESULT_STATES = frozenset({"done", "dead"})
LARGEST_LOT = 200

# PROTOCOL.md, Service discovery; ``born`` by the page on starts of back ends.
BEAT_PATH = "/api/Instances.Heartbeat/"
LEAVE_PATH = "/api/Instances.Leave/"
BEAT_FIELDS = frozenset(
    {"Service", "Address", "Zone", "Version", "Slots", "State", "Sequence", "born"}
)
LEAVE_FIELDS = frozenset({"born"})
RUNNER_STATES = frozenset({"ready", "draining"})

# PROTOCOL.md, The operator's API.
REPLACE_PATH = "/api/Config.Replace"
READ_BACK_PATH = "/api/Config.Get"
RETIRE_PATH = "/api/Retire.Start/"
RETIREMENT_PATH = "/api/Retire.Get/"
RETIREMENT_FIELDS = frozenset({"State"})
RETIREMENT_STATES = frozenset({"running", "done"})
LIMITS_FIELDS = frozenset({"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"})

# The same section. ``Public`` is stated by shifted/LATER.md, Requests; ``MaxQueuedTokens`` by
# further/LATER.md, Batch jobs; the rest by PROTOCOL.md, Requests and Batch jobs.
TABLE_FIELDS = frozenset({"Version", "Routes", "Services", "Limits", "Tenants"})
ROUTE_FIELDS = frozenset(
    {
        "Name",
        "Hostname",
        "PathPrefix",
        "RouteKind",
        "TimeoutMs",
        "TargetLatencyMs",
        "Priority",
        "Service",
        "TrafficSplit",
        "MaxAttempts",
        "SessionAffinity",
        "Resumable",
        "GapAimMs",
        "DueMs",
        "MaxWaitS",
        "Public",
        "MaxQueuedTokens",
    }
)
ROUTE_KINDS = frozenset({"idempotent", "non_idempotent", "streaming", "batch"})
SPLIT_FIELDS = frozenset({"Service", "Weight"})
SERVICE_FIELDS = frozenset({"Name", "HealthPath", "MaxConnections", "Engine"})
ENGINE_FIELDS = frozenset({"Slots", "KvCapacityTokens"})

# shifted/LATER.md, Requests and The operator's API.
TENANT_FIELDS = frozenset({"Name", "ApiKeys", "Priority", "RatePerS", "Burst"})

# DEPLOY.md, Settings of a process; the bounds of tenants are stated by shifted/LATER.md.
SETTINGS_VARIABLE = "LEVERJUNCTION_SETTINGS"
SETTINGS_FIELDS = frozenset(
    {
        "NodeName",
        "Zone",
        "Ip",
        "Seeds",
        "InternalPorts.0",
        "Bootstrap",
        "FaultTolerance.Machines",
        "Limits.MemoryMb",
        "DataDir",
        "Listen.Front",
        "Listen.Ready",
        "Listen.Control",
        "Bounds.QuotaWindowS",
        "Bounds.QuotaOvershoot",
        "Bounds.QuotaSlack",
        "Bounds.FailClosed",
        "Bounds.RevokeMs",
        "Bounds.GraceS",
        "Bounds.DrainMs",
        "Bounds.StatusS",
        "Bounds.ConfigApplyMs",
    }
)

# DEPLOY.md, The deploy file; ``metrics`` is stated by NEWS.md, On the machines.
DEPLOY_FIELDS = frozenset({"build", "roles"})
ROLE_FIELDS = frozenset({"run", "on", "share", "serves", "template", "metrics"})
MACHINE_CLASSES = frozenset({"front", "core", "store"})
SERVED = frozenset({"front", "control", "store"})
