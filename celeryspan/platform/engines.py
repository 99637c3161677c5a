"""Client for the control calls of model engines, such as moves of running requests."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping

import msgspec
import urllib3

from celeryspan import catalog, errors, httpconnections, ids, untrusted
from celeryspan.platform import announcements, names
from celeryspan.wire import messages

CONNECT_TIMEOUT_SECONDS = 0.4

LIST_TIMEOUT_SECONDS = 1.0
"""A later list of kept parts is of little use: prompts have shown the same by then."""

LIST_BYTES_MAX = 4_194_304
"""Largest list of kept parts, of some forty bytes each."""

ANSWER_BYTES_MAX = 65_536
"""Largest body of the other answers, which hold a few fields."""

ENGINES_MAX = 32
"""Engines to which connections are kept open."""

CONNECTIONS_PER_ENGINE = 2

NO_HEADERS: Mapping[str, str] = {}

NOT_MOVABLE_STATUSES = (404, 409)
"""The run has ended, or another call is already moving it."""


class RunCopy(msgspec.Struct, frozen=True):
    """The state of a stopped run, from which another engine can resume it.

    Attributes
    ----------
    handle : str
        Single-use identifier at the source engine.
    is_at_target : bool
        Whether the target engine has the copy as well.
    """

    handle: str
    is_at_target: bool


AnswerObserver = Callable[[catalog.ServerEntry, int, announcements.GetHeader], None]


class EngineClient:
    """Calls engines; never retries.

    Parameters
    ----------
    observe : callable
        Called with the engine's entry, the status and a function that returns the value
        of a header, for each answer.
    """

    def __init__(self, observe: AnswerObserver) -> None:
        self._observe = observe
        self._pool = httpconnections.make_pool(
            ENGINES_MAX, maxsize=CONNECTIONS_PER_ENGINE, retries=False, block=False
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def move(
        self,
        source: catalog.ServerEntry,
        request: ids.RequestId,
        target: ids.Address,
        seconds: float,
    ) -> RunCopy | None:
        """Stop a run and copy it to another engine; None if it keeps running.

        Raises
        ------
        errors.OutcomeUnknown
            If no response arrives; the run may have been stopped.
        """
        fields = {"id": request, "to": str(target), "last": True}
        try:
            status, body = self._call(
                source,
                "POST",
                names.KV_MOVE,
                body=json.dumps(fields).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=seconds),
            )
            handle = _parse_handle(body)
        except (urllib3.exceptions.HTTPError, OSError, errors.InputError) as error:
            raise errors.OutcomeUnknown(
                f"no response to the move of a run: {error!r}",
                code="move-lost",
                status=502,
                step="move",
                peer=source.server,
            ) from error
        if status in NOT_MOVABLE_STATUSES or not handle:
            return None
        return RunCopy(handle, is_at_target=status == 200)

    def list_kept_parts(
        self, entry: catalog.ServerEntry
    ) -> tuple[messages.PromptPart, ...]:
        """Return the prompt parts in the cache of an engine.

        Raises
        ------
        errors.NotRun
            If no valid response arrives.
        """
        try:
            status, body = self._call(
                entry,
                "GET",
                names.KV_LIST,
                LIST_BYTES_MAX,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=LIST_TIMEOUT_SECONDS
                ),
            )
            if status != 200:
                raise ValueError(f"status {status}")
            return _parse_kept_parts(body)
        except (
            urllib3.exceptions.HTTPError,
            errors.InputError,
            OSError,
            ValueError,
        ) as error:
            raise errors.NotRun(
                f"cannot list kept parts: {error!r}",
                code="list-failed",
                step="list kept parts",
                peer=entry.server,
            ) from error

    def release_copy(self, source: catalog.ServerEntry, handle: str) -> None:
        """Release a copy that will not be resumed, at both engines."""
        try:
            self._call(source, "DELETE", f"{names.KV_HANDLE}/{handle}", timeout=1.0)
        except (urllib3.exceptions.HTTPError, OSError):
            pass  # The engines expire the copy after some seconds.

    def _call(
        self,
        entry: catalog.ServerEntry,
        method: str,
        path: str,
        size_max: int = ANSWER_BYTES_MAX,
        *,
        headers: Mapping[str, str] = NO_HEADERS,
        **options: object,
    ) -> tuple[int, bytes]:
        """Return the status and the body of an answer of at most ``size_max`` bytes."""
        response = self._pool.request(
            method,
            f"http://{entry.address}{path}",
            headers={**headers, names.EXPECTED_SERVER: entry.server},
            preload_content=False,
            decode_content=False,
            **options,
        )
        body = httpconnections.read_body(response, size_max)
        self._observe(entry, response.status, response.headers.get)
        return response.status, body


def _parse_handle(data: bytes) -> str:
    """Return the identifier of a copy; empty if the answer states none."""
    fields = untrusted.parse_json(data) if data else {}
    handle = fields.get("kv_handle") if isinstance(fields, dict) else None
    if not handle:
        return ""
    with untrusted.decode("answer to the move of a run"):
        return untrusted.parse_text(str(handle), "kv_handle")


def _parse_kept_parts(data: bytes) -> tuple[messages.PromptPart, ...]:
    with untrusted.decode("list of kept parts"):
        # Each item is an empty string, the part, its token count and a model.
        items = untrusted.parse_json(data)["held"]
        return tuple(
            messages.PromptPart(
                untrusted.parse_text(item[1], "part"),
                untrusted.parse_count(item[2], "tokens"),
            )
            for item in items
        )


def format_copy(source: ids.Address, copy: RunCopy) -> str:
    """Return the header value that makes a request resume from a copy."""
    return f"{source}/{copy.handle}"
