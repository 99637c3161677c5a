"""Who may see the status of a router and stop it."""

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
    """Check the operator's key; raises NotRun with status 401.

    Every hash is compared, each in constant time.
    """
    digest = hashlib.sha256(http_exchange.read_key().encode()).hexdigest()
    valid = False
    for key_hash in values.operator_key_hashes:
        valid |= hmac.compare_digest(key_hash, digest)
    if not valid:
        raise exchange.make_refusal(
            "not an operator's key", code="unauthorized", status=401
        )
