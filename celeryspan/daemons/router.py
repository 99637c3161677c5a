"""The command ``router``: the router daemon."""

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
"""Services of a router; the kernel starts their dependencies before them."""


class Drain(Protocol):
    """Interface of the service ``drain`` that the daemon uses.

    Attributes
    ----------
    finished : Event
        Set when no request is in progress any more and the process may exit. A stop is
        begun by a signal, an operator or a planned stop in the rules.
    """

    finished: threading.Event

    def begin(self) -> None:
        """Begin a graceful stop; further calls have no effect."""


class Router:
    """A router: the kernel and its services.

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
        cherrypy.log.screen = False  # The daemon logs events only.
        import_services()
        self.kernel = kernel.Kernel(values)

    def start(self) -> None:
        """Start all services.

        Raises
        ------
        StartError
            If a service fails to start; the others are stopped.
        """
        self.kernel.start(SERVICES)

    def stop(self) -> None:
        """Stop all services immediately, interrupting requests in progress."""
        self.kernel.stop()


def import_services() -> None:
    """Import all modules of services, which registers the services."""
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

    The first SIGTERM or SIGINT begins a graceful stop: the router is removed from the
    output of 'celeryspan addresses', completes the requests it has accepted and exits
    with 0. A second signal stops it immediately; the requests that this interrupts are
    listed in the log.
    """
    found = inputs.read_settings(registry.require(values, "settings", "FILE"))
    # Blocked before the log thread starts: a signal delivered to that thread would end
    # the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    with open_log(found.log_file) as log:
        writer = events.open_log(log)
        try:
            return serve(Router(found))
        finally:
            writer.write_queued()


def serve(instance: Router) -> registry.Exit:
    """Run a router until it stops.

    Signals are blocked before any thread starts and handled by a dedicated thread. A
    signal handler could interrupt the main thread while it holds a lock that the
    handler needs, so that the router would not react to SIGTERM. A signal during the
    start would end the process with exit code -15, without a drain.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    instance.start()
    drain: Drain = instance.kernel.find("drain")
    threading.Thread(
        target=handle_signals, args=(drain,), name="signals", daemon=True
    ).start()
    drain.finished.wait()
    instance.stop()
    return registry.Exit.DONE


def handle_signals(drain: Drain) -> None:
    """Begin a graceful stop at the first signal and abort it at the second."""
    for count in itertools.count(1):
        number = signal.sigwait(STOP_SIGNALS)
        events.log(events.Event.SIGNAL_RECEIVED, signal=int(number), count=count)
        if count == 1:
            threading.Thread(target=drain.begin, name="drain", daemon=True).start()
        else:
            drain.finished.set()


def open_log(path: str) -> IO[str]:
    """Open the log file; standard error if no path is given."""
    if path:
        return open(path, "a", encoding="utf-8", buffering=1)
    return open(sys.stderr.fileno(), "a", encoding="utf-8", closefd=False, buffering=1)
