"""Stand-in for the platform's store of objects: revisions, watches, pages, faults."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from http import HTTPStatus

from standins import web

PAGE = 500
WATCH_SECONDS_MAX = 30.0


@dataclasses.dataclass(slots=True)
class ObjectFaults:
    """What the stand-in has been told to do wrong.

    Attributes
    ----------
    refuse_status : int
        Answer all calls with this status and do nothing; 0 for none.
    lose_answers : int
        So many writes take effect and are not answered.
    silent : bool
        Answer nothing at all.
    """

    refuse_status: int = 0
    lose_answers: int = 0
    silent: bool = False


class ObjectStore(web.StandIn):
    """Objects by kind and name, in memory.

    Attributes
    ----------
    calls : Counter
        Calls by method, watches apart.
    calls_by_kind : Counter
        The same by method and kind of objects.
    page : int
        Objects in one answer of a list.
    """

    def __init__(
        self, *, port: int = 0, host: str = "127.0.0.1", threads: int = 64
    ) -> None:
        super().__init__(port=port, host=host, threads=threads)
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.faults = ObjectFaults()
        self.page = PAGE
        self._revision = 1
        self._objects: dict[str, dict[str, dict]] = collections.defaultdict(dict)
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._forgotten = 0
        self._changed = threading.Condition()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as an operator or server does; returns its revision."""
        with self._changed:
            return self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            self._remove(kind, name)

    def compact(self) -> None:
        """Forget all history: watches of old revisions get 410."""
        with self._changed:
            self._forgotten = self._revision
            self._changes.clear()
            self._changed.notify_all()

    def find(self, kind: str, name: str) -> dict | None:
        """Return an object, or None."""
        return self._objects[kind].get(name)

    def handle(self, request: web.Request) -> web.Response:
        """Answer one call of the object API."""
        kind, _, name = request.path.removeprefix("/v1/objects/").partition("/")
        is_watch = "watch" in request.query
        method = "WATCH" if is_watch else request.method
        self.calls[method] += 1
        self.calls_by_kind[f"{method} {kind}"] += 1
        if self.faults.silent:
            self.keep_silent(request)
        if self.faults.refuse_status:
            status = HTTPStatus(self.faults.refuse_status)
            return web.make_json_response({"error": "refused"}, status)
        if request.method == "GET":
            return self._read(kind, name, request.query)
        with self._changed:
            answer = self._handle_write(kind, name, request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise web.DropConnection
        return answer

    def _read(self, kind: str, name: str, query: dict[str, str]) -> web.Response:
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), query)
        with self._changed:
            if name:
                found = self._objects[kind].get(name)
                if found is None:
                    return web.make_json_response({}, HTTPStatus.NOT_FOUND)
                return web.make_json_response(found)
            names = sorted(n for n in self._objects[kind] if n > query.get("after", ""))
            entries = [self._objects[kind][n] for n in names[: self.page]]
            more = len(names) > self.page
            return web.make_json_response(
                {"entries": entries, "has_more": more, "at": self._revision}
            )

    def _watch(self, kind: str, at: int, query: dict[str, str]) -> web.Response:
        wait = min(int(query.get("wait_ms", 0)) / 1000, WATCH_SECONDS_MAX)
        until = time.monotonic() + wait
        with self._changed:
            while True:
                if at < self._forgotten:
                    return web.make_json_response({}, HTTPStatus.GONE)
                events = [
                    {"object": found, "deleted": gone}
                    for revision, changed, found, gone in self._changes
                    if revision > at and changed == kind
                ]
                left = until - time.monotonic()
                if events or left <= 0 or self.stopping.is_set():
                    return web.make_json_response(
                        {"events": events, "at": self._revision}
                    )
                self._changed.wait(min(left, 0.1))

    def _handle_write(self, kind: str, name: str, request: web.Request) -> web.Response:
        body = request.read_json()
        if request.method == "POST":
            return self._create(kind, body)
        name = name.removesuffix("/status")
        found = self._objects[kind].get(name)
        if found is None:
            return web.make_json_response({}, HTTPStatus.NOT_FOUND)
        asked = request.query.get("revision", body.get("metadata", {}).get("revision"))
        if asked is not None and int(asked) != found["metadata"]["revision"]:
            return web.make_json_response(found, HTTPStatus.CONFLICT)
        if request.method == "DELETE":
            self._remove(kind, name)
            return web.make_json_response({})
        if request.path.endswith("/status"):
            self._write(kind, name, found["spec"], body.get("status"))
        else:
            self._write(kind, name, body.get("spec"), found["status"])
        return web.make_json_response(self._objects[kind][name])

    def _create(self, kind: str, body: dict) -> web.Response:
        name = body["metadata"]["name"]
        if name in self._objects[kind]:
            return web.make_json_response(
                self._objects[kind][name], HTTPStatus.CONFLICT
            )
        self._write(kind, name, body.get("spec"))
        return web.make_json_response(self._objects[kind][name])

    def _write(self, kind: str, name: str, spec: object, status: object = None) -> int:
        self._revision += 1
        known = self._objects[kind].get(name)
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
        return self._revision

    def _remove(self, kind: str, name: str) -> None:
        found = self._objects[kind].pop(name, None)
        if found is None:
            return
        self._revision += 1
        self._changes.append((self._revision, kind, found, True))
        self._changed.notify_all()
