"""The command ``celeryspan-standin store|engine|service --port N``."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

from absl import flags

from standins import engine, service, store, web

DONE_EXIT = 0
USAGE_EXIT = 2

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

FLAGS = flags.FlagValues()

flags.DEFINE_integer(
    "port", 0, "Port on loopback; 0 lets the system choose.", flag_values=FLAGS
)
flags.DEFINE_integer(
    "slots", 8, "Calls that run at once.", lower_bound=1, flag_values=FLAGS
)
flags.DEFINE_float(
    "token_seconds", 0.01, "Time between tokens of an engine.", flag_values=FLAGS
)
flags.DEFINE_float(
    "work_seconds", 0.02, "Time that a plain call takes.", flag_values=FLAGS
)
flags.DEFINE_boolean(
    "checks_fence",
    False,
    "Whether an engine refuses orders with an old fencing number.",
    flag_values=FLAGS,
)

KINDS: dict[str, Callable[[], web.StandIn]] = {
    "store": lambda: store.Store(port=FLAGS.port),
    "engine": lambda: engine.Engine(
        port=FLAGS.port,
        slots=FLAGS.slots,
        token_seconds=FLAGS.token_seconds,
        checks_fence=FLAGS.checks_fence,
    ),
    "service": lambda: service.Service(
        port=FLAGS.port, slots=FLAGS.slots, work_seconds=FLAGS.work_seconds
    ),
}


def run() -> None:
    """Run the command line and exit."""
    sys.exit(main(sys.argv))


def main(arguments: list[str]) -> int:
    """Serve one stand-in until a signal comes."""
    if "--help" in arguments or "-h" in arguments:
        print(render_help())
        return DONE_EXIT
    try:
        rest = FLAGS(arguments)[1:]
    except flags.Error as error:
        return refuse(" ".join(str(error).split()))
    if len(rest) != 1 or rest[0] not in KINDS:
        found = " ".join(rest) or "nothing"
        return refuse(f"expected one of {', '.join(KINDS)}, found {found}")
    serve(rest[0])
    return DONE_EXIT


def serve(kind: str) -> None:
    """Serve until a signal comes."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    standin = KINDS[kind]()
    standin.start()
    print(f"{kind} listens on {standin.address}", flush=True)
    signal.sigwait(STOP_SIGNALS)
    standin.stop()


def render_help() -> str:
    """Return how the command is used."""
    lines = [f"usage: celeryspan-standin {'|'.join(KINDS)} [FLAGS]", "", "flags:"]
    for name in FLAGS:
        flag = FLAGS[name]
        lines.append(f"  --{name:<16} {flag.help} [{flag.default}]")
    return "\n".join(lines)


def refuse(message: str) -> int:
    """Print one line about a wrong command line."""
    print(f"celeryspan-standin: {message}; see --help", file=sys.stderr)
    return USAGE_EXIT


if __name__ == "__main__":
    run()
