"""Authentication of operators, who may read a router's status and drain it."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from celeryspan.services import exchange

if TYPE_CHECKING:
    from celeryspan import settings


def check_operator_key(
    http_exchange: exchange.Exchange, values: settings.Settings
) -> None:
    """Check the operator's key; raises NotRun with status 401 if it is not valid.

    All hashes are compared in constant time, so that timing reveals nothing about them.
    """
    digest = hashlib.sha256(http_exchange.read_key().encode()).hexdigest()
    valid = False
    for key_hash in values.operator_key_hashes:
        valid |= hmac.compare_digest(key_hash, digest)
    if not valid:
        raise exchange.make_refusal(
            "the bearer key is not an operator's key", code="unauthorized", status=401
        )
