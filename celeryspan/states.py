"""States and kinds shared by several modules."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is known about whether a backend server carried out a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestState(enum.Enum):
    """How far a request has come on its way through a router."""

    QUEUED = "queued"
    GRANTED = "granted"
    SENT = "sent"
    ANSWERING = "answering"
    SETTLED = "settled"


class MemberState(enum.Enum):
    """What the fleet believes about one router."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class RunEnding(enum.Enum):
    """How a place at a backend server was given back."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    GONE = "gone"
    UNUSED = "unused"
    CANCELLED = "cancelled"


class ServerState(enum.Enum):
    """What a router believes about one backend server."""

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"


class ServiceKind(enum.Enum):
    """Which adapter speaks to the backend servers of a service."""

    MODEL = "model"
    PLAIN = "plain"
