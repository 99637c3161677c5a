"""Client for the control calls of model engines, such as moves of running requests."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping

import msgspec
import urllib3

from celeryspan import catalog, errors, httpconnections, ids
from celeryspan.platform import announcements, names
from celeryspan.wire import messages

CONNECT_TIMEOUT_SECONDS = 0.4

LIST_TIMEOUT_SECONDS = 1.0
"""A later list of kept parts is of little use: prompts have shown the same by then."""

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
        body = {"id": request, "to": str(target), "last": True}
        try:
            response = self._call(
                source,
                "POST",
                names.KV_MOVE,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=seconds),
            )
            fields = json.loads(response.data) if response.data else {}
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.OutcomeUnknown(
                f"no response to the move of a run: {error!r}",
                code="move-lost",
                status=502,
                step="move",
                peer=source.server,
            ) from error
        handle = fields.get("kv_handle") if isinstance(fields, dict) else None
        if response.status in NOT_MOVABLE_STATUSES or not handle:
            return None
        return RunCopy(str(handle), is_at_target=response.status == 200)

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
            response = self._call(
                entry,
                "GET",
                names.KV_LIST,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=LIST_TIMEOUT_SECONDS
                ),
            )
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            # Each item is an empty string, the part, its token count and a model.
            parts = json.loads(response.data)["held"]
            return tuple(messages.PromptPart(str(i[1]), int(i[2])) for i in parts)
        except (
            urllib3.exceptions.HTTPError,
            ArithmeticError,
            LookupError,
            OSError,
            TypeError,
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
        *,
        headers: Mapping[str, str] = NO_HEADERS,
        **options: object,
    ) -> urllib3.BaseHTTPResponse:
        response = self._pool.request(
            method,
            f"http://{entry.address}{path}",
            headers={**headers, names.EXPECTED_SERVER: entry.server},
            **options,
        )
        self._observe(entry, response.status, response.headers.get)
        return response


def format_copy(source: ids.Address, copy: RunCopy) -> str:
    """Return the header value that makes a request resume from a copy."""
    return f"{source}/{copy.handle}"
