"""Defines the numbered events of the daemons' structured log.

The meaning of a number never changes. ``docs/events.md`` lists all events, and a test
compares it with this module. The hundreds group events by subject: 1xx process, 2xx
request, 3xx scheduling, 4xx membership and links, 5xx configuration, 6xx store, 7xx
leases and orders.
"""

from __future__ import annotations

import enum
from typing import IO

import eliot

from celeryspan import logwriter

TEXT_CHARACTERS_MAX = 512
"""Longest text in a field of a line: callers choose names that are logged."""

CUT_MARK = "..."


class Event(enum.IntEnum):
    """Event numbers; the lower-case name is the message type in the log."""

    SERVICE_STARTED = 101
    SERVICE_STOPPED = 102
    TASK_FAILED = 103
    SIGNAL_RECEIVED = 104
    STOP_CUT_REQUESTS = 105
    SETTINGS_READ = 106
    SETTINGS_REFUSED = 107
    LOG_LINES_DROPPED = 108

    REQUEST_ACCEPTED = 201
    REQUEST_REFUSED = 202
    REQUEST_SENT = 203
    REQUEST_SETTLED = 204
    REQUEST_FORWARDED = 205
    STREAM_RESUMED = 206
    CALLER_LEFT = 207
    STALE_ANSWER_DROPPED = 208
    REQUEST_LIMIT_LOWERED = 209
    RUN_LOST = 210
    REQUEST_HANDED_OVER = 211
    HANDOVER_LIMIT_REACHED = 212
    STREAM_TAKEN_UP = 213
    RESPONSE_ABORTED = 215
    LONG_ANSWER_DROPPED = 216
    ARRIVALS_LATE = 217
    REQUESTS_TOO_SLOW = 218

    GRANT_ISSUED = 301
    GRANT_EXPIRED = 302
    HOME_TAKEN = 303
    HOME_LEFT = 304
    SERVER_EJECTED = 305
    SERVER_RETURNED = 306
    SERVER_LEAVING = 307
    WINDOW_CHANGED = 308
    FALLBACK_ENTERED = 309
    FALLBACK_LEFT = 310
    PLACE_REFUSED = 311
    RUN_MOVED = 312
    SERVER_RESTARTED = 313
    SERVER_ENTRY_IGNORED = 314
    KEPT_PARTS_LISTED = 315
    KEPT_PARTS_UNKNOWN = 316
    ACCOUNTS_WAIT = 317
    SERVER_CRASHED = 318
    REQUEST_ISOLATED = 319
    REQUEST_QUARANTINED = 320
    REQUEST_RELEASED = 321
    QUARANTINE_STORED = 322
    DATA_CENTRE_EVACUATED = 323
    DATA_CENTRE_RESTORED = 324
    EVACUATIONS_UNKNOWN = 325
    COLD_TIME_CAPPED = 326
    TENURE_LOST = 327
    DEPARTURE_ANNOUNCED = 328
    REST_REQUESTED = 329
    REST_CORRECTED = 330
    VERSIONS_CHANGED = 331
    SERVER_LOAD_INVALID = 332
    SERVER_REJECTS = 333
    SERVER_REJECTS_NO_MORE = 334

    LINK_OPENED = 401
    LINK_CLOSED = 402
    LINK_REFUSED = 403
    MEMBER_JOINED = 404
    MEMBER_SUSPECTED = 405
    MEMBER_DEAD = 406
    MEMBER_LEAVING = 407
    SELF_REFUTED = 408
    MEMBER_LOAD_CHANGED = 409
    MESSAGE_IGNORED = 410

    CONFIGURATION_IN_FORCE = 501
    CONFIGURATION_REFUSED = 502
    CONFIGURATION_OLD_IGNORED = 503

    STORE_UNREACHABLE = 601
    STORE_REACHABLE = 602
    STORE_ANSWER_LOST = 603
    CLAIM_WON = 604
    CLAIM_LOST = 605
    STORE_READERS_CHANGED = 606
    STORE_OBJECT_IGNORED = 607
    STORE_RESTORED = 608
    OBJECTS_HELD = 609
    HELD_OBJECTS_RELEASED = 610
    VERSION_RECORD_WRITTEN = 611
    ORIGINS_LISTED = 612

    LEASE_TAKEN = 701
    LEASE_LOST = 702
    ORDER_SENT = 703
    ORDER_REFUSED = 704
    SERVER_MOVED = 705


def open_log(file: IO[str]) -> logwriter.LogWriter:
    """Log all events to a file, one JSON object per line.

    Returns
    -------
    LogWriter
        Buffers lines; call ``write_queued`` before the file is closed.
    """
    writer = logwriter.LogWriter(file)
    eliot.to_file(writer)
    return writer


def log(event: Event, **fields: object) -> None:
    """Log an event with its number, message type and fields; long texts are cut."""
    for name, value in fields.items():
        if type(value) is str and len(value) > TEXT_CHARACTERS_MAX:
            fields[name] = f"{value[:TEXT_CHARACTERS_MAX]}{CUT_MARK}"
    eliot.log_message(message_type=event.name.lower(), number=int(event), **fields)
