"""Fold a claim stream into who holds which key, the same on every host.

Rules, in the order of the log:

* A claim is live if its key is free and it had seen the key's last release.
* A release frees the key its attempt holds. On a free key it is a barrier:
  every claim that had not seen it is dead on arrival, its own included.
* A held key becomes done; nothing frees a key that is done.
* A kept key is taken over by a reader that does not know a holder. Where
  another attempt holds it, the key stays held until it is done or expires.

A reader that starts at a later record may hold a key blocked that others
know to be free, but never the other way round, as only held keys are kept.
"""

import collections
import dataclasses

from agatetack.generated.claims.ttypes import (
    Entry,
    EntryKind,
    Verdict,
    VerdictKind,
)
from agatetack.ids import LogOffset
from agatetack.settings.model import Settings

NO_RELEASE = -1
"""The barrier of a key that was never released."""

NOBODY = b""
"""Holds a key that two attempts seem to hold; no release names it."""

MS = 1000
"""Milliseconds in a second."""


@dataclasses.dataclass(slots=True)
class KeyState:
    """What is known of one key.

    Attributes:
        attempt: Who holds it, or None if it is free.
        fingerprint: Digest of the holder's request.
        status: The HTTP status of the answer, or 0 while not done.
        dated: Whether the caller said when the key was issued.
        until_ms: The holder's deadline on the wall clock, in ms since 1970.
        claimed_ms: When it was claimed or freed, by the log's clock.
        written_ms: When its newest record was written, by the log's clock.
        barrier: The offset of its last release, or `NO_RELEASE`.
        released: The attempt of its last release.
    """

    attempt: bytes | None
    fingerprint: bytes
    status: int
    dated: bool
    until_ms: int
    claimed_ms: int
    written_ms: int
    barrier: int
    released: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTime:
    """A time on the log's clock that matters for a key."""

    at_ms: int
    key: bytes


class Fold:
    """The keys of one partition.

    Attributes:
        next: The first offset not folded yet.
        now_ms: The latest time seen on the log's clock.
        since_ms: Claims before this time may be missing.
        gap: Whether records before the next one were never read.
        keys: The state of each key that is remembered.
        dated: When keys with a time of issue expire, roughly in order.
        undated: When keys without one expire, roughly in order.
        written: When records of undated keys were written, in order.
    """

    def __init__(self, settings: Settings):
        """Know nothing yet."""
        claims = settings.claims
        self.dated_keep_ms = int(2 * claims.key_window_seconds * MS)
        self.undated_keep_ms = int(claims.undated_window_seconds * MS)
        self.next = LogOffset(0)
        self.now_ms = 0
        self.since_ms = 0
        self.gap = False
        self.keys: dict[bytes, KeyState] = {}
        self.dated: collections.deque[KeyTime] = collections.deque()
        self.undated: collections.deque[KeyTime] = collections.deque()
        self.written: collections.deque[KeyTime] = collections.deque()

    def start(self, offset: LogOffset) -> None:
        """Go on at `offset`, as the records before it are gone."""
        self.next = offset
        self.gap = True

    def advance(self, offset: LogOffset, at_ms: int) -> None:
        """Count the record at `offset` as folded; forget what is too old."""
        self.next = LogOffset(offset + 1)
        self.now_ms = max(self.now_ms, at_ms)
        self._forget(self.dated, self.dated_keep_ms)
        self._forget(self.undated, self.undated_keep_ms)

    def apply(self, offset: LogOffset, at_ms: int, entry: Entry) -> None:
        """Fold one entry of the record at `offset`."""
        at_ms = max(at_ms, self.now_ms)
        if self.gap:
            self.gap = False
            self.since_ms = at_ms
        state = self.keys.get(entry.key)
        if entry.kind == EntryKind.CLAIM:
            self._claim(offset, at_ms, entry, state)
        elif entry.kind == EntryKind.RELEASE:
            self._release(offset, at_ms, entry, state)
        elif entry.kind == EntryKind.DONE:
            self._done(at_ms, entry, state)
        else:
            self._keep(at_ms, entry, state)

    def _claim(
        self, offset: int, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        if state is None:
            state = self._add(entry.key, at_ms)
        elif state.attempt is not None or entry.seen <= state.barrier:
            return
        state.attempt = entry.attempt
        state.fingerprint = entry.fingerprint
        state.until_ms = entry.until_ms
        self._date(entry.key, state, at_ms, bool(entry.dated))
        self._written(entry.key, state, at_ms)

    def _release(
        self, offset: int, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        if state is None:
            state = self._add(entry.key, at_ms)
        elif state.attempt is not None and (
            state.attempt != entry.attempt or state.status
        ):
            # The holder's own release will be a later barrier than this.
            return
        state.attempt = None
        state.barrier = offset
        state.released = entry.attempt
        # A barrier is of use only against requests that are still open.
        self._date(entry.key, state, at_ms, dated=True)

    def _done(self, at_ms: int, entry: Entry, state: KeyState | None) -> None:
        if state is None:
            # Its claim is no longer kept; that it ran is certain.
            state = self._add(entry.key, at_ms)
            self._date(entry.key, state, at_ms, dated=False)
        elif state.status:
            return
        elif state.attempt != entry.attempt:
            # Only a reader that missed the claim comes here.
            state.fingerprint = b""
        state.attempt = entry.attempt
        state.status = entry.status
        self._written(entry.key, state, at_ms)

    def _keep(self, at_ms: int, entry: Entry, state: KeyState | None) -> None:
        if state is None:
            state = self._add(entry.key, at_ms)
        elif state.attempt == entry.attempt:
            state.status = state.status or entry.status or 0
            self._written(entry.key, state, at_ms)
            return
        elif state.attempt is not None:
            # Either reader may have missed a release; none may free it now.
            if not state.status:
                state.attempt = NOBODY
            return
        elif state.released == entry.attempt:
            return
        state.attempt = entry.attempt
        state.fingerprint = entry.fingerprint
        state.status = entry.status or 0
        state.until_ms = entry.until_ms
        self._date(entry.key, state, entry.claimed_ms, bool(entry.dated))
        self._written(entry.key, state, at_ms)

    def _add(self, key: bytes, at_ms: int) -> KeyState:
        state = KeyState(
            attempt=None,
            fingerprint=b"",
            status=0,
            dated=True,
            until_ms=at_ms,
            claimed_ms=at_ms,
            written_ms=at_ms,
            barrier=NO_RELEASE,
            released=None,
        )
        self.keys[key] = state
        return state

    def _date(
        self, key: bytes, state: KeyState, claimed_ms: int, dated: bool
    ) -> None:
        """Set from when on and for how long the key is remembered."""
        state.claimed_ms = claimed_ms
        state.dated = dated
        expiries = self.dated if dated else self.undated
        expiries.append(KeyTime(self.expires_ms(state), key))

    def _written(self, key: bytes, state: KeyState, at_ms: int) -> None:
        """Note that a record of a held key was written at `at_ms`."""
        state.written_ms = at_ms
        if not state.dated:
            self.written.append(KeyTime(at_ms, key))

    def expires_ms(self, state: KeyState) -> int:
        """Return when `state` is forgotten, by the log's clock."""
        if state.dated:
            return state.claimed_ms + self.dated_keep_ms
        return state.claimed_ms + self.undated_keep_ms

    def _forget(
        self, expiries: collections.deque[KeyTime], keep_ms: int
    ) -> None:
        while expiries and expiries[0].at_ms < self.now_ms:
            key = expiries.popleft().key
            state = self.keys.get(key)
            if state and self.expires_ms(state) < self.now_ms:
                del self.keys[key]

    def has(self, entry: Entry) -> bool:
        """Return whether `entry` is known to have been folded before."""
        state = self.keys.get(entry.key)
        if state is None:
            return False
        if entry.kind == EntryKind.CLAIM:
            return state.attempt == entry.attempt
        if entry.kind == EntryKind.RELEASE:
            return state.released == entry.attempt
        if entry.kind == EntryKind.DONE:
            return state.attempt == entry.attempt and state.status > 0
        return False

    def look(self, key: bytes, fingerprint: bytes | None) -> Verdict:
        """Return what is known of `key`.

        Args:
            key: The key's digest.
            fingerprint: The digest of a request that wants to run, or None.
        """
        state = self.keys.get(key)
        if state is None or state.attempt is None:
            return Verdict(VerdictKind.FREE)
        # A done entry without its claim leaves no fingerprint to compare.
        if fingerprint and state.fingerprint not in (b"", fingerprint):
            return Verdict(VerdictKind.REUSED)
        if state.status:
            return Verdict(VerdictKind.DONE, status=state.status)
        return Verdict(VerdictKind.HELD, until_ms=state.until_ms)

    def judge(self, entry: Entry) -> Verdict:
        """Return what became of `entry`, which was folded just now."""
        if entry.kind == EntryKind.CLAIM:
            state = self.keys.get(entry.key)
            if state is None or state.attempt is None:
                return Verdict(VerdictKind.DEAD)
            if state.attempt == entry.attempt and not state.status:
                return Verdict(VerdictKind.GRANTED)
        return self.look(entry.key, entry.fingerprint)
