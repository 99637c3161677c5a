"""Request a draft from a model and a stand confirmation from a plain service.

Start a fleet, then run ``python examples/client_example.py 127.0.0.1:8080 KEY``
"""

from __future__ import annotations

import sys

from celeryspan import client, errors


def run(routers: list[str], key: str) -> int:
    """Print a draft as it arrives, then the answer of the gate desk."""
    router_client = client.Client(routers, key)
    question = {"role": "user", "content": "Draft a turnaround plan for stand 12."}
    try:
        for text in router_client.stream("planner-llm", [question], max_tokens=64):
            print(text, end=" ", flush=True)
        print()
        reply = router_client.call(
            "gate-desk", "/stands/12/confirm", body=b"OK-TVS 14:05"
        )
        print(reply.body.decode())
    except errors.NotRun as error:
        print(f"the request did not run, retry later: {error}")
        return 1
    except errors.RequestError as error:
        print(f"outcome {error.outcome.value}, check before retrying: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1].split(","), sys.argv[2]))
