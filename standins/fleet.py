"""A small fleet in one process: stand-ins and routers on loopback."""

from __future__ import annotations

import dataclasses
import hashlib
import time

from celeryspan import (
    configuration,
    errors,
    ids,
    publishing,
    register,
    rules,
    settings,
    states,
)
from celeryspan.adapters import routers, store as store_adapter
from celeryspan.daemons import router
from standins import engine, ports, service, store, web

FLEET_KEY = "fleet-key-of-the-demo"
OPERATOR_KEY = "operator-key-of-the-demo"

DATA_CENTRES = ("hala-a", "hala-b", "hala-c")
MODEL = "planner-llm"
GATE = "gate-desk"

READY_TIMEOUT_SECONDS = 15.0
"""Time limit for all routers to discover each other and load a configuration."""

POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Sizes and speeds of a fleet.

    Attributes
    ----------
    accounts : tuple of str
        Names of the client accounts; the key of an account is its name.
    token_seconds : float
        Time between two tokens of an engine, in seconds.
    answer_tokens : float
        Median length of the engines' answers in tokens; 0 uses the ``max_tokens`` of
        each request.
    """

    accounts: tuple[str, ...]
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    routers: int = 3
    engines: int = 4
    engine_slots: int = 4
    gates: int = 2
    gate_slots: int = 4
    token_seconds: float = 0.02
    answer_tokens: float = 30
    work_seconds: float = 0.05


class Fleet:
    """Starts and stops the routers and stand-ins of a small fleet.

    Attributes
    ----------
    store : Store
        Stand-in for the platform's object API.
    engines, gates : list
        Stand-ins for the backend servers.
    routers : list of Router
        The routers, each with its own kernel.
    """

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.store = store.Store()
        self.engines = [
            engine.Engine(
                model=MODEL,
                slots=options.engine_slots,
                token_seconds=options.token_seconds,
                answer_tokens=options.answer_tokens,
            )
            for _ in range(options.engines)
        ]
        self.gates = [
            service.Service(slots=options.gate_slots, work_seconds=options.work_seconds)
            for _ in range(options.gates)
        ]
        self._vms = [_make_vm(index) for index in range(options.routers)]
        self.routers = [router.Router(self._make_settings(vm)) for vm in self._vms]

    @property
    def addresses(self) -> list[ids.Address]:
        """Addresses on which the routers serve callers."""
        return [ids.Address.parse(vm.caller_address) for vm in self._vms]

    def start(self) -> None:
        """Start everything and wait until every router serves.

        Raises
        ------
        errors.StartError
            If the routers don't discover each other in time.
        """
        try:
            self._start()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the routers and the stand-ins."""
        for component in (*self.routers, *self._list_standins()):
            component.stop()

    def make_configuration(self) -> configuration.Configuration:
        """Return the initial configuration, generation 1."""
        servers = [
            *_make_servers(MODEL, self.engines, self.options.engine_slots),
            *_make_servers(GATE, self.gates, self.options.gate_slots),
        ]
        return configuration.Configuration(
            generation=1,
            register=register.Register(
                firm="vrbicky",
                data_centres=tuple(
                    register.DataCentre(name=name, region="bohemia")
                    for name in DATA_CENTRES
                ),
                vms=tuple(self._vms),
                services=(
                    register.Service(
                        name=MODEL,
                        kind=states.ServiceKind.MODEL,
                        cost_hint=max(1.0, self.options.answer_tokens),
                    ),
                    register.Service(
                        name=GATE,
                        kind=states.ServiceKind.PLAIN,
                        idempotent_paths=("/status",),
                    ),
                ),
                servers=tuple(servers),
                accounts=tuple(
                    register.Account(name=name, key_hashes=(hash_key(name),))
                    for name in self.options.accounts
                ),
            ),
            rules=rules.Rules(weights=self.options.weights),
        )

    def _start(self) -> None:
        for standin in self._list_standins():
            standin.start()
        client = store_adapter.StoreClient(str(self.store.address))
        self.store.set_vms(
            [
                {"name": vm.name, "address": vm.peer_address, "state": "live"}
                for vm in self._vms
            ]
        )
        stored = publishing.read_stored(client)
        value = self.make_configuration()
        publishing.publish(client, stored, value.register, value.rules, "demo")
        for member in self.routers:
            member.start()
        self._wait_ready()

    def _list_standins(self) -> list[web.StandIn]:
        return [self.store, *self.engines, *self.gates]

    def _make_settings(self, vm: register.VM) -> settings.Settings:
        return settings.Settings(
            router=vm.name,
            data_centre=vm.data_centre,
            caller_address=vm.caller_address,
            peer_address=vm.peer_address,
            store_address=str(self.store.address),
            fleet_keys=(FLEET_KEY,),
            operator_key_hashes=(hash_key(OPERATOR_KEY),),
            peers=tuple(
                other.peer_address for other in self._vms if other.name != vm.name
            ),
        )

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        waiting = list(self.addresses)
        while waiting:
            if time.monotonic() > deadline:
                raise errors.StartError(
                    f"expected {len(self._vms)} routers with a configuration within "
                    f"{READY_TIMEOUT_SECONDS:.0f} s, found fewer or none at "
                    f"{', '.join(str(address) for address in waiting)}",
                    step="start",
                )
            waiting = [item for item in waiting if not self._is_ready(item)]
            time.sleep(POLL_SECONDS)

    def _is_ready(self, address: ids.Address) -> bool:
        client = routers.RouterClient(OPERATOR_KEY)
        try:
            addresses = client.get_addresses(str(address)).addresses
        except errors.CeleryspanError:
            return False
        return len(addresses) == len(self._vms) and bool(
            client.get_report(str(address)).generation
        )


def hash_key(key: str) -> str:
    """Return the hash of a key, as the register stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def _make_vm(index: int) -> register.VM:
    return register.VM(
        name=f"entry-{index + 1}",
        data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
        caller_address=f"127.0.0.1:{ports.find_port()}",
        peer_address=f"127.0.0.1:{ports.find_port()}",
    )


def _make_servers(
    name: str, backends: list[engine.Engine] | list[service.Service], slots: int
) -> list[register.Server]:
    return [
        register.Server(
            name=f"{name}-{position + 1}",
            service=name,
            data_centre=DATA_CENTRES[position % len(DATA_CENTRES)],
            address=str(backend.address),
            slots=slots,
        )
        for position, backend in enumerate(backends)
    ]
