"""Order of what is read from the store, also after it was restored from a copy.

Revisions order the writes of one era. When the store comes back from a copy some
seconds old, its next era begins: the revisions since the copy are given out again, and
objects look as they did. A router that compares revisions alone ignores what is written
until they exceed the known ones; one that takes the copy for new serves revoked keys
and sends requests to servers that have left.

* What one router knew of an object holds against an older state in the copy until the
  object is written again, or for a limited time.
* The configuration in force is replaced only by one with a higher version, or by a
  later write of the same era.
* A router that states no era is of an earlier build. It counts as being in the same era
  until the store is restored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from celeryspan import ids, storedobjects

REMOVAL_RETENTION_SECONDS = 60.0
"""How long the removal of an object is remembered while the store answers; a copy is
seconds old."""

Objects = Mapping[str, storedobjects.StoredObject]

Rank = tuple[float, bool]
"""Order of what routers knew of one object before a restoration: the revision of its
last change, and whether it was removed after that."""

NOT_KNOWN: Rank = (0, False)

SETTLED: Rank = (float("inf"), True)
"""Above all that was known: the object was written since, or a hold has ended."""


def resolve_era(stated: ids.Era, known: ids.Era, *, is_restored: bool) -> ids.Era:
    """Return the era of what another router states.

    Parameters
    ----------
    known : Era
        Era of the receiver.
    is_restored : bool
        Whether the receiver has seen a restoration. The revisions of a router that
        states no era can't be compared with its own any more.
    """
    if stated == ids.NO_ERA and not is_restored:
        return known
    return stated


class ConfigurationStamp(msgspec.Struct, frozen=True):
    """What orders two configurations.

    Attributes
    ----------
    version : int
        Number that operators give; it rises with each configuration they write.
    """

    era: ids.Era
    revision: int
    version: int

    def supersedes(self, other: ConfigurationStamp) -> bool:
        """Whether this configuration replaces another one.

        In one era the store knows the order. Between eras the operators' versions do,
        as a copy shows an older configuration in a later era.
        """
        if self.era == other.era:
            return self.revision > other.revision
        return (self.version, self.era) > (other.version, other.era)


NO_CONFIGURATION = ConfigurationStamp(ids.NO_ERA, 0, 0)


def _never_yields(
    _: storedobjects.StoredObject, __: storedobjects.StoredObject
) -> bool:
    return False


class HoldPolicy(msgspec.Struct, frozen=True):
    """How long objects of one kind hold against a copy.

    Attributes
    ----------
    seconds : float
        For an object or a removal that the copy contradicts.
    missing_seconds : float
        For an object that the copy lacks.
    yields : callable
        Whether a known object yields to the listed one at once.
    """

    seconds: float
    missing_seconds: float
    yields: Callable[[storedobjects.StoredObject, storedobjects.StoredObject], bool] = (
        _never_yields
    )


class Hold(msgspec.Struct, frozen=True):
    """Knowledge of one object that holds against the copy.

    Attributes
    ----------
    known : Change
        Its last known state, or its removal.
    expires_at : float
        Monotonic time, in seconds.
    """

    known: storedobjects.Change
    expires_at: float

    @property
    def object(self) -> storedobjects.StoredObject | None:
        """The object as it holds; None if it was removed."""
        return None if self.known.is_deleted else self.known.object


class _Removal(msgspec.Struct, frozen=True):
    """The last state of a removed object, and when its removal was learned."""

    object: storedobjects.StoredObject
    at: float


def find_copied_revision(before: Objects, listed: Objects) -> int:
    """Return the highest revision that the copy is known to hold; 0 if none is.

    Parameters
    ----------
    before, listed : mapping of str to StoredObject
        The objects as listed in the era before, and by the restored store.
    """
    return max(
        (
            found.revision
            for name, found in listed.items()
            if name in before
            and found == msgspec.structs.replace(before[name], era=found.era)
        ),
        default=0,
    )


class HeldObjects:
    """What a router knew of the objects of one kind, where a copy contradicts it.

    Parameters
    ----------
    policy : HoldPolicy
    """

    def __init__(self, policy: HoldPolicy) -> None:
        self._policy = policy
        self._holds: dict[str, Hold] = {}
        self._removals: dict[str, _Removal] = {}
        # Only what ranks higher is taken from other routers.
        self._settled: dict[str, Rank] = {}
        self._era_began_at = float("-inf")

    def begin_era(self, before: Objects, listed: Objects, now: float) -> None:
        """Compare the first list of an era with what was known before.

        Parameters
        ----------
        before : mapping of str to StoredObject
            The objects as the store listed them last; empty for a router that has just
            started.
        """
        known, removed = self._collect_known(before)
        self._holds = {}
        self._settled = {
            name: (found.revision, True) for name, found in removed.items()
        } | {name: (found.revision, False) for name, found in known.items()}
        self._era_began_at = now
        copied = find_copied_revision(before, listed)
        for name, found in known.items():
            # The copy held what was listed up to its revision. Revisions of objects
            # that hold since an earlier era can't be compared.
            was_copied = name in before and found.revision <= copied
            if name not in listed and was_copied:
                self._removals[name] = _Removal(found, now)
                self._settled[name] = SETTLED
            else:
                self._hold(storedobjects.Change(found, False), listed, now)
        for name in removed.keys() - known.keys():
            self._hold(storedobjects.Change(removed[name], True), listed, now)
            if name in listed and name not in self._holds:
                self._removals.pop(name, None)

    def replace(self, before: Objects, listed: Objects, now: float) -> None:
        """Record a list of the same era."""
        for name in before.keys() - listed.keys():
            self._record_written(storedobjects.Change(before[name], True), now)
        for name, found in listed.items():
            if before.get(name) != found:
                self._record_written(storedobjects.Change(found, False), now)

    def apply(self, changes: Iterable[storedobjects.Change], now: float) -> None:
        """Record changes of the same era: they end the holds of their objects."""
        for change in changes:
            self._record_written(change, now)

    def receive(
        self, known: Iterable[storedobjects.Change], listed: Objects, now: float
    ) -> bool:
        """Hold what another router holds in the same era.

        Returns
        -------
        bool
            Whether any of it was news.
        """
        is_news = False
        for change in known:
            name, rank = change.object.name, (change.object.revision, change.is_deleted)
            if rank > self._settled.get(name, NOT_KNOWN):
                self._settled[name] = rank
                is_news |= self._hold(change, listed, now)
        return is_news

    def expire(self, listed: Objects, answered_at: float, now: float) -> list[str]:
        """End the holds that have lasted long enough; return their names.

        Parameters
        ----------
        answered_at : float
            Time of the store's last answer. What is removed shortly before an outage
            may be in the copy that ends it.
        """
        forgotten_at = answered_at - REMOVAL_RETENTION_SECONDS
        for name in [
            name
            for name, removal in self._removals.items()
            if removal.at <= forgotten_at
        ]:
            del self._removals[name]
        expired = [name for name, hold in self._holds.items() if hold.expires_at <= now]
        for name in expired:
            hold = self._holds.pop(name)
            self._settled[name] = SETTLED
            if name in listed:
                self._removals.pop(name, None)
            elif hold.object is not None:
                self._removals[name] = _Removal(hold.object, now)
        if not self._may_hold(now):
            self._settled.clear()
        return expired

    def list_all(self) -> list[Hold]:
        """Return all holds."""
        return list(self._holds.values())

    def overlay(self, listed: Objects) -> Iterator[storedobjects.StoredObject]:
        """Yield the objects in force, given those that the store lists."""
        for name, found in listed.items():
            if name not in self._holds:
                yield found
        for hold in self._holds.values():
            if hold.object is not None:
                yield hold.object

    def _collect_known(
        self, before: Objects
    ) -> tuple[
        dict[str, storedobjects.StoredObject], dict[str, storedobjects.StoredObject]
    ]:
        """Return the objects in force by name, and the last states of removed ones."""
        known = dict(before)
        removed = {name: removal.object for name, removal in self._removals.items()}
        for name, hold in self._holds.items():
            if hold.object is None:
                known.pop(name, None)
                removed[name] = hold.known.object
            else:
                known[name] = hold.object
        return known, removed

    def _hold(self, change: storedobjects.Change, listed: Objects, now: float) -> bool:
        """Hold what is known of an object if the copy contradicts it."""
        known, found = change.object, listed.get(change.object.name)
        if change.is_deleted:
            if found is None or found.revision > known.revision:
                return False
            seconds = self._policy.seconds
        elif found is None:
            seconds = self._policy.missing_seconds
        else:
            # A copy shows no object with a higher revision than its last one, nor
            # another one with the same: such an object was written since.
            if found.revision >= known.revision or self._policy.yields(known, found):
                return False
            seconds = self._policy.seconds
        expires_at = self._era_began_at + seconds
        if now >= expires_at:
            return False
        self._holds[known.name] = Hold(change, expires_at)
        return True

    def _record_written(self, change: storedobjects.Change, now: float) -> None:
        name = change.object.name
        self._holds.pop(name, None)
        if self._may_hold(now):
            self._settled[name] = SETTLED
        if change.is_deleted:
            self._removals[name] = _Removal(change.object, now)
        else:
            self._removals.pop(name, None)

    def _may_hold(self, now: float) -> bool:
        """Whether the era is young enough for objects of earlier ones to hold."""
        longest = max(self._policy.seconds, self._policy.missing_seconds)
        return now < self._era_began_at + longest
