"""The kernel service ``loads``: polls the load of the servers homed on this router.

Each server has one home, so it is polled once a second, whatever the size of the fleet.
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

# Interval between polls of a server. Load reports lag by seconds in any case. With
# 10,000 servers and 1,300 routers, each router polls about 8 servers.
POLL_SECONDS = 1.0

# Servers polled at once. One that does not answer occupies a thread until the timeout.
MAX_CONCURRENT_POLLS = 4


@kernel.register("loads", needs=("configuration", "homes"))
class LoadsService:
    """Polls load reports and passes them to the ``homes`` service."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        self._homes: homes.HomesService = container.find("homes")
        self._pool = futures.ThreadPoolExecutor(MAX_CONCURRENT_POLLS, "loads")
        self._client = load.LoadClient()
        self._polling: set[ids.ServerId] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="loads", daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; polls in progress end on their own."""
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            for server in self._homes.servers():
                if server not in self._polling:
                    self._polling.add(server)
                    self._pool.submit(self._poll, server)

    def _poll(self, server: ids.ServerId) -> None:
        try:
            current = self._configuration.current()
            entry = current.servers.get(server) if current else None
            if entry is not None:
                address = ids.Address.parse(entry.address)
                report = self._client.read(server, address, time.monotonic())
                self._homes.record_load(server, report)
        except errors.CeleryspanError:
            pass  # The server keeps its window; failures show in its answers.
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task="loads", error=repr(error))
        finally:
            self._polling.discard(server)
