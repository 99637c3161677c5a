"""Distinct types for the identifiers that modules exchange."""

from __future__ import annotations

from typing import NamedTuple, NewType

AccountId = NewType("AccountId", str)
DataCentreId = NewType("DataCentreId", str)
Era = NewType("Era", int)
Generation = NewType("Generation", int)
GrantId = NewType("GrantId", int)
Incarnation = NewType("Incarnation", int)
PoolId = NewType("PoolId", str)
RequestId = NewType("RequestId", str)
RouterId = NewType("RouterId", str)
ServerId = NewType("ServerId", str)
ServiceId = NewType("ServiceId", str)
SoftwareVersion = NewType("SoftwareVersion", str)

NO_ERA = Era(0)
"""Stands for the era of a store or of a router that states none."""


class Address(NamedTuple):
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``.

        Raises
        ------
        ValueError
            If the text has no port or the port is not a number.
        """
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"expected host:port, found {text!r}")
        return cls(host, int(port))
