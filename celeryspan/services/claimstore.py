"""Stores claims of idempotency keys in the object API."""

from __future__ import annotations

import base64
import json
import random
import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, events
from celeryspan.decisions import claims

if TYPE_CHECKING:
    from celeryspan.services import store

PREFIX = "claims"

# Maximum size of an answer stored with its claim: enough for confirmations and drafts.
# At one request a second, the answers of one day take less than 3 GB.
MAX_PUBLISHED_BYTES = 32_768

# Retry-After while the object API is unreachable.
RETRY_AFTER_SECONDS = 5.0

# Mean interval between deletions of expired claims, and the maximum number deleted at
# once.
SWEEP_INTERVAL_SECONDS = 3600.0
MAX_SWEEP_DELETIONS = 1000


class ClaimStore:
    """Writes and reads claims. A claim never changes its owner."""

    def __init__(self, service: store.StoreService) -> None:
        self._store = service
        self._random = random.Random(time.time_ns())
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep, name="claims", daemon=True)

    def start(self) -> None:
        """Start deleting expired claims."""
        self._thread.start()

    def stop(self) -> None:
        """Stop deleting expired claims."""
        self._stopped.set()

    def claim(
        self, name: claims.RequestName, owner: claims.Owner, digest: str
    ) -> claims.Claim:
        """Claim a key for an owner, and return the claim in force.

        Raises
        ------
        errors.NotRun
            If the object API is unreachable; a claim of this owner may exist.
        errors.OutcomeUnknown
            If another claim exists that cannot be read.
        """
        current_day, other_days = claims.find_claim_days(time.time())
        own_claim = claims.Claim(owner, digest)
        claimed = self._create(make_key(current_day, name), own_claim)
        if claimed.owner != owner:
            return claimed
        for day in other_days:
            earlier = self._read_earlier(make_key(day, name))
            if earlier is not None and earlier.owner != owner:
                return earlier
        return claimed

    def publish(self, claim: claims.Claim, answer: claims.Answer) -> None:
        """Store an answer with its claim, so that it outlives this router."""
        if not claim.place or len(answer.body) > MAX_PUBLISHED_BYTES:
            return
        value = encode_claim(msgspec.structs.replace(claim, answer=answer))
        try:
            self._store.update(claim.place, value, claim.version, background=True)
        except errors.StoreError:
            pass  # Repeats are forwarded to this router while it runs.

    def _create(self, key: str, own_claim: claims.Claim) -> claims.Claim:
        try:
            version = self._store.create(key, encode_claim(own_claim))
        except errors.StoreNotAsked as error:
            raise make_store_unreachable(error) from error
        except errors.Conflict:
            return self._read_other_claim(key)
        except errors.StoreUnavailable as error:
            return self._read_back(key, error)
        events.log(events.Event.CLAIM_WON, key=key)
        return msgspec.structs.replace(own_claim, place=key, version=version)

    def _read_other_claim(self, key: str) -> claims.Claim:
        events.log(events.Event.CLAIM_LOST, key=key)
        try:
            return decode_claim(self._store.get(key)[0])
        except (errors.StoreError, ValueError) as error:
            raise errors.OutcomeUnknown(
                f"an earlier request claimed this key; cannot read its claim: {error}",
                code="claimed",
                status=409,
                retry_after=RETRY_AFTER_SECONDS,
                step="claim",
                peer="store",
            ) from error

    def _read_back(
        self, key: str, lost_answer: errors.StoreUnavailable
    ) -> claims.Claim:
        """Read a claim back after the answer to its write was lost.

        The write may have taken effect or may do so later. An existing claim is
        accepted. If there is none, the request is refused; a late write then only makes
        this router the owner, and this router knows that it has not run the request.
        """
        events.log(events.Event.STORE_ANSWER_LOST, key=key)
        try:
            value, version = self._store.get(key)
            return msgspec.structs.replace(
                decode_claim(value), place=key, version=version
            )
        except (errors.StoreError, ValueError) as error:
            raise make_store_unreachable(lost_answer) from error

    def _read_earlier(self, key: str) -> claims.Claim | None:
        try:
            return decode_claim(self._store.get(key)[0])
        except errors.NotFound:
            return None
        except (errors.StoreError, ValueError) as error:
            raise make_store_unreachable(error) from error

    def _sweep(self) -> None:
        while not self._stopped.wait(
            SWEEP_INTERVAL_SECONDS * (0.5 + self._random.random())
        ):
            try:
                self._delete_expired(time.time())
            except errors.StoreError:
                continue  # Another router or the next sweep deletes them.

    def _delete_expired(self, now: float) -> None:
        _, other_days = claims.find_claim_days(now)
        oldest = min(other_days) - 1
        found = self._store.list_keys(f"{PREFIX}/{oldest}/", background=True)
        for key, version in list(found.items())[:MAX_SWEEP_DELETIONS]:
            self._store.delete(key, version, background=True)


def make_key(day: int, name: claims.RequestName) -> str:
    """Return the object key of the claim of a name."""
    return f"{PREFIX}/{day}/{claims.hash_name(name)}"


def make_store_unreachable(error: Exception) -> errors.NotRun:
    """Return the error for a key that cannot be claimed without the object API."""
    return errors.NotRun(
        "this attempt was not run because its key cannot be claimed; the outcome of "
        f"earlier attempts with the key is unknown: {error}",
        code="store-unreachable",
        status=503,
        retry_after=RETRY_AFTER_SECONDS,
        step="claim",
        peer="store",
    )


def encode_claim(claim: claims.Claim) -> bytes:
    """Encode a claim as JSON."""
    value: dict[str, object] = {
        "router": claim.owner.router,
        "incarnation": claim.owner.incarnation,
        "digest": claim.digest,
    }
    if claim.answer is not None:
        value["status"] = claim.answer.status
        value["headers"] = claim.answer.headers
        value["body"] = base64.b64encode(claim.answer.body).decode()
    return json.dumps(value).encode()


def decode_claim(value: bytes) -> claims.Claim:
    """Decode a claim from JSON.

    Raises
    ------
    ValueError
        If the value is not a valid claim.
    """
    try:
        found = json.loads(value)
        owner = claims.Owner(found["router"], found["incarnation"])
        answer = None
        if "status" in found:
            headers = tuple((name, text) for name, text in found["headers"])
            body = base64.b64decode(found["body"])
            answer = claims.Answer(found["status"], headers, body)
        return claims.Claim(owner, found["digest"], answer)
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid claim: {error!r}") from error
