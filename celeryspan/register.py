"""The register: VMs, services, data centres and client accounts of a firm."""

from __future__ import annotations

import pydantic

from celeryspan import fields, states

DEFAULT_SLOTS = 8


class DataCentre(fields.Model):
    """A data centre and the region that it belongs to."""

    name: fields.Name
    region: fields.Name


class VM(fields.Model):
    """An entry VM on which a router runs."""

    name: fields.Name
    data_centre: fields.Name
    caller_address: fields.HostPort
    peer_address: fields.HostPort


class Service(fields.Model):
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

    name: fields.Name
    kind: states.ServiceKind
    idempotent_paths: tuple[str, ...] = ()
    cost_hint: float = pydantic.Field(default=1.0, gt=0)
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Server(fields.Model):
    """A backend server of one service.

    Attributes
    ----------
    slots : int
        Greatest number of requests it is ever given at once.
    checks_fence : bool
        Whether it refuses orders with an old fencing number.
    """

    name: fields.Name
    service: fields.Name
    data_centre: fields.Name
    address: fields.HostPort
    slots: int = pydantic.Field(default=DEFAULT_SLOTS, ge=1)
    checks_fence: bool = False


class Account(fields.Model):
    """A client account and the hashes of the keys that prove it.

    Attributes
    ----------
    key_hashes : tuple of str
        SHA-256 of each valid key, in hexadecimal; two while keys are rotated.
    """

    name: fields.Name
    key_hashes: tuple[fields.KeyHash, ...] = pydantic.Field(min_length=1)


class Register(fields.Model):
    """The whole register of one firm."""

    firm: fields.Name
    data_centres: tuple[DataCentre, ...]
    vms: tuple[VM, ...]
    services: tuple[Service, ...]
    servers: tuple[Server, ...]
    accounts: tuple[Account, ...]
