"""Client of the orders that model engines take."""

from __future__ import annotations

import json

import urllib3

from celeryspan import errors, ids
from celeryspan.decisions import loading

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 3.0
"""Both together are ``leases.ORDER_SECONDS``; after that nothing more is sent."""


class FenceRefused(errors.CeleryspanError):
    """The engine has heard of a newer holder of the duty."""


class OrderClient:
    """Reads the state of model engines and sends them orders."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS)
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)

    def read_state(self, address: ids.Address) -> loading.EngineState:
        """Return what an engine reports of itself.

        Raises
        ------
        errors.CeleryspanError
            If there is no answer or it can't be read.
        """
        answer = self._call("GET", address, "/state", None)
        try:
            found = json.loads(answer.data)
            return loading.EngineState(
                model=str(found["model"]),
                adapters=tuple(str(name) for name in found["adapters"]),
                version=str(found["version"]),
                role=str(found["role"]),
                fence=int(found["fence"]),
                loading=bool(found["loading"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise errors.CeleryspanError(
                f"not a state: {error!r}", step="read state", peer=str(address)
            ) from error

    def send(
        self,
        address: ids.Address,
        kind: loading.OrderKind,
        wanted: loading.DesiredState,
        fence: int,
    ) -> None:
        """Send one order.

        Raises
        ------
        FenceRefused
            If the fencing number is old.
        errors.CeleryspanError
            If there is no answer; the order may have been taken.
        """
        order: dict[str, object] = {"fence": fence, "kind": kind.value}
        if kind is loading.OrderKind.LOAD:
            order["model"] = wanted.model
            order["adapters"] = list(wanted.adapters)
            order["version"] = wanted.version
        else:
            order["role"] = wanted.role
        answer = self._call("POST", address, "/orders", json.dumps(order).encode())
        if answer.status == 409:
            raise FenceRefused("fence", step="order", peer=str(address))
        if answer.status != 202:
            raise errors.CeleryspanError(
                f"status {answer.status}", step="order", peer=str(address)
            )

    def _call(
        self, method: str, address: ids.Address, path: str, body: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(method, f"http://{address}{path}", body=body)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.CeleryspanError(
                f"no answer: {error}", step="order", peer=str(address)
            ) from error
