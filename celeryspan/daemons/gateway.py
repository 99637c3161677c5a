"""The command ``gateway``: the router daemon of the users' platform."""

from __future__ import annotations

import importlib
import itertools
import os
import pkgutil
import signal
import sys
import threading

from absl import flags

from celeryspan import events, gateway, kernel, metrics, yamlfiles
from celeryspan.daemons import registry
from celeryspan.gateway import settings, stopping
from celeryspan.platform import names
from celeryspan.services import datagrams, delivery, identity, links, membership

SHARED_MODULES = (datagrams, delivery, identity, links, membership, metrics)
"""Modules of services that both router daemons use."""

SERVICES = (
    "metrics",
    "objects",
    "links",
    "membership",
    "fleet",
    "catalogues",
    "servers",
    "poolhomes",
    "places",
    "quarantinestore",
    "carrier",
    "front",
    "directory",
    "stopping",
)
"""Services of a router; the kernel starts their dependencies before them."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", None, "File with the settings of this router.", flag_values=values
    )


@registry.command("gateway", define=_define)
def run(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Run the router of this VM on the users' platform until a signal stops it.

    Without --settings the path is read from the environment. SIGTERM begins a graceful
    stop; SIGHUP validates changed settings, which take effect at the next start.
    """
    path = values["settings"].value or os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        raise registry.UsageError("expected --settings FILE, found nothing")
    found = yamlfiles.read_file(path, settings.Settings)
    # Blocked before any thread starts, so that signals during the start stay pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))
    writer = events.open_log(sys.stdout)
    import_services()
    container = kernel.Kernel(found)
    container.start(SERVICES)
    stop: stopping.Stopping = container.find("stopping")
    threading.Thread(
        target=handle_signals, args=(stop, path), name="signals", daemon=True
    ).start()
    stop.finished.wait()
    container.stop()
    writer.write_queued()
    return registry.Exit.DONE


def import_services() -> None:
    """Import all modules of services, which registers the services."""
    for module in pkgutil.iter_modules(gateway.__path__):
        importlib.import_module(f"celeryspan.gateway.{module.name}")


def handle_signals(stop: stopping.Stopping, path: str) -> None:
    """Begin a graceful stop at the first stop signal; further ones have no effect.

    A platform that repeats its stop signal must not turn a graceful stop into one that
    interrupts requests; to end the process at once it has another signal.
    """
    for count in itertools.count(1):
        number = signal.sigwait((*STOP_SIGNALS, signal.SIGHUP))
        events.log(events.Event.SIGNAL_RECEIVED, signal=int(number), count=count)
        if number == signal.SIGHUP:
            check_settings(path)
        else:
            threading.Thread(target=stop.begin, name="stop", daemon=True).start()


def check_settings(path: str) -> None:
    """Log whether changed settings are valid; they take effect at the next start."""
    try:
        yamlfiles.read_file(path, settings.Settings)
    except* Exception as error:
        events.log(events.Event.SETTINGS_REFUSED, error=repr(error))
    else:
        events.log(events.Event.SETTINGS_READ, path=path)


def main() -> None:
    """Run this command without importing the other commands."""
    values = flags.FlagValues()
    _define(values)
    sys.exit(int(run(values([registry.__name__, *sys.argv[1:]])[1:], values)))


if __name__ == "__main__":
    main()
