"""Client of the platform's object API, with conditional updates and watches."""

from __future__ import annotations

import json
import urllib.parse

import urllib3

from celeryspan import errors, httpconnections

VALUE_BYTES_MAX = 1_048_576
"""Limit of the object API for a value (docs/protocols.md)."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""The API responds in milliseconds; a connection that takes longer is an outage."""

READ_TIMEOUT_SECONDS = 3.0
"""Long enough for a slow store; one that takes longer counts as unavailable."""

CONNECTIONS_MAX = 8
"""Open connections per router; each watch occupies one."""


class StoreClient:
    """Calls the object API; each method is one call, without retries.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    read_timeout : float
        Greatest wait for a response, in seconds.
    """

    def __init__(
        self, address: str, read_timeout: float = READ_TIMEOUT_SECONDS
    ) -> None:
        self.address = address
        self._read_timeout = read_timeout
        self._pool = httpconnections.make_pool(
            maxsize=CONNECTIONS_MAX, retries=False, block=False
        )

    def get(self, key: str) -> tuple[bytes, int]:
        """Return the value of a key and its version.

        Raises
        ------
        errors.NotFound
            If the key does not exist.
        errors.StoreUnavailable
            If no response arrives.
        """
        response = self._call("GET", self._make_path(key), step="read")
        return response.data, self._read_version(response)

    def watch(self, key: str, above: int, seconds: float) -> tuple[bytes, int] | None:
        """Wait until the version of a key exceeds ``above``.

        Returns
        -------
        tuple or None
            Value and version, or None on timeout.
        """
        query = urllib.parse.urlencode({"above": above, "wait": seconds})
        path = f"{self._make_path(key)}?{query}"
        response = self._call("GET", path, step="watch", wait=seconds)
        if response.status == 304:
            return None
        return response.data, self._read_version(response)

    def create(self, key: str, value: bytes) -> int:
        """Create a key and return its version.

        Raises
        ------
        errors.Conflict
            If the key exists; nothing was written.
        errors.StoreUnavailable
            If no response arrives; the write may have taken effect.
        """
        headers = {"If-None-Match": "*"}
        return self._write(key, value, headers, step="create")

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the value at a known version and return the new version.

        Raises
        ------
        errors.Conflict
            If the key has another version; nothing was written.
        errors.StoreUnavailable
            If no response arrives; the write may have taken effect.
        """
        headers = {"If-Match": f'"{version}"'}
        return self._write(key, value, headers, step="update")

    def delete(self, key: str, version: int) -> None:
        """Delete the value at a known version."""
        headers = {"If-Match": f'"{version}"'}
        self._call("DELETE", self._make_path(key), headers=headers, step="delete")

    def list_keys(self, prefix: str) -> dict[str, int]:
        """Return the versions of all keys with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        response = self._call("GET", f"/list?{query}", step="list")
        try:
            entries = json.loads(response.data)["keys"]
            return {str(entry["key"]): int(entry["version"]) for entry in entries}
        except (ValueError, KeyError, TypeError) as error:
            raise self._unavailable(
                "list", f"malformed list of keys: {error!r}"
            ) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.clear()

    def _make_path(self, key: str) -> str:
        return f"/objects/{urllib.parse.quote(key)}"

    def _write(
        self, key: str, value: bytes, headers: dict[str, str], *, step: str
    ) -> int:
        response = self._call(
            "PUT", self._make_path(key), headers=headers, body=value, step=step
        )
        return self._read_version(response)

    def _read_version(self, response: urllib3.BaseHTTPResponse) -> int:
        try:
            return int(response.headers.get("ETag", "").strip('"'))
        except ValueError as error:
            raise self._unavailable(
                "read version", "the ETag header holds no version"
            ) from error

    def _call(
        self,
        method: str,
        path: str,
        *,
        step: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        wait: float = 0.0,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=wait + self._read_timeout
        )
        try:
            response = self._pool.request(
                method,
                f"http://{self.address}{path}",
                headers=headers,
                body=body,
                timeout=timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self._unavailable(step, f"no response: {error}") from error
        self._raise_for_status(response, path, step)
        return response

    def _raise_for_status(
        self, http_response: urllib3.BaseHTTPResponse, path: str, step: str
    ) -> None:
        if http_response.status < 300 or http_response.status == 304:
            return
        message = f"{path} answered {http_response.status}"
        if http_response.status == 404:
            raise errors.NotFound(message, step=step, peer=self.address)
        if http_response.status == 412:
            raise errors.Conflict(message, step=step, peer=self.address)
        if http_response.status >= 500:
            raise self._unavailable(step, message)
        raise errors.StoreError(message, step=step, peer=self.address)

    def _unavailable(self, step: str, message: str) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(message, step=step, peer=self.address)
