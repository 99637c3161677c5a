"""The router daemon on the users' platform."""

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

SHARED = (datagrams, delivery, identity, links, membership, metrics)
"""Modules whose services this router has in common with the product's own."""

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
"""Services of a router; what else they need the kernel starts before them."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings", None, "File with the settings of this router.", flag_values=values
    )


@registry.command("gateway", define=_define)
def run(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Run the router of this VM on the users' platform until a signal stops it.

    Without --settings the file is the one that the environment names. SIGTERM begins a
    graceful stop; SIGHUP notes that the settings may have changed.
    """
    path = values["settings"].value or os.environ.get(names.SETTINGS_VARIABLE, "")
    if not path:
        raise registry.UsageError("expected --settings FILE, found nothing")
    found = yamlfiles.read_file(path, settings.Settings)
    # Before any thread: a signal that comes during the start must wait.
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))
    writer = events.open_log(sys.stdout)
    import_services()
    box = kernel.Kernel(found)
    box.start(SERVICES)
    stop: stopping.Stopping = box.find("stopping")
    threading.Thread(
        target=follow_signals, args=(stop, path), name="signals", daemon=True
    ).start()
    stop.finished.wait()
    box.stop()
    writer.write_queued()
    return registry.Exit.DONE


def import_services() -> None:
    """Import all modules of services, so that they register."""
    for module in pkgutil.iter_modules(gateway.__path__):
        importlib.import_module(f"celeryspan.gateway.{module.name}")


def follow_signals(stop: stopping.Stopping, path: str) -> None:
    """Begin a graceful stop at the first signal to stop; further ones change nothing.

    A platform that repeats its signal must not turn a stop that cuts nothing into one
    that does; it has another signal for that.
    """
    for count in itertools.count(1):
        number = signal.sigwait((*STOP_SIGNALS, signal.SIGHUP))
        events.log(events.Event.SIGNAL_RECEIVED, signal=int(number), count=count)
        if number == signal.SIGHUP:
            check_settings(path)
        else:
            threading.Thread(target=stop.begin, name="stop", daemon=True).start()


def check_settings(path: str) -> None:
    """Log whether changed settings are valid; they are in force from the next start."""
    try:
        yamlfiles.read_file(path, settings.Settings)
    except* Exception as error:
        events.log(events.Event.SETTINGS_REFUSED, error=repr(error))
    else:
        events.log(events.Event.SETTINGS_READ, path=path)


def main() -> None:
    """Run this command alone, without importing the others."""
    values = flags.FlagValues()
    _define(values)
    sys.exit(int(run(values([registry.__name__, *sys.argv[1:]])[1:], values)))


if __name__ == "__main__":
    main()
