"""One accepted configuration, indexed for the lookups of a router."""

from __future__ import annotations

import functools
import hashlib
import hmac
import warnings

import pydantic

from celeryspan import fields, ids, register, rules

DEFAULT_WEIGHT = 1.0

# The field of this name hides a method of pydantic's metaclass that nothing calls; the
# warning would stand before the output of each command.
warnings.filterwarnings("ignore", 'Field name "register"', UserWarning)

# Inside the class the fields hide the modules of the same names.
_Register = register.Register
_Rules = rules.Rules


class Configuration(fields.Model):
    """Register and rules of one generation.

    Attributes
    ----------
    generation : int
        Number of the configuration; a router applies only a higher one.
    author : str
        Who applied it, for the loser of a race to read.
    placements : dict
        Service of each model server that the routers have moved away from the
        service that the register gives it.
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
        """Backend servers by name, without the retired ones, where they are placed."""
        retired = set(self.rules.retirements)
        return {
            ids.ServerId(item.name): self._place(item)
            for item in self.register.servers
            if item.name not in retired
        }

    def _place(self, server: register.Server) -> register.Server:
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
        """Return the client account that a key proves, or None.

        Every stored hash is compared, each in constant time, so that the time taken
        tells nothing about how much of a guessed key is right.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = None
        for key_hash, account in self._accounts_by_hash.items():
            if hmac.compare_digest(key_hash, digest):
                found = account
        return found
