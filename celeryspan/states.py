"""States and kinds shared by several modules."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a backend server ran a request, as far as known."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestState(enum.Enum):
    """Progress of a request through a router."""

    QUEUED = "queued"
    GRANTED = "granted"
    SENT = "sent"
    ANSWERING = "answering"
    SETTLED = "settled"


class MemberState(enum.Enum):
    """State of a router as seen by the fleet."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class RunEnding(enum.Enum):
    """Why a slot of a backend server was released."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    GONE = "gone"
    UNUSED = "unused"
    CANCELLED = "cancelled"


class ServerState(enum.Enum):
    """State of a backend server as seen by a router."""

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"


class ServiceKind(enum.Enum):
    """Kind of a service; selects the adapter for its backend servers."""

    MODEL = "model"
    PLAIN = "plain"


class EarlyRefusals(enum.Enum):
    """The pools that refuse requests which are expected to start too late."""

    NEVER = "never"
    REPORTING_ENGINES = "reporting-engines"
    ALWAYS = "always"
