"""Which requests a full router hands over to another one, and to which.

Load answered: all callers of one account use one router, whatever addresses they are
told, and send it four to ten times what its VM can pass on, while the other routers of
the data centre idle at a twentieth of a core. Refused, these callers come back to the
same router. To pass bytes on takes a tenth of what serving takes, so that such a router
serves what it can and hands the rest over, once: who is handed a request serves or
refuses it.
"""

from __future__ import annotations

import random
from collections.abc import Container, Iterable

from celeryspan import ids
from celeryspan.decisions import beliefs, callerlists
from celeryspan.wire import messages

HANDED_MAX = 192
"""Requests handed over at a time: each takes two descriptors, a tenth of those of the
smallest VM together, and what is passed on must leave time for what is served here."""

TRIES_MAX = 2
"""Routers that are tried for one request: one that was killed just now is listed for
seconds."""

CONNECT_SECONDS = 0.3
"""A router that lives answers within milliseconds."""


def choose_peer(
    known: Iterable[beliefs.Belief],
    data_centre: ids.DataCentreId,
    tried: Container[ids.RouterId],
    now: float,
    generator: random.Random,
) -> messages.Member | None:
    """Return another router of a data centre that callers may use, or None."""
    found = [
        belief.member
        for belief in known
        if belief.member.data_centre == data_centre
        and belief.member.router not in tried
        and callerlists.is_usable(belief, now)
    ]
    return generator.choice(found) if found else None


def mark(request: bytes, header: bytes) -> bytes | None:
    """Return a request as it is handed over; None if it has been before.

    Its connection ends with the answer: two connections kept for a caller that may
    never come back would soon be all that there may be.

    Parameters
    ----------
    request : bytes
        One whole request, head and body.
    header : bytes
        Name of the header that marks what was handed over.
    """
    line, _, rest = request.partition(b"\r\n")
    head, end, body = rest.partition(b"\r\n\r\n")
    kept = []
    for each in head.split(b"\r\n"):
        name = each.partition(b":")[0].strip().lower()
        if name == header.lower():
            return None
        if name not in (b"connection", b"keep-alive"):
            kept.append(each)
    kept += [b"Connection: close", header + b": 1"]
    return b"\r\n".join([line, *kept]) + end + body
