"""Client of the platform's object API: one call per method, without retries.

Other systems write objects too. A malformed object is logged and left out of the
result, so that it does not hide the valid ones.
"""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
import urllib3

from celeryspan import (
    errors,
    events,
    httpconnections,
    ids,
    storedobjects,
    untrusted,
)
from celeryspan.platform import names

CONNECT_TIMEOUT_SECONDS = 0.5
"""The store accepts in milliseconds; resending a lost first packet takes a second."""

READ_TIMEOUT_SECONDS = 1.5
"""A store a hundred times slower than usual responds in 0.4 s."""

CONNECTIONS_MAX = 8

ERA_DIGITS_MAX = 9
"""Longest era that is accepted; it fits the field of messages between routers."""

REFUSED_STATUSES = (429, 503)
"""The store did not execute the call."""

ENTRY_KINDS = frozenset({names.SERVER_KIND, names.EVACUATION_KIND, names.ROUTER_KIND})
ENTRY_BYTES_MAX = 65_536
"""Contents of an entry above which they are ignored: readers keep the changes of some
minutes and send them to all routers."""


class _Answer(NamedTuple):
    """The fields of a response, and the era that the store states in it."""

    fields: dict
    era: ids.Era


class ObjectClient:
    """Calls the object API.

    All methods raise :class:`errors.StoreRefused` if the store did not execute the
    call, and :class:`errors.StoreUnavailable` if no response arrived: a write may have
    taken effect, or may do so later.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    record_era : callable
        Called with the era that the store states, before an answer is returned.
    """

    def __init__(
        self,
        address: str,
        record_era: Callable[[ids.Era], None] = lambda _: None,
    ) -> None:
        self.address = address
        self._record_era = record_era
        self._era = ids.NO_ERA
        self._pool = httpconnections.make_pool(
            maxsize=CONNECTIONS_MAX, retries=False, block=False
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def list_objects(
        self, kind: str, *, is_stale: bool = False
    ) -> storedobjects.Listing:
        """Return all objects of a kind, fetched page by page.

        Parameters
        ----------
        is_stale : bool
            Accept a result that may be seconds old, at a tenth of the cost.
        """
        objects: list[storedobjects.StoredObject] = []
        # Of the first page: a change behind it, while the others are read, is watched.
        revision: int | None = None
        query: dict[str, object] = {"is_stale": 1} if is_stale else {}
        first_era: ids.Era | None = None
        while True:
            page, era = self._call("GET", kind, "", query=query)
            if first_era is None:
                first_era = era
            if revision is None:
                revision = self._read_revision(page, kind)
            if era != first_era:
                raise errors.StoreUnavailable(
                    "the store was restored between two pages",
                    step=f"GET {kind}",
                    peer=self.address,
                )
            parsed = [
                self._parse_or_log(kind, entry, era)
                for entry in _get_list(page, "entries")
            ]
            readable = [each for each in parsed if each is not None]
            objects += readable
            if not page.get("has_more"):
                return storedobjects.Listing(tuple(objects), revision, era)
            if not readable:
                # The next page is requested by the name of the last object of this one.
                raise errors.StoreUnavailable(
                    "the page has no readable object",
                    step=f"GET {kind}",
                    peer=self.address,
                )
            query = {**query, "after": readable[-1].name}

    def watch(self, kind: str, revision: int, seconds: float) -> storedobjects.Changes:
        """Wait for changes after a revision; empty if none arrive in time.

        Raises
        ------
        errors.HistoryGone
            If the store no longer has the changes; list the objects again.
        """
        query = {"watch": revision, "wait_ms": int(seconds * 1000)}
        response, era = self._call("GET", kind, "", query=query, wait=seconds)
        changes = [
            self._parse_change_or_log(kind, event, era)
            for event in _get_list(response, "events")
        ]
        return storedobjects.Changes(
            tuple(change for change in changes if change is not None),
            self._read_revision(response, kind),
            era,
        )

    def get(self, kind: str, name: str) -> storedobjects.StoredObject:
        """Return one object; raises errors.NotFound."""
        return self._parse_one(self._call("GET", kind, name), f"GET {kind}")

    def create(self, kind: str, name: str, spec: object) -> storedobjects.StoredObject:
        """Create an object; raises errors.Conflict if it already exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        return self._parse_one(self._call("POST", kind, "", body=body), f"POST {kind}")

    def replace(
        self, kind: str, name: str, spec: object, revision: int
    ) -> storedobjects.StoredObject:
        """Replace an object at a known revision; raises errors.Conflict."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return self._parse_one(self._call("PUT", kind, name, body=body), f"PUT {kind}")

    def replace_status(
        self, kind: str, name: str, status: object, revision: int
    ) -> storedobjects.StoredObject:
        """Replace the status at a known revision; raises errors.Conflict."""
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        response = self._call("PUT", kind, f"{name}/status", body=body)
        return self._parse_one(response, f"PUT {kind}")

    def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object at a known revision; raises errors.Conflict."""
        self._call("DELETE", kind, name, query={"revision": revision})

    def _call(
        self,
        method: str,
        kind: str,
        name: str,
        *,
        query: Mapping[str, object] | None = None,
        body: object = None,
        wait: float = 0.0,
    ) -> _Answer:
        path = f"{names.OBJECTS}/{kind}" + (f"/{name}" if name else "")
        step = f"{method} {kind}"
        address = f"http://{self.address}{path}"
        if query:
            address += "?" + urllib.parse.urlencode(query)
        try:
            response = self._pool.request(
                method,
                address,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=wait + READ_TIMEOUT_SECONDS
                ),
            )
            era = self._read_era(response, step)
            self._record_era(era)
            return _Answer(self._read(response, step), era)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.StoreUnavailable(
                f"no response: {error}", step=step, peer=self.address
            ) from error

    def _read_era(self, response: urllib3.BaseHTTPResponse, step: str) -> ids.Era:
        """Return the era that a response states, or the one stated last."""
        text = response.headers.get(names.ERA)
        if text is None:
            return self._era
        if not (text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS_MAX):
            raise self._malformed(f"expected an era, found {text!r:.40}", step)
        self._era = ids.Era(int(text))
        return self._era

    def _read(self, response: urllib3.BaseHTTPResponse, step: str) -> dict:
        """Return the body of a response, or raise the error for its status."""
        status = response.status
        if status in REFUSED_STATUSES:
            kind, text = errors.StoreRefused, f"refused with status {status}"
        elif status == 404:
            kind, text = errors.NotFound, "the object does not exist"
        elif status == 409:
            kind, text = errors.Conflict, "the object exists or has another revision"
        elif status == 410:
            kind, text = errors.HistoryGone, "the store no longer has these changes"
        elif status >= 300:
            kind, text = errors.StoreUnavailable, f"unexpected status {status}"
        else:
            return self._parse(response.data, step)
        raise kind(text, step=step, peer=self.address)

    def _parse(self, data: bytes, step: str) -> dict:
        """Parse a body; a malformed value affects only the object that contains it."""
        try:
            fields = untrusted.parse_json(data) if data else {}
        except errors.InputError as error:
            raise self._malformed(error.message, step) from error
        if not isinstance(fields, dict):
            raise self._malformed("expected a JSON object", step)
        return fields

    def _malformed(self, reason: str, step: str) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(
            f"malformed response: {reason}", step=step, peer=self.address
        )

    def _read_revision(self, response: Mapping, kind: str) -> int:
        revision = response.get("at")
        if type(revision) is not int:
            raise self._malformed(f"expected a revision, found {revision!r:.40}", kind)
        return revision

    def _parse_one(self, answer: _Answer, step: str) -> storedobjects.StoredObject:
        try:
            return _parse_object(answer.fields, answer.era)
        except errors.InputError as error:
            raise self._malformed(error.message, step) from error

    def _parse_or_log(
        self, kind: str, fields: object, era: ids.Era
    ) -> storedobjects.StoredObject | None:
        try:
            stored = _parse_object(fields, era)
        except errors.InputError as error:
            self._log_ignored(kind, str(error))
            return None
        if kind in ENTRY_KINDS and untrusted.is_larger(stored.spec, ENTRY_BYTES_MAX):
            self._log_ignored(kind, f"{stored.name:.40}: over {ENTRY_BYTES_MAX} bytes")
            # The object still counts as changed: it replaces an earlier one.
            return msgspec.structs.replace(stored, spec=None, status=None)
        return stored

    def _log_ignored(self, kind: str, error: str) -> None:
        events.log(
            events.Event.STORE_OBJECT_IGNORED,
            peer=self.address,
            kind=kind,
            error=error,
        )

    def _parse_change_or_log(
        self, kind: str, event: object, era: ids.Era
    ) -> storedobjects.Change | None:
        if not isinstance(event, Mapping):
            event = {}
        changed = self._parse_or_log(kind, event.get("object"), era)
        if changed is None:
            return None
        return storedobjects.Change(changed, event.get("deleted") is True)


def _get_list(response: Mapping, key: str) -> list:
    listed = response.get(key)
    return listed if isinstance(listed, list) else []


def _parse_object(fields: object, era: ids.Era) -> storedobjects.StoredObject:
    """Return one object; raises errors.InputError."""
    with untrusted.decode("object"):
        meta = fields["metadata"]
        name = meta["name"]
        if not isinstance(name, str):
            raise TypeError("expected a name")
        name.encode()  # Raises ValueError for unpaired surrogates.
        return storedobjects.StoredObject(
            name=name,
            revision=untrusted.parse_unsigned(meta["revision"], "revision"),
            spec=fields.get("spec"),
            status=fields.get("status"),
            is_terminating=bool(meta.get("is_deleting")),
            era=era,
        )
