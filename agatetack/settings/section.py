"""Define what all sections of the settings are made of."""

import ipaddress
import sys
from collections.abc import Iterator, Mapping
from typing import Annotated, Self

import msgspec
from msgspec import Meta

LARGEST = sys.float_info.max
"""Largest finite number; infinity is no setting."""

Seconds = Annotated[float, Meta(gt=0, le=30 * 86_400)]
NotNegative = Annotated[float, Meta(ge=0, le=LARGEST)]
Positive = Annotated[float, Meta(gt=0, le=LARGEST)]
Port = Annotated[int, Meta(ge=0, le=65_535)]
Bytes = Annotated[int, Meta(ge=1, le=2**40)]
Count = Annotated[int, Meta(ge=1, le=10**9)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=100)
]
HeaderName = Annotated[str, Meta(pattern=r"^[a-z0-9-]+$")]


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """A part of the settings; `building` makes it and finds what is wrong."""

    @classmethod
    def prepare(cls, value: object) -> object:
        """Return the map that `value` stands for, if it is another form."""
        return value

    def copy_with(self, update: Mapping[str, object]) -> Self:
        """Return a copy with other values, which are not checked."""
        return msgspec.structs.replace(self, **update)

    def as_map(self) -> dict[str, object]:
        """Return the values as a settings file gives them."""
        return msgspec.to_builtins(self, enc_hook=str)

    def items(self) -> Iterator[tuple[str, object]]:
        """Yield each key and its value."""
        for name in self.__struct_fields__:
            yield name, getattr(self, name)


class IpError(ValueError):
    """A text is no IP number."""


def parse_ip(
    value: object,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """Return the IP number that a text gives.

    Raises:
        IpError: It is neither an IP number nor such a text.
    """
    if isinstance(value, ipaddress.IPv4Address | ipaddress.IPv6Address):
        return value
    try:
        if isinstance(value, str):
            return ipaddress.ip_address(value)
    except ValueError:
        pass
    raise IpError("must be an IP number, not a name")


class IpNumber:
    """The kind of a field that holds an IP number."""


class Endpoint(Section):
    """An address to reach: an IP number and a port (0: kernel chooses)."""

    ip: IpNumber
    port: Port

    def __post_init__(self):
        """Take an IP number as text, too."""
        msgspec.structs.force_setattr(self, "ip", parse_ip(self.ip))

    @classmethod
    def prepare(cls, value: object) -> object:
        """Take `IP:PORT` for a map of both.

        Raises:
            ValueError: It is another text.
        """
        if not isinstance(value, str):
            return value
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdecimal():
            raise ValueError("must be IP:PORT")
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
