"""Stand-in for a model engine: streaming, resuming, cancelling, load and orders."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from http import HTTPStatus

from standins import batch as batch_module, slots as slots_module, web

MAX_TOKENS_DEFAULT = 64
THREADS = 96
"""Concurrent calls: running and queued generations as well as status requests."""


class Engine(web.StandIn):
    """A model engine that admits requests in order of arrival, without priorities.

    A run continues when its connection breaks, so that its stream can be resumed.

    Parameters
    ----------
    model : str
        The model that it serves; if empty, it serves any model.
    answer_tokens : float
        Median length of answers in tokens; 0 uses the ``max_tokens`` of each request.
    cache_blocks : int
        Size of the prefix cache, in blocks.
    checks_fence : bool
        Whether an order with an outdated fencing token is rejected.
    load_seconds : float
        Time that loading a model takes, in seconds.
    """

    def __init__(
        self,
        *,
        port: int = 0,
        host: str = "127.0.0.1",
        model: str = "",
        slots: int = 8,
        token_seconds: float = 0.01,
        prefill_seconds: float = 0.0002,
        answer_tokens: float = 0,
        cache_blocks: int = 256,
        checks_fence: bool = False,
        load_seconds: float = 0.0,
        load_lag_seconds: float = 0.0,
    ) -> None:
        super().__init__(port=port, host=host, threads=THREADS)
        self.answer_tokens = answer_tokens
        self.checks_fence = checks_fence
        self.load_seconds = load_seconds
        self.silent = False
        self.leaving = False
        self.cut_after_tokens = 0
        self.orders: list[dict] = []
        self._state = {"model": model, "adapters": [], "version": "", "role": ""}
        self._fence = 0
        self._loading_until = 0.0
        self._lock = threading.Lock()
        self._load = slots_module.LoadReport(load_lag_seconds)
        self._last_token_count = (time.monotonic(), 0)
        self.batch = batch_module.Batch(
            slots=slots,
            cache_blocks=cache_blocks,
            timings=batch_module.Timings(token_seconds, prefill_seconds),
            on_change=self._record_load,
        )
        self._record_load()

    def start(self) -> None:
        """Start serving and generating."""
        self.batch.start()
        super().start()

    def stop(self) -> None:
        """Stop generating and serving."""
        self.stopping.set()
        self.batch.stop()
        super().stop()

    def control(
        self,
        *,
        token_seconds: float | None = None,
        load_lag_seconds: float | None = None,
        gap_every: int | None = None,
        cache_lag_seconds: float | None = None,
        silence_open: bool = False,
        **fields: object,
    ) -> None:
        """Change the behaviour; takes the same fields as ``POST /_control``."""
        if token_seconds is not None:
            self.batch.timings.token_seconds = token_seconds
        if load_lag_seconds is not None:
            self._load.lag_seconds = load_lag_seconds
        if gap_every is not None:
            self.batch.cache.gap_every = gap_every
        if cache_lag_seconds is not None:
            self.batch.cache.lag_seconds = cache_lag_seconds
        if silence_open:
            self.silence_open_connections()
        for name in ("silent", "leaving", "cut_after_tokens", "answer_tokens"):
            setattr(self, name, fields.pop(name, getattr(self, name)))
        if fields:
            raise ValueError(f"unknown fields: {', '.join(sorted(fields))}")
        self._record_load()

    def read_journal(self) -> dict:
        """Return all runs, and all orders that were accepted."""
        runs = [
            {
                "request": run.request,
                "started": run.started,
                "tokens": run.done_tokens,
                "state": run.state.value,
            }
            for run in list(self.batch.runs)
        ]
        return {"runs": runs, "orders": list(self.orders)}

    def handle(self, request: web.Request) -> web.Response:
        """Handle one request."""
        match request.method, request.path:
            case "POST", "/_control":
                self.control(**request.read_json())
                return web.Response(HTTPStatus.NO_CONTENT)
            case "GET", "/_journal":
                return web.make_json_response(self.read_journal())
            case "GET", "/load":
                return web.make_json_response(self._load.read())
            case "GET", "/cache-events":
                after = int(request.query.get("after", "0"))
                return web.make_json_response(self.batch.cache.list_events(after))
            case "GET", "/state":
                return web.make_json_response(self._read_state())
            case "POST", "/orders":
                return self._apply_order(request.read_json())
            case "POST", "/generate":
                return self._generate(request)
            case "GET" | "DELETE", path if path.startswith("/generate/"):
                return self._handle_run(request, path.removeprefix("/generate/"))
        return web.make_json_response({"error": "no such path"}, HTTPStatus.NOT_FOUND)

    def _generate(self, request: web.Request) -> web.Response:
        if self.leaving:
            return web.make_json_response(
                {"error": "leaving"}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        body = request.read_json()
        model = self._read_state()["model"]
        if model and body["model"] != model:
            return web.make_json_response(
                {"error": "model not loaded"}, HTTPStatus.CONFLICT
            )
        limit = int(body.get("max_tokens") or MAX_TOKENS_DEFAULT)
        length = limit
        if self.answer_tokens:
            length = batch_module.sample_length(
                body["messages"], self.answer_tokens, limit
            )
        run = self.batch.add(body["request"], body["messages"], length)
        self._record_load()
        return self._stream(request, run, 0, limit)

    def _handle_run(self, request: web.Request, name: str) -> web.Response:
        run = self.batch.find(name)
        if run is None:
            return web.make_json_response(
                {"error": "unknown request"}, HTTPStatus.NOT_FOUND
            )
        if request.method == "DELETE":
            self.batch.cancel(run)
            return web.Response(HTTPStatus.NO_CONTENT)
        return self._stream(request, run, int(request.query.get("offset", "0")))

    def _stream(
        self, request: web.Request, run: batch_module.Run, offset: int, limit: int = 0
    ) -> web.Response:
        lines = self._render_lines(request, run, offset, limit)
        headers = {"Content-Type": "application/x-ndjson"}
        return web.Response(HTTPStatus.OK, lines, headers)

    def _render_lines(
        self, request: web.Request, run: batch_module.Run, offset: int, limit: int
    ) -> Iterator[bytes]:
        sent = 0
        for start, tokens in self.batch.read(run, offset):
            if self.silent:
                self.keep_silent(request)
            cut = self.cut_after_tokens
            if cut and sent + len(tokens) >= cut:
                self.cut_after_tokens = 0
                yield _render(run, start, {"tokens": tokens[: cut - sent]})
                raise web.DropConnection
            yield _render(run, start, {"tokens": tokens})
            sent += len(tokens)
        if self.silent:
            self.keep_silent(request)
        if run.state is not batch_module.RunState.DONE:
            raise web.DropConnection
        yield _render(
            run,
            run.length,
            {
                "done": True,
                "prompt_tokens": len(run.prompt),
                "cached_tokens": run.cached_tokens,
                "finish_reason": "length" if run.length == limit else "stop",
            },
        )

    def _apply_order(self, order: dict) -> web.Response:
        with self._lock:
            fence = int(order["fence"])
            if self.checks_fence and fence < self._fence:
                return web.make_json_response(
                    {"error": "old fence", "fence": self._fence}, HTTPStatus.CONFLICT
                )
            self._fence = max(self._fence, fence) if self.checks_fence else fence
            self.orders.append(order | {"received": time.time()})
            changes = {name: order[name] for name in self._state if name in order}
            self._state |= changes
            if order["kind"] == "load":
                self._loading_until = time.monotonic() + self.load_seconds
        return web.make_json_response({}, HTTPStatus.ACCEPTED)

    def _read_state(self) -> dict:
        with self._lock:
            loading = time.monotonic() < self._loading_until
            return self._state | {"fence": self._fence, "loading": loading}

    def _record_load(self) -> None:
        sampled_at, previous = self._last_token_count
        now, total = time.monotonic(), self.batch.tokens_total
        self._last_token_count = (now, total)
        self._load.record(
            slots=self.batch.slots,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            tokens_per_second=round(
                (total - previous) / max(now - sampled_at, 1e-3), 1
            ),
            leaving=self.leaving,
        )


def _render(run: batch_module.Run, offset: int, fields: dict) -> bytes:
    line = {"request": run.request, "offset": offset} | fields
    return json.dumps(line).encode() + b"\n"
