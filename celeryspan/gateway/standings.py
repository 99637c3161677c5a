"""Looks up how a request is treated, by its fingerprint and by its features."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celeryspan.decisions import quarantine

if TYPE_CHECKING:
    from celeryspan.decisions import suspectfeatures
    from celeryspan.gateway import crashwatch, orders, requestprogress

SEVERITY = (
    quarantine.Standing.CLEAR,
    quarantine.Standing.SUSPECT,
    quarantine.Standing.ISOLATED,
    quarantine.Standing.QUARANTINED,
)
"""Standings, the strictest last."""

CLEAR = (quarantine.Standing.CLEAR, 0)


class Standings:
    """Looks up the standings of requests in one router's record of suspects."""

    def __init__(
        self, suspects: quarantine.Quarantine, crash_watch: crashwatch.CrashWatch
    ) -> None:
        self._suspects = suspects
        self._crashwatch = crash_watch

    def find(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> tuple[quarantine.Standing, int]:
        """Return the strictest standing, and the narrowest suspect that has it.

        No request is hashed while there are no suspects, so the check then costs
        nothing.
        """
        if self._suspects.is_empty:
            return CLEAR
        strictest = CLEAR
        for value in self.list_values(order, progress):
            standing = self._suspects.find_standing(value)
            if SEVERITY.index(standing) > SEVERITY.index(strictest[0]):
                strictest = (standing, value)
        return strictest

    def list_values(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> list[int]:
        """Return the values under which a request may be suspected, narrowest first."""
        if progress.scope is None:
            progress.scope = self._crashwatch.compute_scope(order)
        is_known = progress.fingerprint is not None
        if not is_known and self._suspects.may_be_suspect(progress.scope):
            progress.fingerprint = self._crashwatch.compute_fingerprint(order)
        values = [progress.fingerprint.whole] if progress.fingerprint else []
        if self._suspects.has_features:
            values += [each.value for each in self.list_features(order, progress)]
        return values

    def list_features(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> tuple[suspectfeatures.Feature, ...]:
        """Return the features that a request shares with others."""
        if progress.features is None:
            progress.features = self._crashwatch.compute_features(order)
        return progress.features
