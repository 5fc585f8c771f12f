"""Put the newest operators' document in force and ignore older ones."""

import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from agatetack.config.document import (
    AccountSource,
    BadDocument,
    CallerLimits,
    DocumentDecoder,
    RouteDocument,
    ServiceInfo,
)
from agatetack.config.route import Route, RouteSource, RouteTable
from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, LogOffset, ServiceId
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics

if TYPE_CHECKING:
    from agatetack.identity.accounts import AccountTable

NO_DOCUMENT = -1
"""The version before the first document."""

log = DecisionLog("config")


class WholePrefixTable(RouteTable):
    """Routes whose whole prefix, with a trailing slash, must begin the path.

    So `/a/` does not match the path `/a`.
    """

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Args:
            host: The Host header without port, in lower case.
            path: The path with or without its query.
        """
        plain = path.partition("?")[0]
        end = len(plain)
        while end > 0:
            end = plain.rfind("/", 0, end)
            prefix = plain[:end].rstrip("/")
            for route in self.by_prefix.get(prefix, ()):
                if route.host in ("", host) and plain.startswith(
                    route.path_prefix
                ):
                    return route
        return None


class DocumentRoutes(TopicReader):
    """Reads documents and keeps the newest one in force.

    Attributes:
        version: The version in force, or `NO_DOCUMENT`.
        offset: The offset of its record in the topic.
        services: The services of the document in force.
        limits: The limits on callers in that document, or None.
        accounts: The client accounts in that document.
        load_paths: Load path by service; one dict, updated in place.
        watchers: Called after each new document is in force.
    """

    def __init__(
        self,
        key: str,
        decoder: DocumentDecoder,
        source: RouteSource,
        metrics: Metrics,
    ):
        """Decode the record `key` and replace the table in `source`."""
        self.key = key
        self.decoder = decoder
        self.source = source
        self.version = NO_DOCUMENT
        self.offset = LogOffset(-1)
        self.services: dict[ServiceId, ServiceInfo] = {}
        self.limits: CallerLimits | None = None
        self.accounts = AccountSource()
        self.watchers: list[Callable[[], None]] = []
        self.load_paths: dict[ServiceId, str] = {}
        self.results_counter = metrics.counter(
            "agatetack_documents_total",
            "Documents of operators read, by result.",
        )
        self.version_gauge = metrics.gauge(
            "agatetack_document_version",
            "Version of the operators' document in force.",
        )

    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Read the newest record of every key."""
        self.apply_new(records)

    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Read records that follow those read before."""
        for record in records:
            # Without a value the record is deleted; the last document stays
            # in force.
            if record.key == self.key and record.value is not None:
                self._read_document(record.value, record.offset)

    def valid_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a lost document stays in force.

        It has no time limit; a newer document replaces it. The result is None
        if `found` is at least as new, or for other keys.
        """
        if known.key != self.key:
            return None
        if self._version(known) <= self._version(found):
            return None
        return Deadline(math.inf)

    def _version(self, record: KeyedRecord | None) -> int:
        """Return the version of the document in `record`, or `NO_DOCUMENT`."""
        if record is None or record.value is None:
            return NO_DOCUMENT
        try:
            return self.decoder.decode(record.value).version
        except BadDocument:
            return NO_DOCUMENT

    def _read_document(self, content: bytes, offset: LogOffset) -> None:
        try:
            document = self.decoder.decode(content)
        except BadDocument as error:
            self.results_counter.inc({"result": "malformed"})
            log.note(
                "document-malformed",
                offset=offset,
                cause=str(error),
                in_force=self.version,
            )
            return
        if document.version <= self.version:
            self.results_counter.inc({"result": "old"})
            return
        self._put_in_force(document, offset, len(content))

    def _put_in_force(
        self, document: RouteDocument, offset: LogOffset, size: int
    ) -> None:
        before = self.version
        self.version = document.version
        self.offset = offset
        self.services = {info.id: info for info in document.services}
        self.load_paths.clear()
        self.load_paths.update(
            (info.id, info.load_path) for info in document.services
        )
        self.limits = document.limits
        self.accounts.table = document.accounts
        self.source.table = WholePrefixTable(document.routes)
        self.results_counter.inc({"result": "in-force"})
        self.version_gauge.set({}, document.version)
        log.note(
            "document-in-force",
            version=document.version,
            before=before,
            offset=offset,
            routes=len(document.routes),
            bytes=size,
            accounts=_count(document.accounts),
        )
        for watcher in self.watchers:
            watcher()


def _count(accounts: "AccountTable | None") -> int:
    return 0 if accounts is None else len(accounts.by_id)
