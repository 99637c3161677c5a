"""Names of the platform's protocol: headers, calls, kinds of objects and words."""

from __future__ import annotations

REQUEST_ID = "Celeryspan-Request-Id"
DEADLINE_MS = "Celeryspan-Deadline-Ms"
KEY = "Celeryspan-Credential"
ACCOUNT = "Celeryspan-Tenant"
MODEL = "Celeryspan-Model"
TOKEN_COUNT = "Celeryspan-Token-Count"
PROMPT_PARTS = "Celeryspan-Prefix-Hash"
LENGTH_HINT = "Celeryspan-Length-Hint"
EXPECTED_SERVER = "Celeryspan-Expect-Instance"
EXPECTED_VERSION = "Celeryspan-Expect-Version"
SIGNATURE = "Celeryspan-Server-Stamp"
NOT_RUN = "Celeryspan-Not-Executed"
LOAD = "Celeryspan-Server-Load"
LAST_EVENT = "Last-Event-Id"
RETRY_AFTER = "Retry-After"

# Set by the system alone: a caller's own are dropped.
HOLD = "Celeryspan-Kv-Hold"
PIN_MS = "Celeryspan-Pin-Ms"
BACKUP = "Celeryspan-Kv-Backup"
MOVED_FROM = "Kv-From"
FETCHED_FROM = "Kv-Fetch"

RESOLVE = "/v1/resolve"
READY = "/v1/readyz"
METRICS = "/v1/metrics"
MOVE = "/v1/kv-move"
HANDLE = "/v1/kv-handle"
KEPT = "/v1/kv-list"
OBJECTS = "/v1/objects"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
ROUTER_KIND = "celeryspan-routers"
QUARANTINE_KIND = "celeryspan-quarantine"
QUARANTINE_NAME = "main"

SETTINGS_VARIABLE = "CELERYSPAN_CONFIG"
