"""Stand-in for the platform's object API and VM list."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from http import HTTPStatus

from standins import web

VALUE_BYTES_MAX = 1 << 20
WATCH_SECONDS_MAX = 60.0


@dataclasses.dataclass(slots=True)
class _Entry:
    """Current value of a key, None once deleted, and the previous value."""

    version: int
    value: bytes | None
    previous: tuple[int, bytes | None] = (0, None)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that are set for the stand-in.

    Attributes
    ----------
    down : bool
        Answer 503 to all calls of the object API.
    slow_seconds : float
        Delay of each answer, in seconds.
    lose_answers : int
        Number of writes that take effect and are not answered.
    stale_reads : int
        Number of reads that are answered with the previous value.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    stale_reads: int = 0


class Store(web.StandIn):
    """Versioned keys with conditional writes and watches, held in memory.

    Attributes
    ----------
    calls : Counter
        Number of calls by kind: read, watch, write, list, vms.
    """

    def __init__(self, *, port: int = 0, host: str = "127.0.0.1") -> None:
        super().__init__(port=port, host=host, threads=128)
        self.calls: collections.Counter[str] = collections.Counter()
        self.faults = Faults()
        self._changed = threading.Condition()
        self._entries: dict[str, _Entry] = {}
        self._version = 0
        self._vm_lists: list[tuple[float, list[dict]]] = [(0.0, [])]

    def control(self, **faults: object) -> None:
        """Change the faults; takes the same fields as ``POST /_control``."""
        with self._changed:
            self.faults = dataclasses.replace(self.faults, **faults)
            self._changed.notify_all()

    def set_vms(self, vms: list[dict], lag_seconds: float = 0.0) -> None:
        """Replace the VM list; readers see it after ``lag_seconds``."""
        with self._changed:
            self._vm_lists.append((time.monotonic() + lag_seconds, vms))

    def handle(self, request: web.Request) -> web.Response:
        """Handle one request."""
        if request.path == "/_control":
            self.control(**request.read_json())
            return web.Response(HTTPStatus.NO_CONTENT)
        if request.path == "/_calls":
            return web.make_json_response(dict(self.calls))
        if request.path == "/_vms":
            self.set_vms(**request.read_json())
            return web.Response(HTTPStatus.NO_CONTENT)
        if request.path == "/vms":
            self.calls["vms"] += 1
            return web.make_json_response({"vms": self._get_visible_vms()})
        return self._handle_object_call(request)

    def _handle_object_call(self, request: web.Request) -> web.Response:
        _, kind, key = [*request.path.split("/", 2), "", ""][:3]
        if kind not in ("objects", "list"):
            return web.make_json_response(
                {"error": "no such path"}, HTTPStatus.NOT_FOUND
            )
        self.calls[_classify_call(request, kind)] += 1
        if self.faults.slow_seconds:
            self.stopping.wait(self.faults.slow_seconds)
        if self.faults.down:
            return web.make_json_response(
                {"error": "down"}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        if kind == "list":
            return self._list(request.query.get("prefix", ""))
        if request.method == "GET" and "above" in request.query:
            return self._watch(key, request.query)
        if request.method == "GET":
            return self._read(key)
        return self._write(key, request)

    def _read(self, key: str) -> web.Response:
        with self._changed:
            entry = self._entries.get(key, _Entry(0, None))
            version, value = entry.version, entry.value
            if self.faults.stale_reads > 0:
                self.faults.stale_reads -= 1
                version, value = entry.previous
        return _make_value_response(version, value)

    def _watch(self, key: str, query: dict[str, str]) -> web.Response:
        above = int(query["above"])
        wait = min(float(query.get("wait", "0")), WATCH_SECONDS_MAX)
        deadline = time.monotonic() + wait
        with self._changed:
            while not self.stopping.is_set():
                if self.faults.down:
                    return web.make_json_response(
                        {"error": "down"}, HTTPStatus.SERVICE_UNAVAILABLE
                    )
                entry = self._entries.get(key)
                if entry is not None and entry.version > above:
                    return _make_value_response(entry.version, entry.value)
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                self._changed.wait(min(remaining, 1.0))
        return web.Response(HTTPStatus.NOT_MODIFIED)

    def _write(self, key: str, request: web.Request) -> web.Response:
        if len(request.body) > VALUE_BYTES_MAX:
            return web.make_json_response(
                {"error": "value above 1 MiB"}, HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        with self._changed:
            response = self._write_locked(key, request)
            succeeded = response.status < HTTPStatus.MULTIPLE_CHOICES
            drop_answer = succeeded and self.faults.lose_answers > 0
            if drop_answer:
                self.faults.lose_answers -= 1
            self._changed.notify_all()
        if drop_answer:
            raise web.DropConnection
        return response

    def _write_locked(self, key: str, request: web.Request) -> web.Response:
        entry = self._entries.get(key, _Entry(0, None))
        create = request.headers.get("if-none-match") == "*"
        expected = request.headers.get("if-match", "").strip('"')
        if not create and not expected:
            return web.make_json_response(
                {"error": "a write needs a condition"}, HTTPStatus.PRECONDITION_REQUIRED
            )
        if request.method == "DELETE" and entry.value is None:
            return web.Response(HTTPStatus.NOT_FOUND)
        matches = entry.value is None if create else expected == str(entry.version)
        if not matches or (not create and entry.value is None):
            return web.Response(
                HTTPStatus.PRECONDITION_FAILED, headers=_make_etag(entry.version)
            )
        value = None if request.method == "DELETE" else request.body
        self._version += 1
        previous = (entry.version, entry.value)
        self._entries[key] = _Entry(self._version, value, previous)
        if value is None:
            return web.Response(HTTPStatus.NO_CONTENT)
        status = HTTPStatus.CREATED if create else HTTPStatus.OK
        return web.Response(status, headers=_make_etag(self._version))

    def _list(self, prefix: str) -> web.Response:
        with self._changed:
            keys = [
                {"key": key, "version": entry.version}
                for key, entry in sorted(self._entries.items())
                if key.startswith(prefix) and entry.value is not None
            ]
        return web.make_json_response({"keys": keys})

    def _get_visible_vms(self) -> list[dict]:
        now = time.monotonic()
        with self._changed:
            return [vms for visible_at, vms in self._vm_lists if visible_at <= now][-1]


def _classify_call(request: web.Request, kind: str) -> str:
    if kind == "list":
        return "list"
    if request.method != "GET":
        return "write"
    return "watch" if "above" in request.query else "read"


def _make_etag(version: int) -> dict[str, str]:
    return {"ETag": f'"{version}"'}


def _make_value_response(version: int, value: bytes | None) -> web.Response:
    if value is None:
        return web.make_json_response({"error": "no such key"}, HTTPStatus.NOT_FOUND)
    headers = _make_etag(version) | {"Content-Type": "application/octet-stream"}
    return web.Response(HTTPStatus.OK, value, headers)
