"""Reads and writes the stored records of software versions."""

from __future__ import annotations

from celeryspan import errors, events, ids, storedobjects
from celeryspan.decisions import versionrecords
from celeryspan.platform import names, objects, streamrecords

Found = tuple[versionrecords.VersionRecord, storedobjects.Position]

UNREADABLE = versionrecords.VersionRecord(
    versionrecords.NO_BASIS, frozenset({versionrecords.UNKNOWN})
)
"""Stands for a record that another system has overwritten; it proves nothing."""


class RecordObjects:
    """The records of all services in the store.

    Parameters
    ----------
    client : ObjectClient
    """

    def __init__(self, client: objects.ObjectClient) -> None:
        self._client = client

    def read(self, service: ids.ServiceId) -> Found | None:
        """Return a record and its position; None if there is none.

        Raises
        ------
        errors.StoreError
            If the store does not answer.
        """
        try:
            stored = self._client.get(names.VERSION_RECORD_KIND, service)
        except errors.NotFound:
            return None
        try:
            return streamrecords.read_record(stored), stored.position
        except errors.InputError as error:
            events.log(
                events.Event.STORE_OBJECT_IGNORED,
                kind=names.VERSION_RECORD_KIND,
                error=str(error),
            )
            return UNREADABLE, stored.position

    def write(
        self,
        service: ids.ServiceId,
        record: versionrecords.VersionRecord,
        replaced: storedobjects.Position | None,
    ) -> storedobjects.Position | None:
        """Write a record; return None if another router was first.

        Parameters
        ----------
        replaced : Position or None
            Position of the record in the store; None if there is none.

        Raises
        ------
        errors.StoreError
            If the store does not answer.
        """
        kind, spec = names.VERSION_RECORD_KIND, streamrecords.write_record(record)
        try:
            if replaced is not None:
                written = self._client.replace(kind, service, spec, replaced.revision)
            else:
                written = self._client.create(kind, service, spec)
        except (errors.Conflict, errors.NotFound):
            return None
        if written.era != record.basis.era:
            return None  # The store was restored meanwhile.
        events.log(
            events.Event.VERSION_RECORD_WRITTEN,
            service=service,
            era=record.basis.era,
            versions=sorted(record.versions),
        )
        return written.position
