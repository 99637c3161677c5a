"""Settings of a router on the users' platform."""

from __future__ import annotations

import pydantic

from celeryspan import fields, settings


class Settings(settings.Settings):
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
    """

    ready_address: fields.HostPort
    directory_address: fields.HostPort
    metrics_port: int = pydantic.Field(default=0, ge=0, le=65535)
    grace_seconds: float = pydantic.Field(default=8.0, gt=0)
    retry_ratio: float = pydantic.Field(default=0.2, ge=0)
    retry_slack: float = pydantic.Field(default=50.0, ge=0)
    retry_window: float = pydantic.Field(default=10.0, gt=0)
    descriptors_max: int = pydantic.Field(default=0, ge=0)
