"""Define what all sections of the settings are made of."""

import ipaddress
from typing import Annotated

import pydantic
from pydantic_core import PydanticCustomError

Seconds = Annotated[float, pydantic.Field(gt=0, le=30 * 86_400)]
Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
Bytes = Annotated[int, pydantic.Field(ge=1, le=2**40)]
Count = Annotated[int, pydantic.Field(ge=1, le=10**9)]
Ratio = Annotated[float, pydantic.Field(ge=0, le=1)]
Name = Annotated[
    str,
    pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=100),
]
HeaderName = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9-]+$")]


class Section(pydantic.BaseModel):
    """A part of the settings; unknown keys are findings."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    @pydantic.field_validator("*", mode="before")
    @classmethod
    def refuse_other_kind(
        cls, value: object, info: pydantic.ValidationInfo
    ) -> object:
        """Refuse text or a boolean for a number, and the other way round.

        Pydantic would convert them, so that `yes` became 1.
        """
        kind = cls.model_fields[info.field_name].annotation
        if kind is bool and not isinstance(value, bool):
            raise PydanticCustomError("flag_kind", "must be true or false")
        if kind is int and isinstance(value, bool | str):
            raise PydanticCustomError("int_kind", "must be a whole number")
        if kind is float and isinstance(value, bool | str):
            raise PydanticCustomError("float_kind", "must be a number")
        return value


def parse_ip(value: object) -> object:
    """Return the IP number that a text gives.

    Raises:
        PydanticCustomError: It is neither an IP number nor such a text.
    """
    if isinstance(value, ipaddress.IPv4Address | ipaddress.IPv6Address):
        return value
    try:
        if isinstance(value, str):
            return ipaddress.ip_address(value)
    except ValueError:
        pass
    raise PydanticCustomError("ip_kind", "must be an IP number, not a name")


IpNumber = Annotated[
    ipaddress.IPv4Address | ipaddress.IPv6Address,
    pydantic.BeforeValidator(parse_ip),
]


class Endpoint(Section):
    """An address to reach: an IP number and a port (0: kernel chooses)."""

    ip: IpNumber
    port: Port

    @pydantic.model_validator(mode="before")
    @classmethod
    def split_text(cls, value: object) -> object:
        """Take `IP:PORT` for a map of both."""
        if not isinstance(value, str):
            return value
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdecimal():
            raise PydanticCustomError("endpoint_kind", "must be IP:PORT")
        return {"ip": ip.strip("[]"), "port": int(port)}

    @property
    def host(self) -> str:
        """Return the IP number as text."""
        return str(self.ip)


class TlsFiles(Section):
    """Paths of PEM files for one listener or client."""

    certificate: str
    key: str
    authority: str | None = None
