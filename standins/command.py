"""The command ``celeryspan-standin store|engine|service --port N``."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

from absl import flags

from standins import engine, service, store, web

EXIT_OK = 0
EXIT_USAGE = 2

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

FLAGS = flags.FlagValues()

flags.DEFINE_integer(
    "port", 0, "Port on loopback; 0 picks a free one.", flag_values=FLAGS
)
flags.DEFINE_integer(
    "slots",
    8,
    "Number of calls that run concurrently.",
    lower_bound=1,
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "token_seconds", 0.01, "Seconds between two tokens of an engine.", flag_values=FLAGS
)
flags.DEFINE_float(
    "work_seconds",
    0.02,
    "Seconds that a call to the plain service takes.",
    flag_values=FLAGS,
)
flags.DEFINE_boolean(
    "checks_fence",
    False,
    "Whether an engine rejects orders with an outdated fencing token.",
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
    """Parse the command line and serve one stand-in; returns the exit status."""
    if "--help" in arguments or "-h" in arguments:
        print(render_help())
        return EXIT_OK
    try:
        positional = FLAGS(arguments)[1:]
    except flags.Error as error:
        return report_usage_error(" ".join(str(error).split()))
    if len(positional) != 1 or positional[0] not in KINDS:
        found = " ".join(positional) or "nothing"
        return report_usage_error(f"expected one of {', '.join(KINDS)}, found {found}")
    serve(positional[0])
    return EXIT_OK


def serve(kind: str) -> None:
    """Serve a stand-in until SIGTERM or SIGINT arrives."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    standin = KINDS[kind]()
    standin.start()
    print(f"{kind} listens on {standin.address}", flush=True)
    signal.sigwait(STOP_SIGNALS)
    standin.stop()


def render_help() -> str:
    """Return the usage line and the flags with their defaults."""
    lines = [f"usage: celeryspan-standin {'|'.join(KINDS)} [FLAGS]", "", "flags:"]
    for name in FLAGS:
        flag = FLAGS[name]
        lines.append(f"  --{name:<16} {flag.help} [{flag.default}]")
    return "\n".join(lines)


def report_usage_error(message: str) -> int:
    """Print a usage error on one line; returns the exit status."""
    print(f"celeryspan-standin: {message}; see --help", file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    run()
