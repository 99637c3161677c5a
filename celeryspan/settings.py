"""The settings of one router process."""

from __future__ import annotations

from typing import Annotated

import msgspec

from celeryspan import structs


class Settings(msgspec.Struct, frozen=True, kw_only=True):
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

    router: structs.Name
    data_centre: structs.Name
    caller_address: structs.HostPort
    peer_address: structs.HostPort
    store_address: structs.HostPort
    fleet_keys: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, max_length=2)]
    operator_key_hashes: tuple[structs.KeyHash, ...] = ()
    peers: tuple[structs.HostPort, ...] = ()
    address_seconds: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    drain_seconds: Annotated[float, msgspec.Meta(gt=0)] = 600.0
    body_bytes_max: Annotated[int, msgspec.Meta(gt=0)] = 4_194_304
    caller_threads: Annotated[int, msgspec.Meta(ge=4)] = 256
    log_file: str = ""
