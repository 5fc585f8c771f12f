"""Decode the entries by which servers register in the platform's store."""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec
import trio
from msgspec import Meta

from agatetack.hosts.host_list import HostRole, HostState
from agatetack.hosts.listed_target import (
    BadRegistration,
    ListedTarget,
    RegistrationDecoder,
)
from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.platform.figures import read_seconds

REGISTRATIONS_TOPIC = "keyed.servers"

STATES = {"ready": HostState.LIVE, "draining": HostState.LEAVING}

MAX_ENTRY_BYTES = 16_384
"""Longest entry that is decoded; a usual one has about 200 bytes."""

MAX_SLOTS = 10_000
"""Most slots that a server may state. With a larger number, any load would
look like none."""

MAX_WARM_UP_SECONDS = 3600.0
"""Longest warm-up time that a server may state."""

KEY_PATTERN = re.compile(r"[!-~]{1,200}")
"""Valid keys: those that can be sent in a header, because each request names
its server in one."""

Text = Annotated[str, Meta(min_length=1, max_length=200)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class ServerInfo(msgspec.Struct):
    """The part of an entry that is fixed while the server runs."""

    service: Text
    version: Text
    zone: Text
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


class ServerStatus(msgspec.Struct):
    """The part of an entry that the server updates regularly."""

    state: Literal["ready", "draining"]
    sequence: Number
    warmup_left: Annotated[
        str, Meta(pattern=r"^[0-9]{1,9}(\.[0-9]{1,9})?(ms|s)$")
    ]


class ServerEntry(msgspec.Struct, kw_only=True):
    """One server's entry; types are exact, and unknown fields are ignored.

    Attributes:
        address: Address of the server, as `ip:port`.
        born: Start time of its process in Unix ms; 0 if not stated.
    """

    address: Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
    born: Number = 0
    info: ServerInfo
    status: ServerStatus


ENTRY_DECODER = msgspec.json.Decoder(ServerEntry)


class ServerDecoder(RegistrationDecoder):
    """Decodes the platform's server entries, which are JSON."""

    def decode(self, key: str, content: bytes) -> ListedTarget:
        """Return the target registered under `key`.

        Raises:
            BadRegistration: `key` or `content` is not valid.
        """
        try:
            return _read_target(key, content)
        except (ValueError, RecursionError) as error:
            cause = " ".join(str(error).split())
            message = f"{key!r}: {type(error).__name__}: {cause}"
            raise BadRegistration(message) from error


def _read_target(key: str, content: bytes) -> ListedTarget:
    """Return the target; raises ValueError if the entry is not valid."""
    if not KEY_PATTERN.fullmatch(key):
        raise ValueError("the key is not valid as a server name")
    if len(content) > MAX_ENTRY_BYTES:
        raise ValueError(f"the entry is too long: {len(content)} bytes")
    entry = ENTRY_DECODER.decode(content)
    ip, _, port = entry.address.rpartition(":")
    left = read_seconds(entry.status.warmup_left)
    if left > MAX_WARM_UP_SECONDS:
        raise ValueError(f"warmup_left is too long: {entry.status.warmup_left}")
    if not 1 <= int(port) <= 65535:
        raise ValueError(f"{port} is not a valid port")
    return ListedTarget(
        id=HostId(key),
        role=HostRole.TARGET,
        state=STATES[entry.status.state],
        ip=str(ipaddress.IPv4Address(ip)),
        port=int(port),
        failure_domain=FailureDomain(entry.info.zone),
        service=ServiceId(entry.info.service),
        slots=entry.info.slots,
        warm_at=Deadline(trio.current_time() + left if left else 0.0),
        incarnation=entry.born,
        sequence=entry.status.sequence,
    )
