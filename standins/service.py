"""Stand-in for a plain service, with a journal of all executed calls."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Iterator
from http import HTTPStatus

from standins import slots as slots_module, web


@dataclasses.dataclass(slots=True)
class Faults:
    """Behaviour and faults that are set for the stand-in.

    Attributes
    ----------
    work_seconds : float
        Time that each call takes, in seconds.
    cut : str or None
        Drop the connection ``"before"`` a call is executed, ``"after"`` it, or in the
        ``"middle"`` of its answer.
    cut_count : int
        Number of calls whose connections are dropped.
    silent : bool
        Execute calls and never answer them.
    leaving : bool
        Refuse calls with 503 without executing them.
    """

    work_seconds: float = 0.02
    cut: str | None = None
    cut_count: int = 0
    silent: bool = False
    leaving: bool = False


class Service(web.StandIn):
    """Echoes calls after ``work_seconds``, at most ``slots`` of them concurrently.

    Attributes
    ----------
    journal : list of dict
        Each executed call, with the id of its request.
    """

    def __init__(
        self,
        *,
        port: int = 0,
        host: str = "127.0.0.1",
        slots: int = 8,
        work_seconds: float = Faults.work_seconds,
        load_lag_seconds: float = 0.0,
    ) -> None:
        super().__init__(port=port, host=host)
        self.faults = Faults(work_seconds=work_seconds)
        self.journal: list[dict] = []
        self._slots = slots_module.Slots(slots)
        self._load = slots_module.LoadReport(load_lag_seconds)
        self._lock = threading.Lock()
        self._record_load()

    def control(self, **faults: object) -> None:
        """Change the behaviour; takes the same fields as ``POST /_control``."""
        if faults.pop("silence_open", False):
            self.silence_open_connections()
        self._load.lag_seconds = faults.pop("load_lag_seconds", self._load.lag_seconds)
        with self._lock:
            self.faults = dataclasses.replace(self.faults, **faults)
        self._record_load()

    def handle(self, request: web.Request) -> web.Response:
        """Handle one request."""
        if request.path == "/_control":
            self.control(**request.read_json())
            return web.Response(HTTPStatus.NO_CONTENT)
        if request.path == "/_journal":
            return web.make_json_response({"calls": self.journal})
        if request.path == "/load" and request.method == "GET":
            return web.make_json_response(self._load.read())
        if self.faults.leaving:
            return web.make_json_response(
                {"error": "leaving"}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        cut = self._next_cut()
        if cut == "before":
            raise web.DropConnection
        answer = self._execute(request)
        if self.faults.silent:
            self.keep_silent(request)
        if cut == "after":
            raise web.DropConnection
        if cut == "middle":
            answer.body = _truncate_body(answer.body)
        return answer

    def _execute(self, request: web.Request) -> web.Response:
        with self._slots.acquire():
            self._record_load()
            call = {
                "request": request.headers.get("celeryspan-request-id", ""),
                "method": request.method,
                "path": request.path,
                "started": time.time(),
                "ended": None,
            }
            with self._lock:
                self.journal.append(call)
            self.stopping.wait(self.faults.work_seconds)
            call["ended"] = time.time()
        self._record_load()
        echo = {name: call[name] for name in ("request", "path", "method")}
        return web.make_json_response(
            echo | {"body": request.body.decode(errors="replace")}
        )

    def _next_cut(self) -> str | None:
        with self._lock:
            if self.faults.cut is None or self.faults.cut_count <= 0:
                return None
            self.faults.cut_count -= 1
            return self.faults.cut

    def _record_load(self) -> None:
        self._load.record(
            slots=self._slots.slots,
            running=self._slots.running,
            waiting=self._slots.waiting,
            leaving=self.faults.leaving,
        )


def _truncate_body(body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    raise web.DropConnection
