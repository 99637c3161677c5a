"""The router daemon: settings, log, kernel, signals."""

from __future__ import annotations

import importlib
import itertools
import pkgutil
import signal
import sys
import threading
from typing import IO, TYPE_CHECKING, Protocol

import cherrypy
from absl import flags

from celeryspan import events, inputs, kernel, metrics, services
from celeryspan.daemons import registry

if TYPE_CHECKING:
    from celeryspan import settings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

SERVICES = (
    "metrics",
    "store",
    "configuration",
    "links",
    "membership",
    "vmlist",
    "dispatch",
    "homes",
    "loads",
    "backends",
    "claims",
    "pressures",
    "orders",
    "caller",
    "drain",
)
"""Services of a router; what else they need the kernel starts before them."""


class Drain(Protocol):
    """What the service ``drain`` offers to the daemon.

    Attributes
    ----------
    finished : Event
        Set once nothing is in progress any more and the process may end, whoever
        began the stop: a signal, an operator, or a planned stop in the rules.
    """

    finished: threading.Event

    def begin(self) -> None:
        """Begin a graceful stop; a second call does nothing."""


class Router:
    """One router: the services of one kernel, and how they end.

    Parameters
    ----------
    values : Settings
        The validated settings.

    Attributes
    ----------
    kernel : Kernel
        Finds the services by name.
    """

    def __init__(self, values: settings.Settings) -> None:
        cherrypy.log.screen = False  # All logs are events.
        import_services()
        self.kernel = kernel.Kernel(values)

    def start(self) -> None:
        """Start all services.

        Raises
        ------
        StartError
            If one fails; the others have been stopped.
        """
        self.kernel.start(SERVICES)

    def stop(self) -> None:
        """Stop all services at once; requests in progress are cut."""
        self.kernel.stop()


def import_services() -> None:
    """Import all modules of services, so that they register."""
    assert metrics
    for module in pkgutil.iter_modules(services.__path__):
        importlib.import_module(f"celeryspan.services.{module.name}")


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", None, "File with the settings of this router.", flag_values=values
    )


@registry.command("router", define=_define)
def run(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Run the router of this VM until a signal stops it.

    The first SIGTERM or SIGINT begins a graceful stop: the router leaves the answer of
    'celeryspan addresses', finishes the requests it has accepted and exits with 0. A
    second signal ends it at once; requests in progress are then cut, and listed in
    the log.
    """
    found = inputs.read_settings(registry.require(values, "settings", "FILE"))
    # Before the log's thread, which would otherwise take a signal and end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    with open_log(found.log_file) as log:
        writer = events.open_log(log)
        try:
            return serve(Router(found))
        finally:
            writer.write_queued()


def serve(found: Router) -> registry.Exit:
    """Run a router until it has been stopped.

    Signals are blocked before any thread starts and taken by a task of their own. A
    handler could interrupt the main thread while it holds the lock that the handler
    needs, and a signal during the start would end the process without a drain: seen
    as a router that ignores SIGTERM, or that exits with -15.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    found.start()
    drain: Drain = found.kernel.find("drain")
    threading.Thread(
        target=follow_signals, args=(drain,), name="signals", daemon=True
    ).start()
    drain.finished.wait()
    found.stop()
    return registry.Exit.DONE


def follow_signals(drain: Drain) -> None:
    """Begin a graceful stop at the first signal, and end it at the next."""
    for count in itertools.count(1):
        number = signal.sigwait(STOP_SIGNALS)
        events.log(events.Event.SIGNAL_RECEIVED, signal=int(number), count=count)
        if count == 1:
            threading.Thread(target=drain.begin, name="drain", daemon=True).start()
        else:
            drain.finished.set()


def open_log(path: str) -> IO[str]:
    """Return the file that the log goes to; the standard error output by default."""
    if path:
        return open(path, "a", encoding="utf-8", buffering=1)
    return open(sys.stderr.fileno(), "a", encoding="utf-8", closefd=False, buffering=1)
