"""Client for the state and the orders of model engines."""

from __future__ import annotations

import json

import urllib3

from celeryspan import errors, httpconnections, ids
from celeryspan.adapters import backend
from celeryspan.decisions import loading

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 3.0
"""Both add up to ``leases.ORDER_SECONDS``, after which nothing more is sent."""


class FenceRefused(errors.CeleryspanError):
    """The engine has seen a higher fencing number, of a newer holder of the duty."""


class OrderClient:
    """Reads the state of model engines and sends them orders."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
        )
        self._pool = httpconnections.make_pool(timeout=timeout, retries=False)

    def read_state(self, address: ids.Address) -> loading.EngineState:
        """Return the state that an engine reports.

        Raises
        ------
        errors.CeleryspanError
            If no valid response arrives.
        """
        _, content = self._call("GET", address, "/state", None)
        try:
            fields = json.loads(content)
            return loading.EngineState(
                model=str(fields["model"]),
                adapters=tuple(str(name) for name in fields["adapters"]),
                version=str(fields["version"]),
                role=str(fields["role"]),
                fence=int(fields["fence"]),
                loading=bool(fields["loading"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise errors.CeleryspanError(
                f"malformed engine state: {error!r}",
                step="read state",
                peer=str(address),
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
            If the engine has seen a higher fencing number.
        errors.CeleryspanError
            If the engine does not accept the order, or no response arrives, in which
            case it may have accepted it.
        """
        order: dict[str, object] = {"fence": fence, "kind": kind.value}
        if kind is loading.OrderKind.LOAD:
            order["model"] = wanted.model
            order["adapters"] = list(wanted.adapters)
            order["version"] = wanted.version
        else:
            order["role"] = wanted.role
        body = json.dumps(order).encode()
        status, _ = self._call("POST", address, "/orders", body)
        if status == 409:
            raise FenceRefused("fence", step="order", peer=str(address))
        if status != 202:
            raise errors.CeleryspanError(
                f"expected status 202, found {status}",
                step="order",
                peer=str(address),
            )

    def _call(
        self, method: str, address: ids.Address, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                preload_content=False,
                decode_content=False,
            )
            content = httpconnections.read_body(response, backend.FIELDS_BYTES_MAX)
            return response.status, content
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.CeleryspanError(
                f"no response: {error}", step="order", peer=str(address)
            ) from error
