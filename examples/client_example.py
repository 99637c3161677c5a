"""Ask a fleet for a draft and a stand confirmation.

Start a fleet, then: ``python examples/client_example.py 127.0.0.1:8080 KEY``
"""

from __future__ import annotations

import sys

from celeryspan import client, errors


def run(routers: list[str], key: str) -> int:
    """Print a draft as it is written, then the answer of the gate desk."""
    fleet = client.Client(routers, key)
    question = {"role": "user", "content": "Draft a turnaround plan for stand 12."}
    try:
        for text in fleet.stream("planner-llm", [question], max_tokens=64):
            print(text, end=" ", flush=True)
        print()
        reply = fleet.call("gate-desk", "/stands/12/confirm", body=b"OK-TVS 14:05")
        print(reply.body.decode())
    except errors.NotRun as error:
        print(f"not carried out, ask again later: {error}")
        return 1
    except errors.RequestError as error:
        print(f"{error.outcome.value}, look before you ask again: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1].split(","), sys.argv[2]))
