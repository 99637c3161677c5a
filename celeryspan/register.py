"""The register: VMs, services, data centres and client accounts of a firm."""

from __future__ import annotations

from typing import Annotated

import pydantic

from celeryspan import states

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"
HASH_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
HostPort = Annotated[str, pydantic.Field(pattern=ADDRESS_PATTERN)]
KeyHash = Annotated[str, pydantic.Field(pattern=HASH_PATTERN)]

DEFAULT_SLOTS = 8


class Model(pydantic.BaseModel):
    """Base of all validated input: unknown keys are refused, values are frozen."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DataCentre(Model):
    """A data centre and the region that it belongs to."""

    name: Name
    region: Name


class VM(Model):
    """An entry VM on which a router runs."""

    name: Name
    data_centre: Name
    caller_address: HostPort
    peer_address: HostPort


class Service(Model):
    """A service that callers name in their requests.

    Attributes
    ----------
    idempotent_paths : tuple of str
        Prefixes of paths whose calls may be repeated whatever their method.
    cost_hint : float
        Typical cost of a request in cost units: tokens of a model, milliseconds of a
        plain service.
    model, version, role : str
        What its model engines are ordered to have loaded and to be; the empty text
        leaves them as they are.
    adapters : tuple of str
        Adapters that go with the model.
    """

    name: Name
    kind: states.ServiceKind
    idempotent_paths: tuple[str, ...] = ()
    cost_hint: float = pydantic.Field(default=1.0, gt=0)
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Server(Model):
    """A backend server of one service.

    Attributes
    ----------
    slots : int
        Greatest number of requests it is ever given at once.
    checks_fence : bool
        Whether it refuses orders with an old fencing number.
    """

    name: Name
    service: Name
    data_centre: Name
    address: HostPort
    slots: int = pydantic.Field(default=DEFAULT_SLOTS, ge=1)
    checks_fence: bool = False


class Account(Model):
    """A client account and the hashes of the keys that prove it.

    Attributes
    ----------
    key_hashes : tuple of str
        SHA-256 of each valid key, in hexadecimal; two while keys are rotated.
    """

    name: Name
    key_hashes: tuple[KeyHash, ...] = pydantic.Field(min_length=1)


class Register(Model):
    """The whole register of one firm."""

    firm: Name
    data_centres: tuple[DataCentre, ...]
    vms: tuple[VM, ...]
    services: tuple[Service, ...]
    servers: tuple[Server, ...]
    accounts: tuple[Account, ...]
