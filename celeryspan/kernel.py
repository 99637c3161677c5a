"""A micro-kernel: starts services in order, finds them by name, stops them in reverse.

A service is a class whose constructor takes the kernel. :func:`register` adds it to the
registry with the names of the services that it depends on; the kernel derives the start
order from these dependencies.
"""

from __future__ import annotations

import graphlib
from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from celeryspan import errors, events


class Service(Protocol):
    """Interface of a service that the kernel can run."""

    def start(self) -> None:
        """Start the service, or raise an exception if it cannot run."""

    def stop(self) -> None:
        """Stop the service and release what :meth:`start` acquired."""


class Registration:
    """The factory of a service and the names of its dependencies."""

    def __init__(
        self, factory: Callable[[Kernel], Service], needs: tuple[str, ...]
    ) -> None:
        self.factory = factory
        self.needs = needs


ServiceClass = TypeVar("ServiceClass", bound=Callable[..., Service])

REGISTRY: dict[str, Registration] = {}


def register(
    name: str, *, needs: Iterable[str] = ()
) -> Callable[[ServiceClass], ServiceClass]:
    """Register a service class under a name.

    Parameters
    ----------
    needs : iterable of str
        Names of the services that must be started before this one.
    """

    def decorate(factory: ServiceClass) -> ServiceClass:
        if name in REGISTRY:
            raise ValueError(f"service {name!r} is already registered")
        REGISTRY[name] = Registration(factory, tuple(needs))
        return factory

    return decorate


class Kernel:
    """Runs the services of a router.

    Parameters
    ----------
    settings : object
        The validated settings, which services read.
    registry : dict, optional
        Available services by name; the global registry by default.
    """

    def __init__(
        self, settings: object, registry: dict[str, Registration] | None = None
    ) -> None:
        self.settings = settings
        self._registry = REGISTRY if registry is None else registry
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    def find(self, name: str) -> Service:
        """Return the service with this name.

        Raises
        ------
        LookupError
            If the kernel has not created such a service, or has stopped.
        """
        try:
            return self._services[name]
        except KeyError:
            raise LookupError(f"no service named {name!r}") from None

    def collect_reports(self) -> dict[str, dict[str, object]]:
        """Return the report of each service that has a ``report`` method, by name."""
        reports: dict[str, dict[str, object]] = {}
        for name, service in list(self._services.items()):
            report = getattr(service, "report", None)
            if report is not None:
                reports[name] = report()
        return reports

    def start(self, names: Iterable[str]) -> None:
        """Start the named services and their dependencies, in dependency order.

        Raises
        ------
        StartError
            If a service is unknown or fails to start; services that were already
            started are stopped.
        """
        for name in self._order(names):
            try:
                service = self._registry[name].factory(self)
                self._services[name] = service
                service.start()
            except Exception as error:
                self.stop()
                raise errors.StartError(
                    f"service {name!r} did not start: {error}", step="start", peer=name
                ) from error
            self._started.append(name)
            events.log(events.Event.SERVICE_STARTED, service=name)

    def stop(self) -> None:
        """Stop all started services in reverse order.

        Raises
        ------
        ExceptionGroup
            If services failed to stop; raised after all others were stopped.
        """
        failures: list[Exception] = []
        while self._started:
            name = self._started.pop()
            try:
                self._services[name].stop()
            except Exception as error:
                failures.append(error)
            events.log(events.Event.SERVICE_STOPPED, service=name)
        self._services.clear()
        if failures:
            raise ExceptionGroup("services failed to stop", failures)

    def _order(self, names: Iterable[str]) -> list[str]:
        """Return services and their dependencies in start order."""
        graph: dict[str, tuple[str, ...]] = {}
        pending = list(names)
        while pending:
            name = pending.pop()
            if name in graph:
                continue
            if name not in self._registry:
                raise errors.StartError(f"no service named {name!r}", step="start")
            graph[name] = self._registry[name].needs
            pending.extend(graph[name])
        return list(graphlib.TopologicalSorter(graph).static_order())
