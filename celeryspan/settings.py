"""The settings of one router process."""

from __future__ import annotations

from typing import Annotated

import msgspec

from celeryspan import answerreaders, structs


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Local settings; a router learns everything else from the store and its peers.

    Attributes
    ----------
    store_address : str
        Address of the platform's object API.
    fleet_keys : tuple of str
        Shared keys that authenticate peers: the first one signs, all are accepted.
    operator_key_hashes : tuple of str
        SHA-256 of each key that may read the status and drain the router; if empty, no
        key may.
    address_seconds : float
        How long a caller may cache an answer of ``GET /v1/addresses``, in seconds.
    drain_seconds : float
        Maximum time that a planned stop waits for requests, in seconds.
    peers : tuple of str
        Peer addresses for joining the fleet while the store is unreachable.
    request_bytes_max : int
        Bytes that the requests in arrival and in progress may hold at once.
    request_head_seconds, request_seconds : float
        Longest time in which the head of a request, and the whole request, may arrive.
    response_head_bytes_max, response_body_bytes_max : int
        Largest head and body of an answer of a backend server.
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
    request_bytes_max: Annotated[int, msgspec.Meta(ge=65_536)] = 67_108_864
    request_head_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    request_seconds: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    log_file: str = ""
    response_head_bytes_max: Annotated[int, msgspec.Meta(ge=1024)] = (
        answerreaders.HEAD_BYTES_MAX
    )
    response_body_bytes_max: Annotated[int, msgspec.Meta(ge=65_536)] = (
        answerreaders.BODY_BYTES_MAX
    )

    @property
    def request_bodies_bytes(self) -> int:
        """Bytes that requests may hold at once."""
        return self.request_bytes_max

    def make_response_limits(self) -> answerreaders.Limits:
        """Return the limits of the answers of backend servers."""
        return answerreaders.Limits(
            head=self.response_head_bytes_max, body=self.response_body_bytes_max
        )
