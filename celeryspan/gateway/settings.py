"""Settings of a router on the users' platform."""

from __future__ import annotations

from typing import Annotated

import msgspec

from celeryspan import answerreaders, settings, states, structs
from celeryspan.platform import requests

HELD_MEMORY_SHARE = 0.1
"""Part of the process's memory used as the budget of buffered responses. A buffer that
empties may occupy twice its bytes, which leaves room for the rest of a small VM."""


RESPONSE_MEMORY_SHARE = 0.1
"""Part of the process's memory for answers of servers that still arrive."""

REQUEST_MEMORY_SHARE = 0.2
"""Share of the process's memory for request bodies, which are copied to be sent."""

RESPONSE_BUFFERS_BYTES_DEFAULT = 33_554_432

BYTES_PER_MEGABYTE = 1_000_000


class Settings(settings.Settings, frozen=True, kw_only=True):
    """Settings in addition to those of every router.

    Attributes
    ----------
    ready_address, directory_address : str
        Listening addresses of the platform's readiness checks, and of the directory
        from which callers get the addresses of routers.
    metrics_port : int
        Port of the metrics; 0 serves them on the ready address only.
    grace_seconds : float
        Time from SIGTERM to the end of the process.
    retry_ratio, retry_slack, retry_window : float
        Retry budget of the fleet: retries per request, additional retries per window,
        and length of the window in seconds.
    follows_evacuations : bool
        Whether operators evacuate data centres through the store.
    cold_factor, cold_slack : float or None
        Requests that a cold server may get within a second from the whole fleet,
        relative to the rate that it tolerates, and in addition to that; None if cold
        servers have no bound.
    descriptors_max : int
        Maximum of open files and sockets; 0 uses the limit of the operating system.
    held_megabytes_max : float or None
        Megabytes of responses that the router buffers for callers that read slowly. By
        default a part of ``memory_megabytes``; None without these, if it reads a
        response no faster than its caller.
    memory_megabytes : float or None
        Memory that the process may use; None if it has no limit of its own.
    processor_share, processor_speed : float
        Fraction of a core that the VM has, and speed of the core relative to the
        reference core.
    response_event_bytes_max : int
        Largest event of a stream.
    response_buffer_bytes_max : int
        Bytes of a plain answer that are read before any of it is forwarded.
    prompt_parts_max : int
        Parts of a prompt by which a server is chosen; all are forwarded.
    early_refusals : EarlyRefusals
        Which pools refuse requests on arrival that are expected to start too late:
        none, those of engines that report the pace of their VMs, or all.
    """

    ready_address: structs.HostPort
    directory_address: structs.HostPort
    metrics_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    grace_seconds: Annotated[float, msgspec.Meta(gt=0)] = 8.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    retry_window: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    follows_evacuations: bool = False
    cold_factor: Annotated[float, msgspec.Meta(ge=1)] | None = None
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] | None = None
    descriptors_max: Annotated[int, msgspec.Meta(ge=0)] = 0
    held_megabytes_max: Annotated[float, msgspec.Meta(ge=0.1)] | None = None
    memory_megabytes: Annotated[float, msgspec.Meta(gt=0)] | None = None
    processor_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    processor_speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    response_event_bytes_max: Annotated[int, msgspec.Meta(ge=1024)] = (
        answerreaders.EVENT_BYTES_MAX
    )
    response_buffer_bytes_max: Annotated[int, msgspec.Meta(ge=1024)] = (
        answerreaders.BUFFER_BYTES_MAX
    )
    prompt_parts_max: Annotated[int, msgspec.Meta(ge=1)] = requests.PARTS_MAX
    early_refusals: states.EarlyRefusals = states.EarlyRefusals.NEVER

    def make_response_limits(self) -> answerreaders.Limits:
        """Return the limits of the answers of backend servers."""
        return answerreaders.Limits(
            head=self.response_head_bytes_max,
            body=self.response_body_bytes_max,
            event=self.response_event_bytes_max,
            buffer=self.response_buffer_bytes_max,
        )

    @property
    def response_buffers_bytes(self) -> int:
        """Bytes of answers that may be buffered at once."""
        if self.memory_megabytes is None:
            return RESPONSE_BUFFERS_BYTES_DEFAULT
        return int(RESPONSE_MEMORY_SHARE * self.memory_megabytes * BYTES_PER_MEGABYTE)

    @property
    def request_bodies_bytes(self) -> int:
        """Bytes of request bodies that may be held at once."""
        if self.memory_megabytes is None:
            return self.request_bytes_max
        share = int(REQUEST_MEMORY_SHARE * self.memory_megabytes * BYTES_PER_MEGABYTE)
        return min(share, self.request_bytes_max)

    @property
    def held_megabytes(self) -> float | None:
        """Budget of buffered responses, in megabytes; None for no buffer."""
        if self.held_megabytes_max is not None or self.memory_megabytes is None:
            return self.held_megabytes_max
        return HELD_MEMORY_SHARE * self.memory_megabytes

    @property
    def cores(self) -> float:
        """Processing capacity of the VM, in reference cores."""
        return self.processor_share * self.processor_speed
