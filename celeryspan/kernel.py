"""A micro-kernel: starts services in order, finds them by name, stops them in reverse.

A service is a class whose constructor takes the kernel. It is put into the registry
by :func:`register` together with the names of the services that it needs; the kernel
works out the order of start from these.
"""

from __future__ import annotations

import graphlib
from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from celeryspan import errors, events


class Service(Protocol):
    """What the kernel expects of a service."""

    def start(self) -> None:
        """Begin work; raise if that is not possible."""

    def stop(self) -> None:
        """End work and give back what :meth:`start` took."""


class Registration:
    """A service's factory and the names of the services that it needs."""

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
    """Put a service class into the registry under a name."""

    def decorate(factory: ServiceClass) -> ServiceClass:
        if name in REGISTRY:
            raise ValueError(f"service {name!r} is registered twice")
        REGISTRY[name] = Registration(factory, tuple(needs))
        return factory

    return decorate


class Kernel:
    """Holds the running services of one process.

    Parameters
    ----------
    settings : object
        The validated settings of the process, for services to read.
    registry : dict, optional
        Registrations to choose from; the global registry by default.
    """

    def __init__(
        self, settings: object, registry: dict[str, Registration] | None = None
    ) -> None:
        self.settings = settings
        self._registry = REGISTRY if registry is None else registry
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    def find(self, name: str) -> Service:
        """Return the running service of this name.

        Raises
        ------
        LookupError
            If no such service has been made.
        """
        try:
            return self._services[name]
        except KeyError:
            raise LookupError(f"no service named {name!r}") from None

    def collect_reports(self) -> dict[str, dict[str, object]]:
        """Return what each service that has a ``report`` says of itself."""
        reports: dict[str, dict[str, object]] = {}
        for name, service in list(self._services.items()):
            report = getattr(service, "report", None)
            if report is not None:
                reports[name] = report()
        return reports

    def start(self, names: Iterable[str]) -> None:
        """Start the named services and all that they need, in order.

        Raises
        ------
        StartError
            If a service fails; those already started have been stopped.
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
            Of the errors of those that failed to stop, after all were asked to.
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
            raise ExceptionGroup("services that failed to stop", failures)

    def _order(self, names: Iterable[str]) -> list[str]:
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
