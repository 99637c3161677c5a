"""Client of the platform's object API: versions, conditional updates, watches."""

from __future__ import annotations

import json
import urllib.parse

import urllib3

from celeryspan import errors

VALUE_BYTES_MAX = 1_048_576
"""Greatest value that the object API takes, in bytes (docs/protocols.md)."""

CONNECT_SECONDS = 1.0
"""The API answers in milliseconds; a connection that takes longer is an outage."""

ANSWER_SECONDS = 3.0
"""Greatest wait for an answer: a slow store still serves, a silent one doesn't."""

CONNECTIONS_MAX = 8
"""Connections kept open by one router; watches hold one each."""


class StoreClient:
    """Calls the object API; each method is one call, and none is repeated.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    answer_seconds : float
        Greatest wait for an answer, in seconds.
    """

    def __init__(self, address: str, answer_seconds: float = ANSWER_SECONDS) -> None:
        self.address = address
        self._answer_seconds = answer_seconds
        self._pool = urllib3.PoolManager(
            maxsize=CONNECTIONS_MAX, retries=False, block=False
        )

    def get(self, key: str) -> tuple[bytes, int]:
        """Return the value of a key and its version.

        Raises
        ------
        errors.NotFound
            If there is no such key.
        errors.StoreUnavailable
            If no answer came.
        """
        answer = self._call("GET", self._path(key), step="read")
        return answer.data, self._version(answer)

    def watch(self, key: str, above: int, seconds: float) -> tuple[bytes, int] | None:
        """Wait until the version of a key is above a number.

        Returns
        -------
        tuple or None
            Value and version, or None when the time is over.
        """
        query = urllib.parse.urlencode({"above": above, "wait": seconds})
        path = f"{self._path(key)}?{query}"
        answer = self._call("GET", path, step="watch", wait=seconds)
        if answer.status == 304:
            return None
        return answer.data, self._version(answer)

    def create(self, key: str, value: bytes) -> int:
        """Write a key that does not exist yet and return its version.

        Raises
        ------
        errors.Conflict
            If it exists; nothing was written.
        errors.StoreUnavailable
            If no answer came; the write may have taken effect.
        """
        headers = {"If-None-Match": "*"}
        return self._write(key, value, headers, step="create")

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the value that stands at a version and return the new version.

        Raises
        ------
        errors.Conflict
            If another version stands there; nothing was written.
        errors.StoreUnavailable
            If no answer came; the write may have taken effect.
        """
        headers = {"If-Match": f'"{version}"'}
        return self._write(key, value, headers, step="update")

    def delete(self, key: str, version: int) -> None:
        """Delete the value that stands at a version."""
        headers = {"If-Match": f'"{version}"'}
        self._call("DELETE", self._path(key), headers=headers, step="delete")

    def list_keys(self, prefix: str) -> dict[str, int]:
        """Return the versions of all keys that begin with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        answer = self._call("GET", f"/list?{query}", step="list")
        try:
            entries = json.loads(answer.data)["keys"]
            return {str(entry["key"]): int(entry["version"]) for entry in entries}
        except (ValueError, KeyError, TypeError) as error:
            raise self._unavailable("list", f"not a list of keys: {error!r}") from error

    def close(self) -> None:
        """Close the connections that are not in use."""
        self._pool.clear()

    def _path(self, key: str) -> str:
        return f"/objects/{urllib.parse.quote(key)}"

    def _write(
        self, key: str, value: bytes, headers: dict[str, str], *, step: str
    ) -> int:
        answer = self._call(
            "PUT", self._path(key), headers=headers, body=value, step=step
        )
        return self._version(answer)

    def _version(self, answer: urllib3.BaseHTTPResponse) -> int:
        try:
            return int(answer.headers.get("ETag", "").strip('"'))
        except ValueError as error:
            raise self._unavailable("read version", "no version in ETag") from error

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
            connect=CONNECT_SECONDS, read=wait + self._answer_seconds
        )
        try:
            answer = self._pool.request(
                method,
                f"http://{self.address}{path}",
                headers=headers,
                body=body,
                timeout=timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self._unavailable(step, f"no answer: {error}") from error
        self._check(answer, path, step)
        return answer

    def _check(self, answer: urllib3.BaseHTTPResponse, path: str, step: str) -> None:
        if answer.status < 300 or answer.status == 304:
            return
        message = f"{path} answered {answer.status}"
        if answer.status == 404:
            raise errors.NotFound(message, step=step, peer=self.address)
        if answer.status == 412:
            raise errors.Conflict(message, step=step, peer=self.address)
        if answer.status >= 500:
            raise self._unavailable(step, message)
        raise errors.StoreError(message, step=step, peer=self.address)

    def _unavailable(self, step: str, message: str) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(message, step=step, peer=self.address)
