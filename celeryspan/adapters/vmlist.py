"""Client for the platform's VM list."""

from __future__ import annotations

import json

import msgspec
import urllib3

from celeryspan import errors, httpconnections, states

TIMEOUT = urllib3.Timeout(connect=1.0, read=3.0)
"""As for the object API, which has the same address."""


class ListedVM(msgspec.Struct, frozen=True):
    """A VM in the platform's list."""

    name: str
    address: str
    state: states.ServerState


class VMListClient:
    """Reads ``GET /vms``."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpconnections.make_pool(maxsize=1, retries=False)

    def read(self) -> list[ListedVM]:
        """Return the platform's list, which may lag behind the actual state.

        Raises
        ------
        errors.StoreUnavailable
            If no valid list arrives.
        """
        try:
            url = f"http://{self._address}/vms"
            response = self._pool.request("GET", url, timeout=TIMEOUT)
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return [
                ListedVM(vm["name"], vm["address"], states.ServerState(vm["state"]))
                for vm in json.loads(response.data)["vms"]
            ]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            raise errors.StoreUnavailable(
                f"cannot read the VM list: {error}", step="read", peer=self._address
            ) from error
