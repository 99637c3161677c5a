"""The command ``celeryspan-standin store|engine|service --port N``."""

from __future__ import annotations

import signal
import sys
import threading
from collections.abc import Callable

from absl import app, flags

from standins import engine, service, store, web

USAGE_EXIT = 2

_PORT = flags.DEFINE_integer("port", 0, "Port on loopback; 0 lets the system choose.")
_SLOTS = flags.DEFINE_integer("slots", 8, "Calls that run at once.", lower_bound=1)
_TOKEN_SECONDS = flags.DEFINE_float("token_seconds", 0.01, "Time between tokens.")
_WORK_SECONDS = flags.DEFINE_float("work_seconds", 0.02, "Time a plain call takes.")
_CHECKS_FENCE = flags.DEFINE_boolean("checks_fence", False, "Refuse old fences.")

KINDS: dict[str, Callable[[], web.StandIn]] = {
    "store": lambda: store.Store(port=_PORT.value),
    "engine": lambda: engine.Engine(
        port=_PORT.value,
        slots=_SLOTS.value,
        token_seconds=_TOKEN_SECONDS.value,
        checks_fence=_CHECKS_FENCE.value,
    ),
    "service": lambda: service.Service(
        port=_PORT.value, slots=_SLOTS.value, work_seconds=_WORK_SECONDS.value
    ),
}


def run() -> None:
    """Run the command line."""
    app.run(main)


def main(arguments: list[str]) -> int:
    """Serve one stand-in until a signal comes."""
    if len(arguments) != 2 or arguments[1] not in KINDS:
        found = " ".join(arguments[1:]) or "nothing"
        print(f"expected one of {', '.join(KINDS)}, found {found}", file=sys.stderr)
        return USAGE_EXIT
    standin = KINDS[arguments[1]]()
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    standin.start()
    print(f"{arguments[1]} listens on {standin.address}", flush=True)
    stop.wait()
    standin.stop()
    return 0


if __name__ == "__main__":
    run()
