"""The commands ``evacuate``, ``restore`` and ``evacuations``."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from celeryspan.daemons import command, registry
from standins import objects, sampleconfig

EXIT = registry.Exit
KIND = "evacuations"


@pytest.fixture
def store() -> Iterator[objects.ObjectStore]:
    """Return a running store with one server."""
    found = objects.ObjectStore()
    found.start()
    found.put("servers", "s1", sampleconfig.make_entry("gate", "10.0.0.1:80"))
    yield found
    found.stop()


def run(store: objects.ObjectStore, *arguments: str) -> registry.Exit:
    """Run a command against a store."""
    return command.main([*arguments, "--store", str(store.address)])


def test_evacuation_is_written_shown_and_taken_back(store, capsys) -> None:
    assert run(store, "evacuate", "hala-a") is EXIT.DONE
    assert store.find(KIND, "hala-a") is not None
    assert run(store, "evacuations") is EXIT.DONE
    assert capsys.readouterr().out == "hala-a is being evacuated\nhala-a\n"
    assert run(store, "restore", "hala-a") is EXIT.DONE
    assert store.find(KIND, "hala-a") is None
    run(store, "evacuations")
    assert capsys.readouterr().out == "hala-a is restored\nnone\n"


def test_unknown_data_centre_is_a_usage_error(store, capsys) -> None:
    """An operator mistypes the name and believes that the data centre is empty."""
    assert run(store, "evacuate", "hala-z") is EXIT.USAGE
    message = "expected a data centre with servers (hala-a), found 'hala-z'"
    assert message in capsys.readouterr().err
    assert store.find(KIND, "hala-z") is None


def test_repeated_commands_change_nothing(store, capsys) -> None:
    run(store, "evacuate", "hala-a")
    assert run(store, "evacuate", "hala-a") is EXIT.DONE
    run(store, "restore", "hala-a")
    assert run(store, "restore", "hala-a") is EXIT.FAILED
    assert "hala-a is not evacuated" in capsys.readouterr().out
