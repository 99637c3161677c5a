"""The kernel's start and stop order, and a failed start."""

from __future__ import annotations

import pytest

from celeryspan import errors, kernel


def make_registry(trace: list[str], failing: str = "") -> dict:
    """Return services c -> b -> a that append their starts and stops to a trace."""

    def make(name: str) -> type:
        class Recorder:
            def __init__(self, _container: kernel.Kernel) -> None:
                pass

            def start(self) -> None:
                if name == failing:
                    raise OSError("address in use")
                trace.append(f"start {name}")

            def stop(self) -> None:
                trace.append(f"stop {name}")

        return Recorder

    needs = {"a": (), "b": ("a",), "c": ("b", "a")}
    return {name: kernel.Registration(make(name), needs[name]) for name in needs}


def test_starts_in_dependency_order_and_stops_in_reverse() -> None:
    trace: list[str] = []
    container = kernel.Kernel(None, make_registry(trace))
    container.start(["c"])
    container.stop()
    assert trace == ["start a", "start b", "start c", "stop c", "stop b", "stop a"]


def test_failed_start_names_the_service_and_stops_the_others() -> None:
    trace: list[str] = []
    container = kernel.Kernel(None, make_registry(trace, failing="b"))
    with pytest.raises(errors.StartError, match=r"'b'.*address in use"):
        container.start(["c"])
    assert trace == ["start a", "stop a"]
