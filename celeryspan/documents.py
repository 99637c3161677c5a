"""Stored form of a configuration: an index object and content-addressed chunks.

The body is compressed JSON, split into chunks that each fit into one value of the
object API. The key of a chunk is the hash of its content, so a chunk is written once
and never changes. The index object lists the generation and its chunks; it is the only
object that is replaced, and it is written last. A reader that has an index therefore
always finds the matching chunks, even during concurrent writes.
"""

from __future__ import annotations

import hashlib
import json
import zlib

import msgspec
import pydantic

from celeryspan import configuration, errors, ids

INDEX_KEY = "configuration/index"
CHUNK_PREFIX = "configuration/chunks/"

CHUNK_BYTES = 786_432
"""Three quarters of the largest value that the object API accepts."""

BODY_BYTES_MAX = 67_108_864
"""Maximum size of a decompressed body, about forty times that of a register of 10,000
servers. Keeps a small malicious value from exhausting memory."""


class Index(msgspec.Struct, frozen=True):
    """The index object.

    Attributes
    ----------
    author : str
        The author of the generation.
    write : str
        Random id of the write, by which a writer that lost the answer recognizes its
        own index.
    chunks : tuple of str
        Keys of the chunks, in order.
    """

    generation: ids.Generation
    author: str
    write: str
    chunks: tuple[str, ...]

    def encode(self) -> bytes:
        """Serialize to the value of the index object."""
        return json.dumps(msgspec.structs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> Index:
        """Parse the value of an index object.

        Raises
        ------
        errors.InputError
            If the value is not a valid index.
        """
        try:
            fields = json.loads(value)
            return cls(
                generation=ids.Generation(int(fields["generation"])),
                author=str(fields["author"]),
                write=str(fields["write"]),
                chunks=tuple(str(key) for key in fields["chunks"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise errors.InputError(
                f"not an index of a configuration: {error!r}", peer=INDEX_KEY
            ) from error


def pack(value: configuration.Configuration) -> bytes:
    """Serialize a configuration to a compressed body."""
    return zlib.compress(value.model_dump_json().encode(), level=6)


def unpack(body: bytes) -> configuration.Configuration:
    """Parse a compressed body.

    Raises
    ------
    errors.InputError
        If it is corrupt, too large or not a configuration.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(body, BODY_BYTES_MAX)
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise ValueError(f"truncated, or longer than {BODY_BYTES_MAX} bytes")
        return configuration.Configuration.model_validate_json(text)
    except (zlib.error, ValueError, pydantic.ValidationError) as error:
        raise errors.InputError(
            f"not a configuration: {error}", peer="configuration"
        ) from error


def split(body: bytes) -> dict[str, bytes]:
    """Split a body into chunks; return them by key, in order."""
    chunks = {}
    for start in range(0, len(body), CHUNK_BYTES):
        chunk = body[start : start + CHUNK_BYTES]
        chunks[CHUNK_PREFIX + hashlib.sha256(chunk).hexdigest()] = chunk
    return chunks


def join(index: Index, chunks: dict[str, bytes]) -> bytes:
    """Join the chunks of an index into a body.

    Raises
    ------
    errors.InputError
        If the content of a chunk does not match its key.
    """
    for key in index.chunks:
        digest = hashlib.sha256(chunks[key]).hexdigest()
        if key != CHUNK_PREFIX + digest:
            raise errors.InputError("content does not match its hash", peer=key)
    return b"".join(chunks[key] for key in index.chunks)
