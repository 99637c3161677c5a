"""Client of the platform's list of VMs."""

from __future__ import annotations

import json

import msgspec
import urllib3

from celeryspan import errors, states

TIMEOUT = urllib3.Timeout(connect=1.0, read=3.0)
"""As for the object API, which stands at the same address."""


class ListedVM(msgspec.Struct, frozen=True):
    """One VM as the platform lists it."""

    name: str
    address: str
    state: states.ServerState


class VMListClient:
    """Reads ``GET /vms``."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self) -> list[ListedVM]:
        """Return the list as the platform has it, late as it may be.

        Raises
        ------
        errors.StoreUnavailable
            If no list came.
        """
        try:
            url = f"http://{self._address}/vms"
            answer = self._pool.request("GET", url, timeout=TIMEOUT)
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            return [
                ListedVM(vm["name"], vm["address"], states.ServerState(vm["state"]))
                for vm in json.loads(answer.data)["vms"]
            ]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            raise errors.StoreUnavailable(
                f"no list of VMs: {error}", step="read", peer=self._address
            ) from error
