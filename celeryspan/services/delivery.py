"""The kernel service ``delivery``: messages to any router, this one included.

A router is home of some backend servers and asks homes for slots at the same time.
What it sends to itself takes the same way as what comes from a peer: through a queue
and a task of its own, so that no handler runs inside another one's lock.
"""

from __future__ import annotations

import collections
import queue
import threading
from typing import TYPE_CHECKING

from celeryspan import events, ids, kernel
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import identity, links


@kernel.register("delivery", needs=("identity", "links"))
class DeliveryService:
    """Sends to peers by their links and to this router by a queue."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._links: links.LinksService = box.find("links")
        self._handlers: dict[type, list[links.Handler]] = collections.defaultdict(list)
        self._queue: queue.SimpleQueue[messages.Message | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="delivery", daemon=True)

    def start(self) -> None:
        """Begin to deliver."""
        self._thread.start()

    def stop(self) -> None:
        """End after what is in the queue."""
        self._queue.put(None)
        self._thread.join()

    def subscribe(self, kind: type, handler: links.Handler) -> None:
        """Call a handler with each message of a kind, wherever it comes from."""
        self._handlers[kind].append(handler)
        self._links.subscribe(kind, handler)

    def send(self, router: ids.RouterId, message: messages.Message) -> None:
        """Send a message; never waits for the receiver."""
        if router == self._identity.router:
            self._queue.put(message)
        else:
            self._links.send(router, message, is_urgent=True)

    def _run(self) -> None:
        while (message := self._queue.get()) is not None:
            for handler in self._handlers[type(message)]:
                try:
                    handler(self._identity.router, self._identity.incarnation, message)
                except Exception as error:
                    # One malformed state must not end all scheduling of this router,
                    # which would show as requests that wait for ever.
                    events.log(
                        events.Event.TASK_FAILED, task="delivery", error=repr(error)
                    )
