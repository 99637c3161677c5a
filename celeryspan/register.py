"""Models of the register: a firm's data centres, VMs, services and client accounts."""

from __future__ import annotations

import pydantic

from celeryspan import fields, states

DEFAULT_SLOTS = 8


class DataCentre(fields.Model):
    """A data centre and its region."""

    name: fields.Name
    region: fields.Name


class VM(fields.Model):
    """An entry VM on which a router runs."""

    name: fields.Name
    data_centre: fields.Name
    caller_address: fields.HostPort
    peer_address: fields.HostPort


class Service(fields.Model):
    """A service, addressed by its name in the requests of callers.

    Attributes
    ----------
    idempotent_paths : tuple of str
        Prefixes of paths whose requests may be repeated regardless of their method.
    cost_hint : float
        Typical cost of a request in cost units: tokens for a model, milliseconds for
        a plain service.
    model, version, role : str
        Model, version and role that its model engines are ordered to assume; an empty
        string leaves them unchanged.
    adapters : tuple of str
        Adapters to load with the model.
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
        Maximum number of requests that it is sent concurrently.
    checks_fence : bool
        Whether it rejects orders with an outdated fencing number.
    """

    name: fields.Name
    service: fields.Name
    data_centre: fields.Name
    address: fields.HostPort
    slots: int = pydantic.Field(default=DEFAULT_SLOTS, ge=1)
    checks_fence: bool = False


class Account(fields.Model):
    """A client account and the hashes of the keys that authenticate it.

    Attributes
    ----------
    key_hashes : tuple of str
        SHA-256 of each valid key, in hexadecimal; two during a key rotation.
    """

    name: fields.Name
    key_hashes: tuple[fields.KeyHash, ...] = pydantic.Field(min_length=1)


class Register(fields.Model):
    """The register of one firm."""

    firm: fields.Name
    data_centres: tuple[DataCentre, ...]
    vms: tuple[VM, ...]
    services: tuple[Service, ...]
    servers: tuple[Server, ...]
    accounts: tuple[Account, ...]
