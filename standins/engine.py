"""Stand-in for a model engine: streams, resume, cancel, cache events, load, orders."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from http import HTTPStatus

from standins import batch as batch_module, slots as slots_module, web

MAX_TOKENS_DEFAULT = 64
THREADS = 96
"""Calls at once: running and queued generations, and reports beside them."""


class Engine(web.StandIn):
    """A model engine that admits requests as they arrive and knows no priorities.

    A run goes on when its connection breaks, so that its stream can be resumed.

    Parameters
    ----------
    model : str
        The model it serves; empty serves any.
    answer_tokens : float
        Median length of answers; 0 makes each as long as its ``max_tokens``.
    cache_blocks : int
        Size of the prefix cache, in blocks.
    checks_fence : bool
        Whether an order with an old fencing number is refused.
    load_seconds : float
        Time that an order to load takes, in seconds.
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
        self._last_count = (time.monotonic(), 0)
        self.batch = batch_module.Batch(
            slots=slots,
            cache_blocks=cache_blocks,
            speeds=batch_module.Speeds(token_seconds, prefill_seconds),
            changed=self._note_load,
        )
        self._note_load()

    def start(self) -> None:
        """Serve and generate."""
        self.batch.start()
        super().start()

    def stop(self) -> None:
        """End generation and serving."""
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
        """Change the behaviour; the same fields as ``POST /_control``."""
        if token_seconds is not None:
            self.batch.speeds.token_seconds = token_seconds
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
        self._note_load()

    def show_journal(self) -> dict:
        """Return each run, and each order that was carried out."""
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
        """Answer one call."""
        match request.method, request.path:
            case "POST", "/_control":
                self.control(**request.read_json())
                return web.Response(HTTPStatus.NO_CONTENT)
            case "GET", "/_journal":
                return web.answer_json(self.show_journal())
            case "GET", "/load":
                return web.answer_json(self._load.show())
            case "GET", "/cache-events":
                after = int(request.query.get("after", "0"))
                return web.answer_json(self.batch.cache.show_events(after))
            case "GET", "/state":
                return web.answer_json(self._show_state())
            case "POST", "/orders":
                return self._take_order(request.read_json())
            case "POST", "/generate":
                return self._generate(request)
            case "GET" | "DELETE", path if path.startswith("/generate/"):
                return self._handle_run(request, path.removeprefix("/generate/"))
        return web.answer_json({"error": "no such path"}, HTTPStatus.NOT_FOUND)

    def _generate(self, request: web.Request) -> web.Response:
        if self.leaving:
            return web.answer_json({"error": "leaving"}, HTTPStatus.SERVICE_UNAVAILABLE)
        asked = request.read_json()
        model = self._show_state()["model"]
        if model and asked["model"] != model:
            return web.answer_json({"error": "model not loaded"}, HTTPStatus.CONFLICT)
        longest = int(asked.get("max_tokens") or MAX_TOKENS_DEFAULT)
        length = longest
        if self.answer_tokens:
            length = batch_module.draw_length(
                asked["messages"], self.answer_tokens, longest
            )
        run = self.batch.add(asked["request"], asked["messages"], length)
        self._note_load()
        return self._stream(request, run, 0, longest)

    def _handle_run(self, request: web.Request, name: str) -> web.Response:
        run = self.batch.find(name)
        if run is None:
            return web.answer_json({"error": "unknown request"}, HTTPStatus.NOT_FOUND)
        if request.method == "DELETE":
            self.batch.cancel(run)
            return web.Response(HTTPStatus.NO_CONTENT)
        return self._stream(request, run, int(request.query.get("offset", "0")))

    def _stream(
        self, request: web.Request, run: batch_module.Run, offset: int, longest: int = 0
    ) -> web.Response:
        lines = self._render_lines(request, run, offset, longest)
        headers = {"Content-Type": "application/x-ndjson"}
        return web.Response(HTTPStatus.OK, lines, headers)

    def _render_lines(
        self, request: web.Request, run: batch_module.Run, offset: int, longest: int
    ) -> Iterator[bytes]:
        sent = 0
        for start, tokens in self.batch.read(run, offset):
            if self.silent:
                self.keep_silent(request)
            cut = self.cut_after_tokens
            if cut and sent + len(tokens) >= cut:
                self.cut_after_tokens = 0
                yield _render(run, start, {"tokens": tokens[: cut - sent]})
                raise web.CutError
            yield _render(run, start, {"tokens": tokens})
            sent += len(tokens)
        if self.silent:
            self.keep_silent(request)
        if run.state is not batch_module.RunState.DONE:
            raise web.CutError
        yield _render(
            run,
            run.length,
            {
                "done": True,
                "prompt_tokens": len(run.prompt),
                "cached_tokens": run.cached_tokens,
                "finish_reason": "length" if run.length == longest else "stop",
            },
        )

    def _take_order(self, order: dict) -> web.Response:
        with self._lock:
            fence = int(order["fence"])
            if self.checks_fence and fence < self._fence:
                return web.answer_json(
                    {"error": "old fence", "fence": self._fence}, HTTPStatus.CONFLICT
                )
            self._fence = max(self._fence, fence) if self.checks_fence else fence
            self.orders.append(order | {"received": time.time()})
            changes = {name: order[name] for name in self._state if name in order}
            self._state |= changes
            if order["kind"] == "load":
                self._loading_until = time.monotonic() + self.load_seconds
        return web.answer_json({}, HTTPStatus.ACCEPTED)

    def _show_state(self) -> dict:
        with self._lock:
            loading = time.monotonic() < self._loading_until
            return self._state | {"fence": self._fence, "loading": loading}

    def _note_load(self) -> None:
        then, before = self._last_count
        now, total = time.monotonic(), self.batch.tokens_total
        self._last_count = (now, total)
        self._load.note(
            slots=self.batch.slots,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            tokens_per_second=round((total - before) / max(now - then, 1e-3), 1),
            leaving=self.leaving,
        )


def _render(run: batch_module.Run, offset: int, fields: dict) -> bytes:
    line = {"request": run.request, "offset": offset} | fields
    return json.dumps(line).encode() + b"\n"
