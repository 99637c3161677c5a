"""Client for the operator API of routers, used by the command line."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import urllib3

from celeryspan import errors, httpconnections

TIMEOUT_SECONDS = 5.0
"""A router that takes longer to respond is shown as unreachable."""


class AddressAnswer(msgspec.Struct, frozen=True):
    """Addresses that callers should use, nearest first, and how long they are valid."""

    addresses: tuple[str, ...]
    keep_seconds: float


class Member(msgspec.Struct, frozen=True):
    """The state of one router as another one sees it.

    Attributes
    ----------
    address : str
        Address for callers; empty if unknown.
    """

    state: str
    generation: int
    address: str = ""


class Report(msgspec.Struct, frozen=True):
    """The status report of one router.

    Attributes
    ----------
    fields : dict
        The decoded response; see the operator API in docs/protocols.md.
    error : str
        Why there is no response; empty if there is one.
    """

    address: str
    fields: dict[str, Any]
    error: str = ""

    @property
    def router(self) -> str:
        """Name of the router, empty without a response."""
        return str(self.fields.get("router", ""))

    @property
    def data_centre(self) -> str:
        """Data centre of the router, empty without a response."""
        return str(self.fields.get("data_centre", ""))

    @property
    def generation(self) -> int:
        """Generation of the active configuration, 0 for none."""
        return int(self._get("configuration").get("generation", 0))

    @property
    def in_progress(self) -> int:
        """Calls in progress, including the one for this report."""
        return int(self._get("caller").get("in_progress", 0))

    @property
    def draining(self) -> bool:
        """Whether the router is stopping."""
        return bool(self._get("caller").get("draining", False))

    @property
    def members(self) -> dict[str, Member]:
        """State of each known router, by name."""
        return {
            name: Member(
                str(found.get("state", "?")),
                int(found.get("generation", 0)),
                str(found.get("caller_address", "")),
            )
            for name, found in self._get("membership").get("members", {}).items()
        }

    @property
    def homes(self) -> dict[str, str]:
        """Name of the home router of each backend server, as this router sees it."""
        return dict(self._get("assignment").get("homes", {}))

    @property
    def waiting(self) -> dict[str, int]:
        """Number of requests waiting at this router, by ``SERVICE/ACCOUNT``."""
        return dict(self._get("dispatch").get("waiting", {}))

    @property
    def received(self) -> dict[str, float]:
        """Service received across the fleet, as known to this router."""
        return dict(self._get("counters").get("received", {}))

    def _get(self, service: str) -> dict[str, Any]:
        found = self.fields.get("services", {}).get(service)
        return found if isinstance(found, dict) else {}


class RouterClient:
    """Calls the operator API of routers.

    Parameters
    ----------
    key : str
        The operator's key.
    """

    def __init__(self, key: str) -> None:
        self._key = key
        self._pool = httpconnections.make_pool(retries=False, timeout=TIMEOUT_SECONDS)

    def get_addresses(self, address: str) -> AddressAnswer:
        """Return the addresses that a router gives to callers.

        Raises
        ------
        errors.CeleryspanError
            If it does not respond.
        """
        fields = self._call("GET", address, "/v1/addresses")
        return AddressAnswer(tuple(fields["addresses"]), float(fields["keep_seconds"]))

    def get_report(self, address: str) -> Report:
        """Return the status of one router; if it fails, a report of the error."""
        try:
            return Report(address, self._call("GET", address, "/v1/status"))
        except errors.CeleryspanError as error:
            return Report(address, {"error": str(error)}, str(error))

    def get_reports(self, address: str) -> list[Report]:
        """Return the status of a router and of all others that it knows.

        Raises
        ------
        errors.CeleryspanError
            If the first router does not respond.
        """
        first = Report(address, self._call("GET", address, "/v1/status"))
        others = set(self.get_addresses(address).addresses)
        others.update(member.address for member in first.members.values())
        others -= {address, ""}
        return [first, *(self.get_report(other) for other in sorted(others))]

    def drain(self, address: str) -> None:
        """Ask a router to finish its requests and stop.

        Raises
        ------
        errors.CeleryspanError
            If it does not respond, or refuses.
        """
        self._call("POST", address, "/v1/drain")

    def _call(self, method: str, address: str, path: str) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        step = f"{method} {path}"
        try:
            http_response = self._pool.request(
                method, f"http://{address}{path}", headers=headers
            )
            fields = json.loads(http_response.data) if http_response.data else {}
        except urllib3.exceptions.HTTPError as error:
            raise errors.CeleryspanError(
                f"expected a response within {TIMEOUT_SECONDS:.0f} s, found: {error}; "
                "is this a router's address for callers?",
                step=step,
                peer=address,
            ) from error
        except ValueError as error:
            raise errors.CeleryspanError(
                "the response is not JSON; is this a router?",
                step=step,
                peer=address,
            ) from error
        if http_response.status >= 300:
            found = fields.get("error", {}) if isinstance(fields, dict) else {}
            message = found.get("message", "") if isinstance(found, dict) else found
            raise errors.CeleryspanError(
                f"expected success, found {http_response.status}: {message}",
                step=step,
                peer=address,
            )
        return fields
