"""The demo of the platform's routers."""

from __future__ import annotations

from celeryspan.daemons import command, registry


def test_demo_answers_every_request(capsys) -> None:
    assert command.main(["demo-platform"]) is registry.Exit.DONE
    last = capsys.readouterr().out.splitlines()[-1]
    assert last.startswith("asked 200, answered 200, ran_twice 0, ")
