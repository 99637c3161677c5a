"""Claims of idempotency keys in the object API."""

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

# Largest answer put beside a claim, in bytes: confirmations and drafts fit, and a
# day of them at one request a second stays below 3 GB.
PUBLISHED_BYTES_MAX = 32_768

# Told to a caller while the object API is out of reach, in seconds.
RETRY_SECONDS = 5.0

# Mean time between two looks for claims that are too old, in seconds, and the most
# that one look deletes.
SWEEP_SECONDS = 3600.0
SWEEP_MAX = 1000


class ClaimStore:
    """Writes and reads claims; a claim once written is never taken over."""

    def __init__(self, service: store.StoreService) -> None:
        self._store = service
        self._random = random.Random(time.time_ns())
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep, name="claims", daemon=True)

    def start(self) -> None:
        """Begin to delete old claims."""
        self._thread.start()

    def stop(self) -> None:
        """End deleting."""
        self._stopped.set()

    def claim(
        self, name: claims.RequestName, owner: claims.Owner, digest: str
    ) -> claims.Claim:
        """Claim a key for an owner, and return the claim that stands.

        Raises
        ------
        errors.NotRun
            If the object API is out of reach; a claim of this owner may stand.
        errors.OutcomeUnknown
            If another claim stands that can't be read.
        """
        today, other_days = claims.find_claim_days(time.time())
        mine = claims.Claim(owner, digest)
        standing = self._create(make_key(today, name), mine)
        if standing.owner != owner:
            return standing
        for day in other_days:
            earlier = self._read_earlier(make_key(day, name))
            if earlier is not None and earlier.owner != owner:
                return earlier
        return standing

    def publish(self, claim: claims.Claim, answer: claims.Answer) -> None:
        """Put an answer beside its claim, so that it outlives this router."""
        if not claim.place or len(answer.body) > PUBLISHED_BYTES_MAX:
            return
        value = write_claim(msgspec.structs.replace(claim, answer=answer))
        try:
            self._store.update(claim.place, value, claim.version, background=True)
        except errors.StoreError:
            pass  # A repeat is then passed on to this router for as long as it lives.

    def _create(self, key: str, mine: claims.Claim) -> claims.Claim:
        try:
            version = self._store.create(key, write_claim(mine))
        except errors.StoreNotAsked as error:
            raise make_unreachable(error) from error
        except errors.Conflict:
            return self._read_winner(key)
        except errors.StoreUnavailable as error:
            return self._read_back(key, error)
        events.log(events.Event.CLAIM_WON, key=key)
        return msgspec.structs.replace(mine, place=key, version=version)

    def _read_winner(self, key: str) -> claims.Claim:
        events.log(events.Event.CLAIM_LOST, key=key)
        try:
            return read_claim(self._store.get(key)[0])
        except (errors.StoreError, ValueError) as error:
            raise errors.OutcomeUnknown(
                f"an earlier request has claimed this key: {error}",
                code="claimed",
                status=409,
                retry_after=RETRY_SECONDS,
                step="claim",
                peer="store",
            ) from error

    def _read_back(self, key: str, lost: errors.StoreUnavailable) -> claims.Claim:
        """Find out what became of a write whose answer was lost.

        The write may have taken effect, or may still do so later. What is found is
        believed; where nothing is found the request is refused, and a late write only
        makes this router the owner, which knows that it has not run it.
        """
        events.log(events.Event.STORE_ANSWER_LOST, key=key)
        try:
            value, version = self._store.get(key)
            return msgspec.structs.replace(
                read_claim(value), place=key, version=version
            )
        except (errors.StoreError, ValueError) as error:
            raise make_unreachable(lost) from error

    def _read_earlier(self, key: str) -> claims.Claim | None:
        try:
            return read_claim(self._store.get(key)[0])
        except errors.NotFound:
            return None
        except (errors.StoreError, ValueError) as error:
            raise make_unreachable(error) from error

    def _sweep(self) -> None:
        while not self._stopped.wait(SWEEP_SECONDS * (0.5 + self._random.random())):
            try:
                self._delete_old(time.time())
            except errors.StoreError:
                continue  # Another router, or the next look, deletes them.

    def _delete_old(self, now: float) -> None:
        _, other_days = claims.find_claim_days(now)
        oldest = min(other_days) - 1
        found = self._store.list_keys(f"{PREFIX}/{oldest}/", background=True)
        for key, version in list(found.items())[:SWEEP_MAX]:
            self._store.delete(key, version, background=True)


def make_key(day: int, name: claims.RequestName) -> str:
    """Return where the claim of a name stands."""
    return f"{PREFIX}/{day}/{claims.hash_name(name)}"


def make_unreachable(error: Exception) -> errors.NotRun:
    """Return the refusal while the object API is out of reach."""
    return errors.NotRun(
        "this attempt was not run, because its key can't be claimed; what became of "
        f"earlier attempts with the key is not known here: {error}",
        code="store-unreachable",
        status=503,
        retry_after=RETRY_SECONDS,
        step="claim",
        peer="store",
    )


def write_claim(claim: claims.Claim) -> bytes:
    """Return a claim as JSON."""
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


def read_claim(value: bytes) -> claims.Claim:
    """Return the claim in a JSON text; raises ValueError if it is none."""
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
        raise ValueError(f"not a claim: {error!r}") from error
