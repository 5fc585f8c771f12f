"""Read the platform's list of hosts over HTTP."""

import ipaddress
import zlib
from collections.abc import Mapping, Sequence

import orjson
import pydantic
import trio

from agatetack.hosts.host_list import (
    HostList,
    HostListUnavailable,
    ListedHost,
)
from agatetack.http_call import (
    CallFailed,
    PlatformClient,
    PlatformReply,
    PlatformRequest,
)
from agatetack.ids import Deadline, HostId
from agatetack.logs import PartLog
from agatetack.settings.model import Settings

HOSTS_PATH = "/hosts"

OK = 200
NOT_MODIFIED = 304

GZIP_WBITS = 31
"""The zlib `wbits` value that accepts only the gzip format."""

MAX_LIST_BYTES = 16 << 20
"""Maximum size of the list; ten times the size designed for."""

ENTRIES_PER_CHECKPOINT = 200
"""Number of entries parsed before other tasks may run."""

MAX_SHOWN_FINDINGS = 5
"""Maximum invalid entries shown in one log line; the rest are only counted."""

LISTED_HOST = pydantic.TypeAdapter(ListedHost)

LOG = PartLog("host-list")


class HttpHostList(HostList):
    """The list served at the address in the settings.

    Attributes:
        hosts: The entries of the last list.
        etag: The ETag of the last list, or None.
        findings: Why entries of the last list were rejected and left out; one
            line each, with the entry's index.
    """

    def __init__(self, settings: Settings):
        """Create a client; it connects on first use."""
        self.settings = settings.platform.host_list
        self.caller = PlatformClient(
            self.settings.endpoint, self.settings.timeout_seconds
        )
        self.hosts: Sequence[ListedHost] = ()
        self.etag: str | None = None
        self.findings: Sequence[str] = ()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.caller.aclose()

    async def fetch(self, deadline: Deadline) -> Sequence[ListedHost]:
        """Return all entries; an unchanged list is not sent again.

        Raises:
            HostListUnavailable: No list could be read before `deadline`.
        """
        headers = {"accept-encoding": "gzip"}
        if self.etag is not None:
            headers["if-none-match"] = self.etag
        request = PlatformRequest(
            "GET",
            HOSTS_PATH,
            deadline,
            headers=headers,
            max_reply_bytes=MAX_LIST_BYTES,
        )
        try:
            reply = await self.caller.call(request)
        except CallFailed as failure:
            raise HostListUnavailable(str(failure)) from failure
        if reply.status == NOT_MODIFIED and self.etag is not None:
            return self.hosts
        if reply.status != OK:
            raise HostListUnavailable(f"status {reply.status}")
        await self.take(reply)
        return self.hosts

    async def take(self, reply: PlatformReply) -> None:
        """Store the list in `reply` as the last one; drop invalid entries."""
        known = {host.id: host for host in self.hosts}
        hosts: list[ListedHost] = []
        findings: list[str] = []
        for place, entry in enumerate(_entries(reply)):
            # Parsing a long list must not delay requests in this process.
            if place % ENTRIES_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            try:
                hosts.append(_read_entry(entry, known))
            except ValueError as error:
                findings.append(f"entry {place}: {_first_line(error)}")
        if findings:
            shown = "; ".join(findings[:MAX_SHOWN_FINDINGS])
            LOG.warning("%d odd entries left out: %s.", len(findings), shown)
        etag = reply.headers.get(b"etag")
        self.hosts = tuple(hosts)
        self.findings = tuple(findings)
        self.etag = None if etag is None else etag.decode("latin-1")


def _read_entry(
    entry: object, known: Mapping[HostId, ListedHost]
) -> ListedHost:
    """Return the parsed entry, or the known object if it has not changed.

    Raises:
        ValueError: The entry is invalid.
    """
    if isinstance(entry, dict) and isinstance(entry.get("id"), str):
        before = known.get(entry["id"])
        if before is not None and _unchanged(before, entry):
            return before
    host = LISTED_HOST.validate_python(entry)
    ipaddress.ip_address(host.ip)
    return host


def _unchanged(host: ListedHost, entry: Mapping[str, object]) -> bool:
    return (
        entry.get("state") == host.state.value
        and entry.get("role") == host.role.value
        and entry.get("ip") == host.ip
        and entry.get("port") == host.port
        and entry.get("failure_domain") == host.failure_domain
        and entry.get("service") == host.service
    )


def _entries(reply: PlatformReply) -> Sequence[object]:
    body = reply.body
    try:
        if reply.headers.get(b"content-encoding", b"").lower() == b"gzip":
            body = _decompress(body)
        content = orjson.loads(body)
    except (orjson.JSONDecodeError, zlib.error) as error:
        raise HostListUnavailable("the list is malformed") from error
    if isinstance(content, Mapping):
        entries = content.get("hosts")
        if isinstance(entries, list):
            return entries
    raise HostListUnavailable("the list holds no hosts")


def _decompress(body: bytes) -> bytes:
    decoder = zlib.decompressobj(wbits=GZIP_WBITS)
    content = decoder.decompress(body, MAX_LIST_BYTES)
    if not decoder.eof:
        raise HostListUnavailable("the list is cut or too long")
    return content


def _first_line(error: ValueError) -> str:
    if isinstance(error, pydantic.ValidationError):
        detail = error.errors()[0]
        return f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}"
    return str(error)
