"""Stand-in for the platform's metadata store: lists, watches and conditional writes."""

from __future__ import annotations

import collections
import http.server
import json
import threading
import time
import urllib.parse

PREFIX = "/v1/objects/"


class Store:
    """Holds objects by kind and name; every change raises one revision."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict]] = collections.defaultdict(dict)
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._revision = 1
        self._changed = threading.Condition()
        store = self

        class Handler(_Handler):
            owner = store

        self._server = _Server(("127.0.0.1", 0), Handler)
        host, port = self._server.server_address[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or a server does."""
        with self._changed:
            self._write(kind, name, spec, None)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as the platform does with a server that has left."""
        with self._changed:
            self._remove(kind, name)

    def answer(
        self, method: str, kind: str, name: str, query: dict[str, str], body: dict
    ) -> tuple[int, dict]:
        """Return the status and the body of the answer to a call."""
        with self._changed:
            if method == "GET":
                return self._read(kind, name, query)
            return self._change(method, kind, name, query, body)

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, dict]:
        if name:
            found = self._objects[kind].get(name)
            return (200, found) if found else (404, {})
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), query)
        names = sorted(
            key for key in self._objects[kind] if key > query.get("after", "")
        )
        entries = [self._objects[kind][key] for key in names]
        return 200, {"entries": entries, "has_more": False, "at": self._revision}

    def _watch(self, kind: str, at: int, query: dict[str, str]) -> tuple[int, dict]:
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for revision, changed, found, deleted in self._changes
                if revision > at and changed == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            self._changed.wait(left)

    def _change(
        self, method: str, kind: str, name: str, query: dict[str, str], body: dict
    ) -> tuple[int, dict]:
        if method == "POST":
            name = body["metadata"]["name"]
            if name in self._objects[kind]:
                return 409, self._objects[kind][name]
            return 200, self._write(kind, name, body.get("spec"), None)
        name, _, part = name.partition("/")
        found = self._objects[kind].get(name)
        if found is None:
            return 404, {}
        stated = query.get("revision", body.get("metadata", {}).get("revision"))
        if stated is not None and int(stated) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self._remove(kind, name)
            return 200, {}
        if part == "status":
            return 200, self._write(kind, name, found["spec"], body.get("status"))
        return 200, self._write(kind, name, body.get("spec"), found["status"])

    def _write(self, kind: str, name: str, spec: object, status: object) -> dict:
        known = self._objects[kind].get(name)
        if known and known["spec"] == spec and known["status"] == status:
            return known
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        found = {
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
        self._objects[kind][name] = found
        self._changes.append((self._revision, kind, found, False))
        self._changed.notify_all()
        return found

    def _remove(self, kind: str, name: str) -> None:
        found = self._objects[kind].pop(name, None)
        if found is not None:
            self._revision += 1
            self._changes.append((self._revision, kind, found, True))
            self._changed.notify_all()


class _Server(http.server.ThreadingHTTPServer):
    """Serves each channel on its own thread."""

    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_: object) -> None:
        """Print nothing: a router that is killed resets its channels."""


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves the calls of the object API."""

    protocol_version = "HTTP/1.1"
    owner: Store

    def _serve(self) -> None:
        size = int(self.headers.get("Content-Length", 0))
        data = self.rfile.read(size) if size else b""
        parts = urllib.parse.urlsplit(self.path)
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = json.loads(data) if data else {}
        status, fields = self.owner.answer(self.command, kind, name, query, body)
        answer = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(answer)))
        self.send_header("Store-Era", "1")
        self.end_headers()
        self.wfile.write(answer)

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def log_message(self, *_: object) -> None:
        """Write no log."""
