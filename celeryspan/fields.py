"""Types of single values in validated input, and the base of its models."""

from __future__ import annotations

from typing import Annotated

import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"
HASH_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
HostPort = Annotated[str, pydantic.Field(pattern=ADDRESS_PATTERN)]
KeyHash = Annotated[str, pydantic.Field(pattern=HASH_PATTERN)]


class Model(pydantic.BaseModel):
    """Base of all validated input: unknown keys are refused, values are frozen."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
