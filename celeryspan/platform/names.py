"""Names in the platform's protocol: headers, paths, object kinds and variables."""

from __future__ import annotations

REQUEST_ID = "Celeryspan-Request-Id"
DEADLINE_MS = "Celeryspan-Deadline-Ms"
API_KEY = "Celeryspan-Credential"
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

# Set by this system only; removed from callers' requests.
HOLD = "Celeryspan-Kv-Hold"
PIN_MS = "Celeryspan-Pin-Ms"
BACKUP = "Celeryspan-Kv-Backup"
MOVED_FROM = "Kv-From"
FETCHED_FROM = "Kv-Fetch"

RESOLVE = "/v1/resolve"
READY = "/v1/readyz"
METRICS = "/v1/metrics"
KV_MOVE = "/v1/kv-move"
KV_HANDLE = "/v1/kv-handle"
KV_LIST = "/v1/kv-list"
OBJECTS = "/v1/objects"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"
ROUTER_KIND = "celeryspan-routers"
QUARANTINE_KIND = "celeryspan-quarantine"
QUARANTINE_NAME = "main"

SETTINGS_VARIABLE = "CELERYSPAN_CONFIG"
