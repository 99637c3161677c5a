"""The kernel service ``fleet``: routers find each other through the store.

Each router reads the objects of the others until it has met them, and writes its own if
it is not there as it should be: one that starts again writes nothing. Who is alive is
then the membership's to find out.
"""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel, storedobjects
from celeryspan.platform import names, routers

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, relays
    from celeryspan.services import identity, membership

PAUSE_FIRST = 0.25
PAUSE_MAX = 30.0
"""Pauses between two looks at the list; they double, and are the longest once all
listed routers are met. A router that nobody has met is found by the others' looks and
by its own."""


@kernel.register("fleet", needs=("identity", "objects", "membership", "relays"))
class FleetService:
    """Writes this router's object and seeds membership and relays with the others'."""

    def __init__(self, box: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = box.find("objects")
        self._client = store.client
        self._identity: identity.IdentityService = box.find("identity")
        self._membership: membership.MembershipService = box.find("membership")
        self._relays: relays.RelayService = box.find("relays")
        self._own = routers.RouterEntry(
            ids.Address.parse(box.settings.peer_address),
            ids.DataCentreId(box.settings.data_centre),
        )
        self._is_written = False
        self._random = random.Random(time.time_ns())
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Begin to look for the others."""
        self._thread.start()

    def stop(self) -> None:
        """Stop looking; the object stays for the next life of this router."""
        self._stopped.set()

    def _run(self) -> None:
        pause = PAUSE_FIRST
        while not self._stopped.is_set():
            try:
                pause = PAUSE_MAX if self._look() else min(pause * 2, PAUSE_MAX)
            except errors.StoreError as error:
                events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
            self._stopped.wait(pause * self._random.uniform(0.7, 1.0))

    def _look(self) -> bool:
        """Read where the others are, and write where this one is if the list errs.

        A list that is seconds old is enough to join through, for a tenth of the price:
        who came since is found by gossip, or at the next look.

        Returns
        -------
        bool
            Whether all listed routers are met.
        """
        listing = self._client.list_objects(names.ROUTER_KIND, is_stale=True)
        listed = dict(filter(None, map(_read, listing.objects)))
        self._is_written |= listed.get(self._identity.router) == self._own
        self._relays.set_listed_routers(listed)
        listed.pop(self._identity.router, None)
        seeds = [entry.peer_address for entry in listed.values()]
        self._membership.set_seeds(seeds)
        self._write()
        met = {member.peer_address for member in self._membership.members()}
        return bool(seeds) and met.issuperset(seeds)

    def _write(self) -> None:
        """Write the object, over that of an earlier life if it says something else."""
        if self._is_written:
            return
        name, spec = self._identity.router, routers.write(self._own)
        try:
            self._client.create(names.ROUTER_KIND, name, spec)
        except errors.Conflict:
            found = self._client.get(names.ROUTER_KIND, name)
            if found.spec != spec:
                self._client.replace(names.ROUTER_KIND, name, spec, found.revision)
        self._is_written = True


def _read(
    found: storedobjects.StoredObject,
) -> tuple[ids.RouterId, routers.RouterEntry] | None:
    try:
        return ids.RouterId(found.name), routers.read(found)
    except errors.InputError as error:
        events.log(events.Event.TASK_FAILED, task="read router", error=str(error))
        return None
