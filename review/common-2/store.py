"""A small stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import collections
import contextlib
import http.server
import json
import re
import socketserver
import threading
import time
import urllib.parse

PREFIX = "/v1/objects/"
PAGE_ENTRIES = 500
WATCH_SECONDS_MAX = 30.0
HEARTBEAT_SECONDS = 1.2

MARKER = re.compile(rb'"@bytes-\d+@"')

Change = tuple[int, str, dict, bool]


class StoreDown(Exception):
    """The store did not take a write: it is down."""


class Store:
    """Objects by kind and name, with one revision counter and watches.

    Attributes
    ----------
    mode : str
        ``up``; or ``busy``, in which it answers 503; or ``silent``, in which it takes
        calls and answers none.
    delay_seconds : float
        Time that each answer takes.
    address : str
    calls : Counter
        Number of calls by method and kind.
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.delay_seconds = 0.004
        self.calls: collections.Counter[str] = collections.Counter()
        self._revision = 100
        self._objects: dict[str, dict[str, dict]] = collections.defaultdict(dict)
        self._changes: list[Change] = []
        self._forgotten = 0
        self._bytes: dict[bytes, bytes] = {}
        self._changed = threading.Condition()
        self._server = _HTTPServer(("127.0.0.1", 0), _Handler)
        self._server.store = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    def start(self) -> None:
        """Start to serve calls."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to serve calls."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as an operator or a server does; returns its revision.

        Raises
        ------
        StoreDown
            If the store is down.
        """
        if self.mode != "up":
            raise StoreDown(f"{kind}/{name}")
        with self._changed:
            return self._write(kind, name, spec, None)

    def put_bytes(self, kind: str, name: str, content: bytes) -> int:
        """Write an object whose spec is a string of bytes that are no UTF-8."""
        marker = f"@bytes-{len(self._bytes)}@"
        self._bytes[f'"{marker}"'.encode()] = b'"' + content + b'"'
        return self.put(kind, name, marker)

    def write_body(self, fields: dict) -> bytes:
        """Return the body of an answer."""
        data = json.dumps(fields).encode()
        for marker in set(MARKER.findall(data)):
            data = data.replace(marker, self._bytes[marker])
        return data

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; raises StoreDown if the store is down."""
        if self.mode != "up":
            raise StoreDown(f"{kind}/{name}")
        with self._changed:
            self._remove(kind, name)

    def forget_history(self) -> None:
        """Discard the history: watches from older revisions are answered with 410."""
        with self._changed:
            self._forgotten = self._revision
            self._changes.clear()
            self._changed.notify_all()

    def handle(self, method: str, target: str, body: bytes) -> tuple[int, dict] | None:
        """Return status and fields of the answer to a call; None for no answer."""
        time.sleep(self.delay_seconds)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        self.calls[f"{method} {kind}"] += 1
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            while self.mode == "silent":
                time.sleep(0.05)
            return None
        if method == "GET" and "watch" in query:
            return self._watch(kind, query)
        with self._changed:
            if method == "GET":
                return self._read(kind, name, query)
            fields = json.loads(body) if body else {}
            return self._change(method, kind, name, query, fields)

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict] | None:
        at = int(query["watch"])
        seconds = min(int(query.get("wait_ms", 0)) / 1000, WATCH_SECONDS_MAX)
        until = time.monotonic() + seconds
        with self._changed:
            while True:
                if self.mode != "up":
                    return None
                if not self._forgotten <= at <= self._revision:
                    return 410, {}
                found = [
                    {"object": stored, "deleted": is_deleted}
                    for revision, changed, stored, is_deleted in self._changes
                    if revision > at and changed == kind
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self._revision}
                self._changed.wait(min(left, 0.1))

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, dict]:
        known = self._objects[kind]
        if name:
            return (200, known[name]) if name in known else (404, {})
        names = sorted(each for each in known if each > query.get("after", ""))
        return 200, {
            "entries": [known[each] for each in names[:PAGE_ENTRIES]],
            "has_more": len(names) > PAGE_ENTRIES,
            "at": self._revision,
        }

    def _change(
        self, method: str, kind: str, name: str, query: dict[str, str], fields: dict
    ) -> tuple[int, dict]:
        metadata = fields.get("metadata") or {}
        known = self._objects[kind]
        if method == "POST":
            name = metadata["name"]
            if name in known:
                return 409, known[name]
            self._write(kind, name, fields.get("spec"), None)
            return 200, known[name]
        name, _, part = name.partition("/")
        if name not in known:
            return 404, {}
        stored = known[name]
        expected = query.get("revision", metadata.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self._remove(kind, name)
            return 200, {}
        if part == "status":
            self._write(kind, name, stored["spec"], fields.get("status"))
        else:
            self._write(kind, name, fields.get("spec"), stored["status"])
        return 200, known[name]

    def _write(self, kind: str, name: str, spec: object, status: object) -> int:
        known = self._objects[kind].get(name)
        if known and (known["spec"], known["status"]) == (spec, status):
            return known["metadata"]["revision"]
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "is_deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind][name] = stored
        self._changes.append((self._revision, kind, stored, False))
        self._changed.notify_all()
        return self._revision

    def _remove(self, kind: str, name: str) -> None:
        stored = self._objects[kind].pop(name, None)
        if stored is not None:
            self._revision += 1
            self._changes.append((self._revision, kind, stored, True))
            self._changed.notify_all()


class _HTTPServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256
    store: Store


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def handle(self) -> None:
        """Serve one channel; its other end may reset it."""
        with contextlib.suppress(OSError):
            super().handle()

    def _serve(self) -> None:
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        answer = self.server.store.handle(self.command, self.path, body)
        if answer is None:
            self.close_connection = True
            return
        status, fields = answer
        data = self.server.store.write_body(fields)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *_: object) -> None:
        """Write no log."""


for _method in ("GET", "POST", "PUT", "DELETE"):
    setattr(_Handler, f"do_{_method}", _Handler._serve)
