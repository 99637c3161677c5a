"""How a configuration is kept: an index object and chunks named by their content.

The body is compressed JSON, cut into chunks that each fit into one value of the
object API. A chunk's key is the hash of its content, so that it is written once and
never changed; the index object names the generation and its chunks and is the only
one to be replaced, last. A reader that holds an index therefore finds exactly the
chunks that belong together, whatever is written meanwhile.
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
"""Three quarters of what the object API takes, in bytes."""

BODY_BYTES_MAX = 67_108_864
"""Greatest body after decompression, in bytes: about forty times the register of
10,000 servers; a small hostile value can't fill the memory."""


class Index(msgspec.Struct, frozen=True):
    """The index object.

    Attributes
    ----------
    author : str
        Who wrote the generation.
    write : str
        Random name of the writing, by which a writer whose answer was lost
        recognises its own.
    chunks : tuple of str
        Keys of the chunks in order.
    """

    generation: ids.Generation
    author: str
    write: str
    chunks: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the value of the index object."""
        return json.dumps(msgspec.structs.asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> Index:
        """Read the value of an index object.

        Raises
        ------
        errors.InputError
            If it is not an index.
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
    """Return the compressed body of a configuration."""
    return zlib.compress(value.model_dump_json().encode(), level=6)


def unpack(body: bytes) -> configuration.Configuration:
    """Read a compressed body.

    Raises
    ------
    errors.InputError
        If it is damaged, too large or not a configuration.
    """
    try:
        reader = zlib.decompressobj()
        text = reader.decompress(body, BODY_BYTES_MAX)
        if reader.unconsumed_tail or not reader.eof:
            raise ValueError("longer than allowed, or cut short")
        return configuration.Configuration.model_validate_json(text)
    except (zlib.error, ValueError, pydantic.ValidationError) as error:
        raise errors.InputError(
            f"not a configuration: {error}", peer="configuration"
        ) from error


def split(body: bytes) -> dict[str, bytes]:
    """Cut a body into chunks by key, in order."""
    chunks = {}
    for start in range(0, len(body), CHUNK_BYTES):
        piece = body[start : start + CHUNK_BYTES]
        chunks[CHUNK_PREFIX + hashlib.sha256(piece).hexdigest()] = piece
    return chunks


def join(index: Index, chunks: dict[str, bytes]) -> bytes:
    """Put the chunks of an index together.

    Raises
    ------
    errors.InputError
        If a chunk's content does not match its key.
    """
    for key in index.chunks:
        digest = hashlib.sha256(chunks[key]).hexdigest()
        if key != CHUNK_PREFIX + digest:
            raise errors.InputError("content does not match its hash", peer=key)
    return b"".join(chunks[key] for key in index.chunks)
