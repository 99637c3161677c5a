"""Settings of a router on the users' platform."""

from __future__ import annotations

from typing import Annotated

import msgspec

from celeryspan import settings, structs


class Settings(settings.Settings, frozen=True, kw_only=True):
    """What such a router is told beside the settings of every router.

    Attributes
    ----------
    ready_address, directory_address : str
        Where the platform asks whether this router is ready, and callers ask which
        routers to use.
    metrics_port : int
        Port of the metrics; 0 serves them at the ready address only.
    grace_seconds : float
        From SIGTERM to the end of the process, in seconds.
    retry_ratio, retry_slack, retry_window : float
        Repeats that the fleet may send: for each request, beside these in one window,
        and the length of the window in seconds.
    descriptors_max : int
        Files and sockets that the process may have open; 0 asks the system.
    processor_share, processor_speed : float
        Part of a core that the VM has, and how many times as fast as a usual one.
    """

    ready_address: structs.HostPort
    directory_address: structs.HostPort
    metrics_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    grace_seconds: Annotated[float, msgspec.Meta(gt=0)] = 8.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    retry_window: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    descriptors_max: Annotated[int, msgspec.Meta(ge=0)] = 0
    processor_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    processor_speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0

    @property
    def cores(self) -> float:
        """Processor time of the VM, in usual cores."""
        return self.processor_share * self.processor_speed
