"""Read destination, ids and deadline from an HTTP request's header."""

import dataclasses
import math
import re
from typing import NamedTuple

from returns.result import Failure, Result, Success

from agatetack.ids import CallerId, Deadline, IdempotencyKey, RequestId
from agatetack.messages import Header, Headers, find_header
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import CallersSettings
from agatetack.unique import unique_name

MAX_TOKEN_BYTES = 256
"""Maximum length of idempotency keys, request ids and caller names."""

DOT_SEGMENT = re.compile(rb"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
ABSOLUTE_FORM = re.compile(rb"^https?://([^/?#]*)(.*)$", re.IGNORECASE)
VISIBLE_ASCII = re.compile(rb"^[\x21-\x7e]+$")


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The header of one request as it was parsed.

    Attributes:
        method: The HTTP method.
        target: The request target as sent.
        version: The HTTP version, such as `1.1`.
        fields: All header fields, as lines of `name:value` with the name in
            lower case. Headers of many fields take several times as much
            memory once they are separated.
        keep_alive: Whether the caller wants the connection kept.
        arrived: When the last header byte came.
    """

    method: bytes
    target: bytes
    version: str
    fields: bytes
    keep_alive: bool
    arrived: Deadline

    @property
    def field_count(self) -> int:
        """Return how many fields there are."""
        return self.fields.count(b"\n")

    def headers(self) -> list[Header]:
        """Return the separate fields."""
        found = []
        for line in self.fields.split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            found.append(Header(name, value))
        return found


@dataclasses.dataclass(slots=True)
class RequestMetadata:
    """Destination, identifiers and deadline of a request.

    Attributes:
        path: Path and query, starting with `/` (or `*`).
        host: The host without port, in lower case.
        request_id: The caller's id for the request, or a new one.
        caller: Who sent it.
        key: The idempotency key, or None.
        deadline: When the caller gives up, or None if it did not say.
    """

    path: bytes
    host: bytes
    request_id: RequestId
    caller: CallerId
    key: IdempotencyKey | None
    deadline: Deadline | None


class _Destination(NamedTuple):
    """Path and host of a request."""

    path: bytes
    host: bytes


def _malformed(detail: str) -> Failure[Refusal]:
    return Failure(refuse(RefusalReason.MALFORMED_REQUEST, detail))


def read_metadata(
    head: RequestHead,
    headers: Headers,
    settings: CallersSettings,
    peer_ip: str,
) -> Result[RequestMetadata, Refusal]:
    """Return a request's destination, or why its header is refused.

    Args:
        head: The parsed header.
        headers: Its fields.
        settings: Names of headers, and bounds of deadlines.
        peer_ip: The caller's IP address, its name if it sends none.
    """
    destination = _read_destination(head, headers)
    if isinstance(destination, Failure):
        return destination
    path, host = destination.unwrap()
    names = settings.headers
    key = find_header(headers, names.idempotency_key.encode())
    if key is not None and not _is_token(key):
        return Failure(
            refuse(
                RefusalReason.KEY_MALFORMED,
                f"{names.idempotency_key} takes 1 to {MAX_TOKEN_BYTES} "
                "visible ASCII characters, without spaces.",
            )
        )
    deadline = _read_deadline(head, headers, settings)
    if isinstance(deadline, Failure):
        return deadline
    return Success(
        RequestMetadata(
            path=path,
            host=host,
            request_id=_read_request_id(headers, names.request_id.encode()),
            caller=_read_caller(headers, names.caller.encode(), peer_ip),
            key=None if key is None else IdempotencyKey(key.decode()),
            deadline=deadline.unwrap(),
        )
    )


def _read_destination(
    head: RequestHead, headers: Headers
) -> Result[_Destination, Refusal]:
    """Return the path and host of a request.

    Targets and proxies have to see the path that the route was chosen by, so
    requests that can be read in two ways are refused.
    """
    hosts = [h.value for h in headers if h.name == b"host"]
    if len(hosts) > 1 or (not hosts and head.version == "1.1"):
        return _malformed("A request needs exactly one Host header.")
    path, host = head.target, hosts[0] if hosts else b""
    absolute = ABSOLUTE_FORM.match(path)
    if absolute:
        host, path = absolute.group(1), absolute.group(2) or b"/"
    if not path.startswith(b"/") and path != b"*":
        return _malformed("The request target must be a path.")
    if b"#" in path or DOT_SEGMENT.search(path.partition(b"?")[0]):
        return _malformed("The path has a fragment or a dot segment.")
    return Success(_Destination(path, _without_port(host).lower()))


def _is_token(value: bytes) -> bool:
    return len(value) <= MAX_TOKEN_BYTES and bool(VISIBLE_ASCII.match(value))


def _without_port(host: bytes) -> bytes:
    if host.startswith(b"["):
        return host.partition(b"]")[0] + b"]"
    return host.partition(b":")[0]


def _read_request_id(headers: Headers, name: bytes) -> RequestId:
    value = find_header(headers, name)
    if value is not None and _is_token(value):
        return RequestId(value.decode())
    return RequestId(unique_name())


def _read_caller(headers: Headers, name: bytes, peer_ip: str) -> CallerId:
    value = find_header(headers, name)
    if value is not None and _is_token(value):
        return CallerId(value.decode())
    return CallerId(peer_ip)


def _read_deadline(
    head: RequestHead, headers: Headers, settings: CallersSettings
) -> Result[Deadline | None, Refusal]:
    name = settings.headers.deadline_ms
    value = find_header(headers, name.encode())
    if value is None:
        return Success(None)
    try:
        left_ms = float(value)
    except ValueError:
        left_ms = math.nan
    if not 0 <= left_ms < math.inf:
        return Failure(
            refuse(
                RefusalReason.DEADLINE_INVALID,
                f"{name} takes the milliseconds left, 0 or more.",
            )
        )
    left = min(left_ms / 1000, settings.max_deadline_seconds)
    return Success(Deadline(head.arrived + left))
