"""Publishes a new generation of the configuration to the object API.

The index object is the only one that is replaced; this is done last, by a conditional
update. Of two operators who publish concurrently, exactly one succeeds and the other
learns who did. A writer that dies between the chunks and the index leaves the current
generation unchanged.
"""

from __future__ import annotations

import secrets
import time
from typing import Protocol

import msgspec

from celeryspan import configuration, documents, errors, ids, register, rules

READ_BACK_ATTEMPTS = 5
"""Reads after a lost answer; the pauses double from 0.2 s to 3.2 s, 6.2 s in total."""

READ_BACK_SECONDS = 0.2

STEP = "apply"


class Client(Protocol):
    """The calls of the object API that publishing needs."""

    address: str

    def get(self, key: str) -> tuple[bytes, int]:
        """Return value and version; raises errors.NotFound."""

    def create(self, key: str, value: bytes) -> int:
        """Write a new key; raises errors.Conflict."""

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the value at a version; raises errors.Conflict."""


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The configuration in the object API.

    Attributes
    ----------
    value : Configuration or None
        None before the first generation.
    version : int
        Version of the index object, 0 before the first generation.
    """

    value: configuration.Configuration | None
    version: int

    @property
    def generation(self) -> int:
        """Number of the generation; 0 if there is none."""
        return self.value.generation if self.value else 0


class NotPublished(errors.Conflict):
    """Another generation was written first; this one will not take effect."""


class PublicationUnknown(errors.StoreUnavailable):
    """No answer; whether the new generation is in force is unknown."""


def read_stored(client: Client) -> StoredConfiguration:
    """Return the configuration in the object API."""
    try:
        value, version = client.get(documents.INDEX_KEY)
    except errors.NotFound:
        return StoredConfiguration(None, 0)
    index = documents.Index.decode(value)
    chunks = {key: client.get(key)[0] for key in index.chunks}
    return StoredConfiguration(documents.unpack(documents.join(index, chunks)), version)


def publish(
    client: Client,
    stored: StoredConfiguration,
    new_register: register.Register,
    new_rules: rules.Rules,
    author: str,
    placements: dict[str, str] | None = None,
) -> configuration.Configuration:
    """Write the generation after the stored one.

    Parameters
    ----------
    placements : dict, optional
        Services of servers moved by the routers; by default the stored ones, except
        for servers whose service the register changes.

    Raises
    ------
    NotPublished
        If another writer was faster; nothing of this generation is in force.
    PublicationUnknown
        If no answer arrived and reading back did not show the outcome.
    """
    if placements is None:
        placements = keep_placements(stored.value, new_register)
    value = configuration.Configuration(
        generation=stored.generation + 1,
        author=author,
        register=new_register,
        rules=new_rules,
        placements=placements,
    )
    chunks = documents.split(documents.pack(value))
    index = documents.Index(
        ids.Generation(value.generation), author, secrets.token_hex(8), tuple(chunks)
    )
    _write_chunks(client, chunks)
    _replace_index(client, index, stored.version)
    return value


def keep_placements(
    old: configuration.Configuration | None, new_register: register.Register
) -> dict[str, str]:
    """Return the placements that remain valid under a new register.

    A placement is dropped if the operator changes the server's service; otherwise an
    old move would silently and permanently override the new register.
    """
    if old is None:
        return {}
    before = {server.name: server.service for server in old.register.servers}
    after = {server.name: server.service for server in new_register.servers}
    services = {service.name for service in new_register.services}
    return {
        name: service
        for name, service in old.placements.items()
        if service in services and name in after and after[name] == before.get(name)
    }


def _replace_index(client: Client, index: documents.Index, version: int) -> None:
    try:
        _write_index(client, index, version)
    except errors.Conflict as error:
        # If a layer below this client lost the answer and repeated the write, the
        # conflict is with our own write, which the write id in the index shows.
        _check_own_write(client, index, error)
    except errors.StoreUnavailable as error:
        _read_back(client, index, version, error)


def _write_chunks(client: Client, chunks: dict[str, bytes]) -> None:
    for key, chunk in chunks.items():
        try:
            client.create(key, chunk)
        except errors.Conflict:
            continue  # The key is the content hash: the same bytes are stored already.


def _write_index(client: Client, index: documents.Index, version: int) -> None:
    if version:
        client.update(documents.INDEX_KEY, index.encode(), version)
    else:
        client.create(documents.INDEX_KEY, index.encode())


def _check_own_write(
    client: Client, index: documents.Index, error: errors.Conflict
) -> None:
    found = documents.Index.decode(client.get(documents.INDEX_KEY)[0])
    if found.write != index.write:
        raise _make_not_published(client, index, found) from error


def _make_not_published(
    client: Client, index: documents.Index, found: documents.Index
) -> NotPublished:
    return NotPublished(
        f"expected to write generation {index.generation}, found generation "
        f"{found.generation} by {found.author or 'an unnamed author'}; nothing was "
        "written; read what it changed and apply again",
        step=STEP,
        peer=client.address,
    )


def _read_back(
    client: Client, index: documents.Index, version: int, error: Exception
) -> None:
    """Determine whether a write without an answer took effect.

    A write may take effect although its answer is lost, which shows as a closed
    connection. Reported as a failure, it makes the operator apply again and create a
    second generation; reported as a success, a change may be missing. So the index is
    read back: the write id in it proves the write. An unchanged index proves nothing,
    because the write may still be in flight; the outcome is then reported as unknown.
    """
    pause = READ_BACK_SECONDS
    for _ in range(READ_BACK_ATTEMPTS):
        time.sleep(pause)
        pause *= 2
        try:
            value, found_version = client.get(documents.INDEX_KEY)
        except errors.StoreError:
            continue
        found = documents.Index.decode(value)
        if found.write == index.write:
            return
        if found.generation == index.generation:
            raise _make_not_published(client, index, found) from error
        if found_version > version:
            break  # Replaced since; whether it was in force in between is unknown.
    raise PublicationUnknown(
        f"no answer to the write of generation {index.generation}; whether it took "
        "effect is not known; apply again: it shows what still differs",
        step=STEP,
        peer=client.address,
    ) from error
