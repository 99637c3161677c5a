"""The settings of one router process."""

from __future__ import annotations

import pydantic

from celeryspan import fields


class Settings(fields.Model):
    """What a router must be told; all else it learns from the store and its peers.

    Attributes
    ----------
    store_address : str
        Address of the platform's object API.
    fleet_keys : tuple of str
        Shared keys that prove a peer: the first signs, all are accepted.
    operator_key_hashes : tuple of str
        SHA-256 of each key that may read status and drain; none refuses all.
    address_seconds : float
        How long a caller may keep an answer of ``GET /v1/addresses``, in seconds.
    drain_seconds : float
        Greatest time that a planned stop waits for requests, in seconds.
    peers : tuple of str
        Peer addresses to join through when the store can't be reached.
    """

    router: fields.Name
    data_centre: fields.Name
    caller_address: fields.HostPort
    peer_address: fields.HostPort
    store_address: fields.HostPort
    fleet_keys: tuple[str, ...] = pydantic.Field(min_length=1, max_length=2)
    operator_key_hashes: tuple[fields.KeyHash, ...] = ()
    peers: tuple[fields.HostPort, ...] = ()
    address_seconds: float = pydantic.Field(default=5.0, gt=0)
    drain_seconds: float = pydantic.Field(default=600.0, gt=0)
    body_bytes_max: int = pydantic.Field(default=4_194_304, gt=0)
    caller_threads: int = pydantic.Field(default=256, ge=4)
    log_file: str = ""
