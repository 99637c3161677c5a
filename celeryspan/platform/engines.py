"""Calls of model engines beside the requests themselves: moves of running requests."""

from __future__ import annotations

import json

import msgspec
import urllib3

from celeryspan import errors, ids
from celeryspan.platform import names
from celeryspan.wire import messages

CONNECT_SECONDS = 0.4

LIST_SECONDS = 1.0
"""Wait for a list of kept parts: later it is of little use, since prompts have told."""

POOLS = 32
POOL_CONNECTIONS = 2
"""Engines to which connections are kept, and how many to each."""

NO_SUCH_RUN = (404, 409)
"""The run has ended, or another call moves it already."""


class Copy(msgspec.Struct, frozen=True):
    """A run that was stopped, with all that it has read.

    Attributes
    ----------
    handle : str
        Names it at the engine where it was; good for one use.
    is_at_target : bool
        Whether the other engine has it as well.
    """

    handle: str
    is_at_target: bool


class EngineClient:
    """Calls engines; no call is repeated."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            POOLS, maxsize=POOL_CONNECTIONS, retries=False, block=False
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def move(
        self,
        source: ids.Address,
        server: ids.ServerId,
        request: ids.RequestId,
        target: ids.Address,
        seconds: float,
    ) -> Copy | None:
        """Stop a run and copy it to another engine; None if it runs on.

        Raises
        ------
        errors.OutcomeUnknown
            If there is no answer: the run may have been stopped.
        """
        body = {"id": request, "to": str(target), "last": True}
        try:
            answer = self._pool.request(
                "POST",
                f"http://{source}{names.MOVE}",
                body=json.dumps(body).encode(),
                headers={
                    "Content-Type": "application/json",
                    names.EXPECTED_SERVER: server,
                },
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds),
            )
            found = json.loads(answer.data) if answer.data else {}
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.OutcomeUnknown(
                f"no answer to a move: {error!r}",
                code="move-lost",
                status=502,
                step="move",
                peer=server,
            ) from error
        handle = found.get("kv_handle") if isinstance(found, dict) else None
        if answer.status in NO_SUCH_RUN or not handle:
            return None
        return Copy(str(handle), is_at_target=answer.status == 200)

    def list_kept(
        self, address: ids.Address, server: ids.ServerId
    ) -> tuple[messages.PromptPart, ...]:
        """Return the parts of prompts that an engine keeps.

        Raises
        ------
        errors.NotRun
            If there is no answer that can be read.
        """
        try:
            answer = self._pool.request(
                "GET",
                f"http://{address}{names.KEPT}",
                headers={names.EXPECTED_SERVER: server},
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=LIST_SECONDS),
            )
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            # Each item holds an empty text, a part, its tokens and a model.
            held = json.loads(answer.data)["held"]
            return tuple(messages.PromptPart(str(i[1]), int(i[2])) for i in held)
        except (
            urllib3.exceptions.HTTPError,
            ArithmeticError,
            LookupError,
            OSError,
            TypeError,
            ValueError,
        ) as error:
            raise errors.NotRun(
                f"no list of kept parts: {error!r}",
                code="list-failed",
                step="list kept parts",
                peer=server,
            ) from error

    def free(self, source: ids.Address, handle: str) -> None:
        """Let both engines forget a copy that nobody goes on with."""
        try:
            self._pool.request(
                "DELETE", f"http://{source}{names.HANDLE}/{handle}", timeout=1.0
            )
        except (urllib3.exceptions.HTTPError, OSError):
            pass  # The engines forget it by themselves after some seconds.


def name_copy(source: ids.Address, copy: Copy) -> str:
    """Return the header value with which a request goes on from a copy."""
    return f"{source}/{copy.handle}"
