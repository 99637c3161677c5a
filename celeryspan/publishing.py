"""Write one new generation of the configuration into the object API.

The index object is the only one that is replaced, by a conditional update, last. So of
two operators who race each other one wins whole and the other learns who won; and a
writer that dies between chunks and index leaves the generation in force untouched.
"""

from __future__ import annotations

import secrets
import time
from typing import Protocol

import msgspec

from celeryspan import configuration, documents, errors, ids, register, rules

READ_BACK_TRIES = 5
"""Reads after a lost answer, the pauses doubling: 0.2 s to 3.2 s, 6 s in all."""

READ_BACK_SECONDS = 0.2

STEP = "apply"


class Client(Protocol):
    """The calls of the object API that a writer needs."""

    address: str

    def get(self, key: str) -> tuple[bytes, int]:
        """Return value and version; raise errors.NotFound."""

    def create(self, key: str, value: bytes) -> int:
        """Write a new key; raise errors.Conflict."""

    def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the value at a version; raise errors.Conflict."""


class Standing(msgspec.Struct, frozen=True):
    """The configuration that stands in the object API.

    Attributes
    ----------
    value : Configuration or None
        None before the first generation.
    version : int
        Version of the index object, 0 before the first.
    """

    value: configuration.Configuration | None
    version: int

    @property
    def generation(self) -> int:
        """Number of the generation, 0 before the first."""
        return self.value.generation if self.value else 0


class NotPublished(errors.Conflict):
    """Another generation was written first; this one was not and will not be."""


class PublicationUnknown(errors.StoreUnavailable):
    """No answer; whether the new generation is in force is not known."""


def read_standing(client: Client) -> Standing:
    """Return the configuration that stands in the object API."""
    try:
        value, version = client.get(documents.INDEX_KEY)
    except errors.NotFound:
        return Standing(None, 0)
    index = documents.Index.decode(value)
    chunks = {key: client.get(key)[0] for key in index.chunks}
    return Standing(documents.unpack(documents.join(index, chunks)), version)


def publish(
    client: Client,
    standing: Standing,
    entries: register.Register,
    added: rules.Rules,
    author: str,
    placements: dict[str, str] | None = None,
) -> configuration.Configuration:
    """Write the generation after the one that stands.

    Parameters
    ----------
    placements : dict, optional
        Services of servers moved by the routers; those that stand by default, but
        for the servers whose service the register changes.

    Raises
    ------
    NotPublished
        If another writer was faster; nothing of this one is in force.
    PublicationUnknown
        If no answer came and the state could not be read back.
    """
    if placements is None:
        placements = keep_placements(standing.value, entries)
    value = configuration.Configuration(
        generation=standing.generation + 1,
        author=author,
        register=entries,
        rules=added,
        placements=placements,
    )
    chunks = documents.split(documents.pack(value))
    index = documents.Index(
        ids.Generation(value.generation), author, secrets.token_hex(8), tuple(chunks)
    )
    _write_chunks(client, chunks)
    _replace_index(client, index, standing.version)
    return value


def keep_placements(
    old: configuration.Configuration | None, entries: register.Register
) -> dict[str, str]:
    """Return the placements that still hold under a new register.

    An operator who gives a server another service means that one; without this an
    old move would win over the new register, silently and for good.
    """
    if old is None:
        return {}
    before = {server.name: server.service for server in old.register.servers}
    after = {server.name: server.service for server in entries.servers}
    services = {service.name for service in entries.services}
    return {
        name: service
        for name, service in old.placements.items()
        if service in services and name in after and after[name] == before.get(name)
    }


def _replace_index(client: Client, index: documents.Index, version: int) -> None:
    try:
        _write_index(client, index, version)
    except errors.Conflict as error:
        # An answer lost below this client, and the write repeated by something in
        # between, shows as a conflict with our own write; the name of the writing
        # tells it from another's.
        _judge_index(client, index, error)
    except errors.StoreUnavailable as error:
        _read_back(client, index, version, error)


def _write_chunks(client: Client, chunks: dict[str, bytes]) -> None:
    for key, piece in chunks.items():
        try:
            client.create(key, piece)
        except errors.Conflict:
            continue  # The key is the content's hash: the same bytes stand there.


def _write_index(client: Client, index: documents.Index, version: int) -> None:
    if version:
        client.update(documents.INDEX_KEY, index.encode(), version)
    else:
        client.create(documents.INDEX_KEY, index.encode())


def _judge_index(
    client: Client, index: documents.Index, error: errors.Conflict
) -> None:
    found = documents.Index.decode(client.get(documents.INDEX_KEY)[0])
    if found.write != index.write:
        raise _make_refusal(client, index, found) from error


def _make_refusal(
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
    """Find out whether a write without an answer took effect.

    The answer of a write may be lost though it took effect; it shows as a closed
    connection. Told as a failure, the operator applies again and raises a second
    generation; told as done, a change may be missing. So the index is read back: the
    name of the writing in it proves the write. An unchanged index proves nothing, as
    the write may still be on its way; then the writer says that it does not know.
    """
    pause = READ_BACK_SECONDS
    for _ in range(READ_BACK_TRIES):
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
            raise _make_refusal(client, index, found) from error
        if found_version > version:
            break  # Replaced since: whether it was in force in between is not known.
    raise PublicationUnknown(
        f"no answer to the write of generation {index.generation}; whether it took "
        "effect is not known; apply again: it shows what still differs",
        step=STEP,
        peer=client.address,
    ) from error
