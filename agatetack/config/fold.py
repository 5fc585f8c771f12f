"""Fold the records of the configuration stream into the routes in force.

The fold depends only on the records and their offsets, not on settings, clocks
or the host. So all hosts that have folded the same records have the same state.

Each record contains the last offset that its writer had read. A record that is
appended more than `REMEMBERED_RECORDS` after that offset is stale and ignored.
It is therefore enough to remember the changes decided in the last
`REMEMBERED_RECORDS` records: a second copy of an older change is always stale,
no matter how late it is appended.
"""

import dataclasses
import enum

from agatetack.config.change import NO_VERSION, RouteChange
from agatetack.config.records import (
    BadRecord,
    WrittenChange,
    change_digest,
    decode_change,
    extend_chain,
)
from agatetack.config.route import Route
from agatetack.config.route_rules import (
    MAX_NAME_LENGTH,
    NAME,
    RouteMatch,
    check_route,
    route_match,
)
from agatetack.ids import ChangeId, LogOffset, RouteId, WallTime

REMEMBERED_RECORDS = 4096
"""Number of records for which decided changes and deleted routes are kept.

It is part of the record format: hosts with different values would fold the same
records differently. At 23,000 changes a day it covers about four hours.
"""

MAX_AUTHOR_LENGTH = 200
"""Maximum length of an author's name, in characters."""


class Verdict(enum.Enum):
    """The result of folding one record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    PATH_TAKEN = "path-taken"
    INVALID = "invalid"
    STALE = "stale"
    DUPLICATE = "duplicate"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The newest accepted record of one route.

    Attributes:
        version: Its offset.
        route: The route, or None if the record deleted it.
        author: Who wrote it.
        written_at: When it was written.
        record: The encoded record, copied into snapshots.
    """

    version: LogOffset
    route: Route | None
    author: str
    written_at: WallTime
    record: bytes

    @classmethod
    def from_change(
        cls, change: RouteChange, offset: LogOffset, record: bytes
    ) -> "Slot":
        """Return the slot for an accepted change."""
        return cls(
            offset, change.route, change.author, change.written_at, record
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """How the first record of a change was decided.

    Attributes:
        offset: The offset of that record.
        verdict: ACCEPTED, CONFLICT, PATH_TAKEN or INVALID.
        winner: The version that the change conflicts with, or NO_VERSION.
        digest: Checksum of the change, to detect that its id is reused.
    """

    offset: LogOffset
    verdict: Verdict
    winner: LogOffset
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The effect of one record on the fold.

    Attributes:
        verdict: The result of folding it.
        change: The change in it, or None if it is malformed.
    """

    verdict: Verdict
    change: RouteChange | None


class OutOfOrder(Exception):
    """The record is not the next one; folding it would skip or repeat some."""


class Fold:
    """The state after folding all records up to `version`.

    Attributes:
        version: Offset of the last record folded, or NO_VERSION.
        chain: Checksum of all folded records, to compare hosts.
        slots: The newest accepted record of each route.
        decisions: Decisions on remembered changes, oldest first.
        matches: The route in force for each host and path prefix.
        deleted: Deleted routes that are still remembered, oldest first.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.version = NO_VERSION
        self.chain = 0
        self.slots: dict[RouteId, Slot] = {}
        self.decisions: dict[ChangeId, Decision] = {}
        self.matches: dict[RouteMatch, RouteId] = {}
        self.deleted: dict[RouteId, LogOffset] = {}

    def routes(self) -> list[Route]:
        """Return the routes in force."""
        return [slot.route for slot in self.slots.values() if slot.route]

    def version_of(self, route_id: RouteId) -> LogOffset:
        """Return a route's version, or NO_VERSION if it does not exist."""
        slot = self.slots.get(route_id)
        if slot is None or slot.route is None:
            return NO_VERSION
        return slot.version

    def apply(self, offset: LogOffset, payload: bytes) -> Step:
        """Fold the next record.

        Raises:
            OutOfOrder: `offset` does not follow `version`.
        """
        if offset != self.version + 1:
            raise OutOfOrder(f"{offset} does not follow {self.version}")
        self.version = offset
        self.chain = extend_chain(self.chain, payload)
        step = self._evaluate(offset, payload)
        self._drop_expired()
        return step

    def set_slot(self, route_id: RouteId, slot: Slot) -> None:
        """Make `slot` the newest accepted record of a route."""
        old = self.slots.get(route_id)
        if old is not None and old.route is not None:
            self.matches.pop(route_match(old.route), None)
        self.slots[route_id] = slot
        self.deleted.pop(route_id, None)
        if slot.route is None:
            self.deleted[route_id] = slot.version
        else:
            self.matches[route_match(slot.route)] = route_id

    def _evaluate(self, offset: LogOffset, payload: bytes) -> Step:
        try:
            written = decode_change(payload, offset)
        except BadRecord:
            return Step(Verdict.MALFORMED, None)
        change = written.change
        if not _has_valid_metadata(written, offset):
            return Step(Verdict.MALFORMED, None)
        if change.change_id in self.decisions:
            return Step(Verdict.DUPLICATE, change)
        if offset - written.base > REMEMBERED_RECORDS:
            return Step(Verdict.STALE, change)
        verdict = self._decide(offset, change)
        if verdict is Verdict.ACCEPTED:
            self.set_slot(
                change.route_id, Slot.from_change(change, offset, payload)
            )
        return Step(verdict, change)

    def _decide(self, offset: LogOffset, change: RouteChange) -> Verdict:
        verdict, winner = Verdict.ACCEPTED, NO_VERSION
        if check_change(change):
            verdict = Verdict.INVALID
        elif change.expected_version != self.version_of(change.route_id):
            verdict = Verdict.CONFLICT
            winner = self._last_version(change.route_id)
        elif self._conflicting_route(change) is not None:
            verdict = Verdict.PATH_TAKEN
            winner = self._last_version(self._conflicting_route(change))
        self.decisions[change.change_id] = Decision(
            offset, verdict, winner, change_digest(change)
        )
        return verdict

    def _last_version(self, route_id: RouteId) -> LogOffset:
        slot = self.slots.get(route_id)
        return NO_VERSION if slot is None else slot.version

    def _conflicting_route(self, change: RouteChange) -> RouteId | None:
        if change.route is None:
            return None
        owner_id = self.matches.get(route_match(change.route))
        return None if owner_id == change.route_id else owner_id

    def _drop_expired(self) -> None:
        last_expired = self.version - REMEMBERED_RECORDS
        while self.decisions:
            change_id = next(iter(self.decisions))
            if self.decisions[change_id].offset > last_expired:
                break
            del self.decisions[change_id]
        while self.deleted:
            route_id = next(iter(self.deleted))
            if self.deleted[route_id] > last_expired:
                break
            del self.deleted[route_id]
            del self.slots[route_id]


def _has_valid_metadata(written: WrittenChange, offset: LogOffset) -> bool:
    change_id = written.change.change_id
    return (
        NAME.fullmatch(change_id) is not None
        and len(change_id) <= MAX_NAME_LENGTH
        and len(written.change.author) <= MAX_AUTHOR_LENGTH
        and NO_VERSION <= written.base < offset
    )


def check_change(change: RouteChange) -> tuple[str, ...]:
    """Return the errors in a change that do not depend on other routes.

    The same checks run before the append and in every host's fold.
    """
    findings = []
    if not NAME.fullmatch(change.change_id):
        findings.append("change_id: must be letters, digits, '.', '_' or '-'")
    if len(change.change_id) > MAX_NAME_LENGTH:
        findings.append(f"change_id: at most {MAX_NAME_LENGTH} characters")
    if len(change.author) > MAX_AUTHOR_LENGTH:
        findings.append(f"author: at most {MAX_AUTHOR_LENGTH} characters")
    if change.expected_version < NO_VERSION:
        findings.append("expected_version: must be -1 or more")
    if change.route is None:
        if change.expected_version == NO_VERSION:
            findings.append("expected_version: is required to delete a route")
    elif change.route.id != change.route_id:
        findings.append("route: its id differs from route_id")
    else:
        findings.extend(str(finding) for finding in check_route(change.route))
    return tuple(findings)
