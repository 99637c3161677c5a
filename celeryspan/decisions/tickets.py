"""Tickets: signed permission to run one request once, on the router that issued it.

A caller that received no answer retries through another router, for example during a
network partition, a pause of a router or an outage of the platform's store. Without
tickets the second router can't know of the first attempt and runs the request again.

A ticket names the router incarnation that issued it. Only that incarnation runs the
request and records that it did, so routers need no agreement. A restarted router is a
new incarnation and runs none of its old tickets.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

import msgspec

from celeryspan import errors, ids

# How long a ticket may be used. Callers fetch addresses, and tickets with them, every
# few seconds, and repeat a request within minutes if at all. The issuer must remember
# each used ticket for as long.
VALID_SECONDS = 600.0

# Number of tickets in one address answer: by default, and at most if the caller asks.
BATCH_SIZE_DEFAULT = 8
BATCH_SIZE_MAX = 64

# 128 bits of the HMAC, in hexadecimal: infeasible to guess.
MAC_CHARACTERS = 32

SEPARATOR = ":"
TICKET_PREFIX = "t1"
FORWARDED_PREFIX = "f1"


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run one request.

    Attributes
    ----------
    issued : int
        The issuer's monotonic time, in seconds; meaningless to other routers.
    """

    router: ids.RouterId
    incarnation: ids.Incarnation
    serial: int
    issued: int

    def is_expired(self, now: float) -> bool:
        """Return whether the ticket has expired, by the issuer's monotonic clock."""
        return now - self.issued > VALID_SECONDS


class ForwardingProof(msgspec.Struct, frozen=True):
    """Proof that another router of the fleet forwarded a request."""

    router: ids.RouterId
    request: ids.RequestId


def encode_ticket(keys: Sequence[str], ticket: Ticket) -> str:
    """Return a ticket as text, signed with the first fleet key."""
    fields = (ticket.router, ticket.incarnation, ticket.serial, ticket.issued)
    return _sign(keys, TICKET_PREFIX, *fields)


def decode_ticket(keys: Sequence[str], text: str) -> Ticket:
    """Verify and parse a ticket; any of the fleet keys may have signed it.

    Raises
    ------
    errors.NotRun
        If the text is not a ticket signed by this fleet.
    """
    fields = _verify(keys, TICKET_PREFIX, text, count=4)
    return Ticket(
        router=ids.RouterId(fields[0]),
        incarnation=ids.Incarnation(int(fields[1])),
        serial=int(fields[2]),
        issued=int(fields[3]),
    )


def encode_forwarding_proof(keys: Sequence[str], proof: ForwardingProof) -> str:
    """Return a forwarding proof as text, signed with the first fleet key."""
    return _sign(keys, FORWARDED_PREFIX, proof.router, proof.request)


def decode_forwarding_proof(keys: Sequence[str], text: str) -> ForwardingProof:
    """Verify and parse a forwarding proof.

    Raises
    ------
    errors.NotRun
        If the text is not a forwarding proof signed by this fleet.
    """
    router, request = _verify(keys, FORWARDED_PREFIX, text, count=2)
    return ForwardingProof(ids.RouterId(router), ids.RequestId(request))


def _sign(keys: Sequence[str], prefix: str, *fields: object) -> str:
    text = SEPARATOR.join((prefix, *(str(field) for field in fields)))
    return text + SEPARATOR + _hash(keys[0], text)


def _verify(keys: Sequence[str], prefix: str, text: str, *, count: int) -> list[str]:
    signed, _, mac = text.rpartition(SEPARATOR)
    found_prefix, *fields = signed.split(SEPARATOR)
    valid = False
    for key in keys:
        valid |= hmac.compare_digest(_hash(key, signed).encode(), mac.encode())
    if not valid or found_prefix != prefix or len(fields) != count:
        raise errors.NotRun(
            "the ticket or forwarding proof was not signed by this fleet",
            code="bad-ticket",
            status=400,
            step="read request",
        )
    return fields


def _hash(key: str, text: str) -> str:
    digest = hmac.new(key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_CHARACTERS]
