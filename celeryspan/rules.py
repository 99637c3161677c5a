"""The rules that operators put on top of the register."""

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
        Weight of each client account that differs from one; above zero.
    retirements : tuple of str
        Names of backend servers that get no new work.
    planned_stops : tuple of str
        Names of entry VMs whose routers drain and stop.
    """

    weights: dict[str, Weight] = pydantic.Field(default_factory=dict)
    retirements: tuple[str, ...] = ()
    planned_stops: tuple[str, ...] = ()
