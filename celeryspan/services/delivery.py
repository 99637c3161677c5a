"""The kernel service ``delivery``: sends messages to any router, including this one.

A router is home of some backend servers and also requests slots from homes. Messages
to itself go through a queue and a separate thread, as messages from a peer do, so that
no handler runs while another one holds its lock.
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
    """Sends to peers over their links and to this router through a queue."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._links: links.LinksService = container.find("links")
        self._handlers: dict[type, list[links.Handler]] = collections.defaultdict(list)
        self._queue: queue.SimpleQueue[messages.Message | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="delivery", daemon=True)

    def start(self) -> None:
        """Start delivering."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after delivering the queued messages."""
        self._queue.put(None)
        self._thread.join()

    def subscribe(self, kind: type, handler: links.Handler) -> None:
        """Call a handler with each message of a kind, from peers or this router."""
        self._handlers[kind].append(handler)
        self._links.subscribe(kind, handler)

    def send(self, router: ids.RouterId, message: messages.Message) -> None:
        """Send a message without waiting for the receiver."""
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
                    # An error in one handler must not end the delivery thread: all
                    # requests of this router would wait forever.
                    events.log(
                        events.Event.TASK_FAILED, task="delivery", error=repr(error)
                    )
