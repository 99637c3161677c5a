"""The rules that operators apply in addition to the register."""

from __future__ import annotations

from typing import Annotated

import pydantic

from celeryspan import fields

Weight = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class Rules(fields.Model):
    """Weights of client accounts, retirements and planned stops.

    Attributes
    ----------
    weights : dict
        Fair-share weight by client account, above zero; 1 for accounts not listed.
    retirements : tuple of str
        Names of backend servers that receive no new requests.
    planned_stops : tuple of str
        Names of entry VMs whose routers drain and stop.
    """

    weights: dict[str, Weight] = pydantic.Field(default_factory=dict)
    retirements: tuple[str, ...] = ()
    planned_stops: tuple[str, ...] = ()
