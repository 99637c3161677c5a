"""The commands ``quarantine`` and ``release``."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from celeryspan.daemons import command, registry
from celeryspan.platform import quarantine as records
from celeryspan.wire import messages
from standins import objects
from tests.gateway import support, test_quarantines

EXIT = registry.Exit
KIND = "celeryspan-quarantine"


@pytest.fixture
def store() -> Iterator[objects.ObjectStore]:
    """Return a running store without a quarantine record."""
    found = objects.ObjectStore()
    found.start()
    yield found
    found.stop()


def put(store: objects.ObjectStore, whole: int, crashes: int) -> None:
    """Store a record with one request and its crashes."""
    now_ms = time.time_ns() // 1_000_000
    strikes = tuple(
        messages.Strike(f"gpu-{n}@0", now_ms + n, n, 100 + n, True)
        for n in range(1, crashes + 1)
    )
    spec = records.write([messages.Suspect(1, whole, 0, strikes)])
    store.put(KIND, "main", spec)


def run(store: objects.ObjectStore, *arguments: str) -> registry.Exit:
    """Run a command against a store."""
    return command.main([*arguments, "--store", str(store.address)])


def test_empty_quarantine_prints_a_message(store, capsys) -> None:
    assert run(store, "quarantine") is EXIT.DONE
    assert capsys.readouterr().out == "no request is in quarantine\n"


def test_quarantined_request_is_shown_with_its_crashes(store, capsys) -> None:
    put(store, 0xAB, 3)
    assert run(store, "quarantine") is EXIT.DONE
    printed = capsys.readouterr().out
    for text in ("00000000000000ab", "quarantined", "gpu-1", "gpu-3", "101, 102, 103"):
        assert text in printed


def test_suspects_are_shown_with_all(store, capsys) -> None:
    put(store, 0xAB, 1)
    run(store, "quarantine")
    assert "00ab" not in capsys.readouterr().out
    run(store, "quarantine", "--all")
    assert "00000000000000ab" in capsys.readouterr().out


@pytest.mark.parametrize("text", ["ab", "zz" * 8, ""])
def test_invalid_fingerprint_is_a_usage_error(store, capsys, text: str) -> None:
    assert run(store, "release", text) is EXIT.USAGE
    assert "expected a fingerprint of 16 hexadecimal digits" in capsys.readouterr().err


def test_release_of_an_unknown_request_fails(store, capsys) -> None:
    assert run(store, "release", "ab" * 8) is EXIT.FAILED
    assert "no crash counts against" in capsys.readouterr().out


def test_released_request_is_sent_again() -> None:
    with support.open_cluster() as cluster:
        server = cluster.add_server("gate-1")
        router = cluster.start_router()
        test_quarantines.add_strikes(router, b"mended", 3)
        support.wait_for(lambda: cluster.store.find(KIND, "main"))
        assert router.call("/bookings/1", body=b"mended").status == 429
        name = str(test_quarantines.compute_fingerprint(router, b"mended"))
        assert run(cluster.store, "release", name) is EXIT.DONE
        support.wait_for(
            lambda: router.call("/bookings/1", "r2", body=b"mended").status == 200
        )
        assert server.ran == ["r2"]
