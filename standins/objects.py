"""Stand-in for the platform's object store: revisions, watches, pages and faults.

The store may also be restored from a copy: what was written since then is lost, and its
revisions are given out again in the next era.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from http import HTTPStatus

from standins import web

ERA_HEADER = "Store-Era"
PAGE_SIZE = 500
WATCH_SECONDS_MAX = 30.0


@dataclasses.dataclass(slots=True)
class ObjectFaults:
    """Faults that are set for the stand-in.

    Attributes
    ----------
    refuse_status : int
        Status with which all calls are refused; 0 refuses none.
    lose_answers : int
        Number of writes that take effect and are not answered.
    silent : bool
        Do not answer any call.
    """

    refuse_status: int = 0
    lose_answers: int = 0
    silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """The contents of a store at one revision."""

    revision: int
    objects: dict[str, dict[str, dict]]
    changes: list[tuple[int, str, dict, bool]]


class ObjectStore(web.StandIn):
    """Holds objects by kind and name in memory.

    Attributes
    ----------
    calls : Counter
        Number of calls by method; watches count as ``WATCH``.
    calls_by_kind : Counter
        Number of calls by method and object kind.
    era : int or None
        Number of times that the store was restored, stated in all answers; None if
        this store states none.
    page_size : int
        Maximum number of objects in one response to a list call.
    raw_texts : dict
        Texts that replace strings in answers, with their quotes: what another writer
        may have stored and ``json`` does not write.
    """

    def __init__(
        self, *, port: int = 0, host: str = "127.0.0.1", threads: int = 64
    ) -> None:
        super().__init__(port=port, host=host, threads=threads)
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.era: int | None = 1
        self.faults = ObjectFaults()
        self.page_size = PAGE_SIZE
        self.raw_texts: dict[str, str] = {}
        self._revision = 1
        self._objects: dict[str, dict[str, dict]] = collections.defaultdict(dict)
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._compacted_revision = 0
        self._restorations = 0
        self._changed = threading.Condition()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as an operator or a server does; returns its revision."""
        with self._changed:
            return self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            self._remove(kind, name)

    def compact(self) -> None:
        """Discard the history; watches from older revisions are answered with 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._changes.clear()
            self._changed.notify_all()

    def copy(self) -> Copy:
        """Return a copy of the present contents."""
        with self._changed:
            objects = {kind: dict(named) for kind, named in self._objects.items()}
            return Copy(self._revision, objects, list(self._changes))

    def restore(self, copy: Copy) -> None:
        """Replace the contents by an earlier copy and begin the next era."""
        with self._changed:
            self._revision = copy.revision
            self._objects.clear()
            for kind, named in copy.objects.items():
                self._objects[kind] = dict(named)
            self._changes = list(copy.changes)
            self._compacted_revision = min(self._compacted_revision, copy.revision)
            if self.era is not None:
                self.era += 1
            self._restorations += 1
            self._changed.notify_all()

    def find(self, kind: str, name: str) -> dict | None:
        """Return an object, or None if it does not exist."""
        return self._objects[kind].get(name)

    def handle(self, request: web.Request) -> web.Response:
        """Handle one request of the object API."""
        answer = self._handle(request)
        for text, raw in self.raw_texts.items():
            answer.body = answer.body.replace(f'"{text}"'.encode(), raw.encode())
        if self.era is not None:
            answer.headers[ERA_HEADER] = str(self.era)
        return answer

    def _handle(self, request: web.Request) -> web.Response:
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
                stored = self._objects[kind].get(name)
                if stored is None:
                    return web.make_json_response({}, HTTPStatus.NOT_FOUND)
                return web.make_json_response(stored)
            names = sorted(
                key for key in self._objects[kind] if key > query.get("after", "")
            )
            entries = [self._objects[kind][key] for key in names[: self.page_size]]
            has_more = len(names) > self.page_size
            return web.make_json_response(
                {"entries": entries, "has_more": has_more, "at": self._revision}
            )

    def _watch(self, kind: str, at: int, query: dict[str, str]) -> web.Response:
        wait = min(int(query.get("wait_ms", 0)) / 1000, WATCH_SECONDS_MAX)
        deadline = time.monotonic() + wait
        with self._changed:
            restorations = self._restorations
            while True:
                if restorations != self._restorations:
                    raise web.DropConnection
                if not self._compacted_revision <= at <= self._revision:
                    return web.make_json_response({}, HTTPStatus.GONE)
                events = [
                    {"object": item, "deleted": deleted}
                    for revision, changed_kind, item, deleted in self._changes
                    if revision > at and changed_kind == kind
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0 or self.stopping.is_set():
                    return web.make_json_response(
                        {"events": events, "at": self._revision}
                    )
                self._changed.wait(min(remaining, 0.1))

    def _handle_write(self, kind: str, name: str, request: web.Request) -> web.Response:
        body = request.read_json()
        if request.method == "POST":
            return self._create(kind, body)
        name = name.removesuffix("/status")
        stored = self._objects[kind].get(name)
        if stored is None:
            return web.make_json_response({}, HTTPStatus.NOT_FOUND)
        expected = request.query.get(
            "revision", body.get("metadata", {}).get("revision")
        )
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return web.make_json_response(stored, HTTPStatus.CONFLICT)
        if request.method == "DELETE":
            self._remove(kind, name)
            return web.make_json_response({})
        if request.path.endswith("/status"):
            self._write(kind, name, stored["spec"], body.get("status"))
        else:
            self._write(kind, name, body.get("spec"), stored["status"])
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
        previous = self._objects[kind].get(name)
        created = previous["metadata"]["created"] if previous else self._revision
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
        if stored is None:
            return
        self._revision += 1
        self._changes.append((self._revision, kind, stored, True))
        self._changed.notify_all()
