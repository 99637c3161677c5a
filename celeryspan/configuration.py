"""An accepted configuration, indexed for the lookups of a router."""

from __future__ import annotations

import functools
import hashlib
import hmac
import warnings

import pydantic

from celeryspan import fields, ids, register, rules

DEFAULT_WEIGHT = 1.0

# The field "register" shadows a method of pydantic's metaclass that is never called.
# Without the filter, every command would print a warning before its output.
warnings.filterwarnings("ignore", 'Field name "register"', UserWarning)

# Aliases, because the fields of the class shadow the modules of the same names.
_Register = register.Register
_Rules = rules.Rules


class Configuration(fields.Model):
    """The register and rules of one generation.

    Attributes
    ----------
    generation : int
        Number of the configuration; a router only applies a higher one than its own.
    author : str
        Who applied it; shown to an operator whose concurrent change was rejected.
    placements : dict
        Current service of each model server that the routers have moved to another
        service than the register assigns to it.
    """

    generation: int = pydantic.Field(ge=1)
    author: str = ""
    register: _Register
    rules: _Rules = pydantic.Field(default_factory=_Rules)
    placements: dict[str, str] = pydantic.Field(default_factory=dict)

    @functools.cached_property
    def services(self) -> dict[ids.ServiceId, register.Service]:
        """Services by name."""
        return {ids.ServiceId(item.name): item for item in self.register.services}

    @functools.cached_property
    def servers(self) -> dict[ids.ServerId, register.Server]:
        """Backend servers by name, without retired ones, with their current service."""
        retired = set(self.rules.retirements)
        return {
            ids.ServerId(item.name): self._apply_placement(item)
            for item in self.register.servers
            if item.name not in retired
        }

    def _apply_placement(self, server: register.Server) -> register.Server:
        service = self.placements.get(server.name, server.service)
        if service == server.service or service not in self.services:
            return server
        return server.model_copy(update={"service": service})

    @functools.cached_property
    def _accounts_by_hash(self) -> dict[str, ids.AccountId]:
        return {
            key_hash: ids.AccountId(account.name)
            for account in self.register.accounts
            for key_hash in account.key_hashes
        }

    def weight(self, account: ids.AccountId) -> float:
        """Return the weight of a client account."""
        return self.rules.weights.get(account, DEFAULT_WEIGHT)

    def find_account(self, key: str) -> ids.AccountId | None:
        """Return the client account that a key authenticates, or None.

        Compares every stored hash in constant time, so that the response time reveals
        nothing about how much of a guessed key is correct.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = None
        for key_hash, account in self._accounts_by_hash.items():
            if hmac.compare_digest(key_hash, digest):
                found = account
        return found
