"""The kernel service ``loads``: asks the backend servers kept here for their load.

Each server has one home, so that each is asked once a second by the whole fleet,
however large the fleet is.
"""

from __future__ import annotations

import threading
import time
from concurrent import futures
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel
from celeryspan.adapters import load

if TYPE_CHECKING:
    from celeryspan.services import configuration as configuration_service, homes

POLL_SECONDS = 1.0
"""Reports lag by seconds anyway; a node asks about 8 servers of 10,000 / 1,300."""

TASKS = 4
"""Servers asked at once; a silent one holds one task for the timeout."""


@kernel.register("loads", needs=("configuration", "homes"))
class LoadsService:
    """Polls load reports and hands them to the homes."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        self._homes: homes.HomesService = box.find("homes")
        self._pool = futures.ThreadPoolExecutor(TASKS, "loads")
        self._client = load.LoadClient()
        self._asked: set[ids.ServerId] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="loads", daemon=True)

    def start(self) -> None:
        """Begin to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; a poll under way ends by itself."""
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            for server in self._homes.servers():
                if server not in self._asked:
                    self._asked.add(server)
                    self._pool.submit(self._ask, server)

    def _ask(self, server: ids.ServerId) -> None:
        try:
            current = self._configuration.current()
            entry = current.servers.get(server) if current else None
            if entry is not None:
                address = ids.Address.parse(entry.address)
                found = self._client.read(server, address, time.monotonic())
                self._homes.take_load(server, found)
        except errors.CeleryspanError:
            pass  # A server without a report keeps its window; its answers tell more.
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task="loads", error=repr(error))
        finally:
            self._asked.discard(server)
