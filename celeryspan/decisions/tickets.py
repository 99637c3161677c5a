"""Tickets: leave to run one request once, at the router that issued it.

Load and faults it answers: a caller that heard no answer asks again through another
router, during a partition, a pause or an outage of the platform's store. Without
tickets the second router can't know of the first and runs the request again.

A ticket names the incarnation that issued it. Only that incarnation runs it, and it
remembers that it did; so no two routers ever have to agree. A router that restarts is
a new incarnation and runs none of the old tickets.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from celeryspan import errors, ids

# How long a ticket may be used, in seconds. A caller asks for addresses, and with
# them for tickets, every few seconds, and repeats within minutes if at all. The
# issuer must remember each used ticket for as long.
VALID_SECONDS = 600.0

# Tickets in one address answer, and the most that a caller may ask for.
BATCH_SIZE_DEFAULT = 8
BATCH_SIZE_MAX = 64

# 128 bits of the keyed hash are far beyond guessing.
MAC_CHARACTERS = 32

SEPARATOR = ":"
TICKET_PREFIX = "t1"
FORWARDED_PREFIX = "f1"


class Ticket(msgspec.Struct, frozen=True):
    """Leave to run one request.

    Attributes
    ----------
    issued : int
        The issuer's monotonic time, in seconds; means nothing to other routers.
    """

    router: ids.RouterId
    incarnation: ids.Incarnation
    serial: int
    issued: int

    def is_expired(self, now: float) -> bool:
        """Say whether it is too old, by the issuer's clock."""
        return now - self.issued > VALID_SECONDS


class ForwardingProof(msgspec.Struct, frozen=True):
    """Proof that a request was passed on by another router of the fleet."""

    router: ids.RouterId
    request: ids.RequestId


def encode_ticket(keys: Sequence[str], ticket: Ticket) -> str:
    """Return a ticket as text, signed with the first of the fleet's keys."""
    fields = (ticket.router, ticket.incarnation, ticket.serial, ticket.issued)
    return _sign(keys, TICKET_PREFIX, *fields)


def decode_ticket(keys: Sequence[str], text: str) -> Ticket:
    """Return the ticket in a text.

    Raises
    ------
    errors.NotRun
        If it is not a ticket that this fleet signed.
    """
    fields = _verify(keys, TICKET_PREFIX, text, count=4)
    return Ticket(
        router=ids.RouterId(fields[0]),
        incarnation=ids.Incarnation(int(fields[1])),
        serial=int(fields[2]),
        issued=int(fields[3]),
    )


def encode_forwarding_proof(keys: Sequence[str], forwarded: ForwardingProof) -> str:
    """Return the proof as text."""
    return _sign(keys, FORWARDED_PREFIX, forwarded.router, forwarded.request)


def decode_forwarding_proof(keys: Sequence[str], text: str) -> ForwardingProof:
    """Return the proof in a text; raises NotRun if this fleet did not sign it."""
    router, request = _verify(keys, FORWARDED_PREFIX, text, count=2)
    return ForwardingProof(ids.RouterId(router), ids.RequestId(request))


def _sign(keys: Sequence[str], kind: str, *fields: object) -> str:
    text = SEPARATOR.join((kind, *(str(field) for field in fields)))
    return text + SEPARATOR + _hash(keys[0], text)


def _verify(keys: Sequence[str], kind: str, text: str, *, count: int) -> list[str]:
    signed, _, mac = text.rpartition(SEPARATOR)
    found, *fields = signed.split(SEPARATOR)
    valid = False
    for key in keys:
        valid |= hmac.compare_digest(_hash(key, signed).encode(), mac.encode())
    if not valid or found != kind or len(fields) != count:
        raise errors.NotRun(
            "not signed by this fleet",
            code="bad-ticket",
            status=400,
            step="read request",
        )
    return fields


def _hash(key: str, text: str) -> str:
    digest = hmac.new(key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_CHARACTERS]
