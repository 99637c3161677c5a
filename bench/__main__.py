"""Runs one measurement by name: ``python -m bench NAME``."""

from __future__ import annotations

import importlib
import pathlib
import sys


def run() -> int:
    """Run the measurement that is named on the command line."""
    folder = pathlib.Path(__file__).parent
    names = sorted(
        path.stem for path in folder.glob("*.py") if "\ndef run(" in path.read_text()
    )
    names.remove("__main__")
    if len(sys.argv) < 2 or sys.argv[1] not in names:
        print(f"expected one of: {', '.join(names)}", file=sys.stderr)
        return 2
    return importlib.import_module(f"bench.{sys.argv[1]}").run(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(run())
