"""Fold a claim stream into the holder of each key, the same on every host.

Rules, applied in the order of the log:

* A claim is granted if its key is free and the claim's host had read the
  key's last release when the request arrived.
* A release frees the key that its attempt holds. On a free key it is a
  barrier: every claim whose host had not read it is dead, also the claim of
  the same attempt.
* A done entry makes its key done; nothing frees a done key.
* A keep entry makes its attempt the holder for a reader that knows of no
  holder. If another attempt holds the key, the key stays held until it is
  done or expires.

A reader that starts at a later record may regard a key as held that others
know to be free, but never the reverse, as free keys are not written again.
"""

import collections
import dataclasses

from agatetack.claims.done_keys import DoneKey, DoneKeys
from agatetack.generated.claims.ttypes import (
    Entry,
    EntryKind,
    Verdict,
    VerdictKind,
)
from agatetack.ids import LogOffset
from agatetack.settings.model import Settings

NO_RELEASE = -1
"""Last release offset of a key that was never released."""

AMBIGUOUS_HOLDER = b""
"""Holder of a key that two attempts seem to hold; no release matches it."""

MS_PER_SECOND = 1000
"""Milliseconds in a second."""

UNDATED_GENERATION_RATIO = 0.1
"""Share of the log's retention whose keys are written again together."""

MINUTE_MS = 60 * MS_PER_SECOND
"""Milliseconds in a minute, the step in which keys expire."""


@dataclasses.dataclass(slots=True)
class KeyState:
    """What is known of a key that is free or held.

    Attributes:
        holder: The attempt that holds it, or None if it is free.
        fingerprint: Digest of the holder's request.
        dated: Whether the caller sent the time at which the key was issued.
        until_ms: The holder's deadline on the wall clock, in ms since 1970.
        claimed_ms: When it was claimed or freed, by the log's clock.
        written_ms: When its newest record was written, by the log's clock.
        last_release_offset: The offset of its last release, or `NO_RELEASE`.
        last_released_attempt: The attempt named in its last release.
    """

    holder: bytes | None
    fingerprint: bytes
    dated: bool
    until_ms: int
    claimed_ms: int
    written_ms: int
    last_release_offset: int
    last_released_attempt: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWrite:
    """When a record of a key was written, by the log's clock."""

    at_ms: int
    key: bytes


class Fold:
    """The keys of one partition.

    Attributes:
        next: The first offset not folded yet.
        now_ms: The latest time seen on the log's clock.
        known_since_ms: Claims before this time may be missing.
        has_gap: Whether records before the next one were never read.
        keys: The state of each key that is free or held.
        done_dated: Dated keys that are done; they never change again.
        done_undated: Keys without a time of issue that are done.
        expiries: Keys by the minute after which they expire.
        held_writes: When records of held, undated keys were written, in order.
    """

    def __init__(self, settings: Settings):
        """Start with no keys, before the first record."""
        claims = settings.claims
        self.dated_keep_ms = int(2 * claims.key_window_seconds * MS_PER_SECOND)
        self.undated_keep_ms = int(
            claims.undated_window_seconds * MS_PER_SECOND
        )
        self.next = LogOffset(0)
        self.now_ms = 0
        self.known_since_ms = 0
        self.has_gap = False
        self.keys: dict[bytes, KeyState] = {}
        max_keys = -(-claims.max_keys // claims.partitions)
        retention_ms = settings.platform.log.retention_seconds * MS_PER_SECOND
        self.done_dated = DoneKeys(max_keys, self.dated_keep_ms // 4)
        self.done_undated = DoneKeys(
            max_keys, int(retention_ms * UNDATED_GENERATION_RATIO)
        )
        self.expiries: dict[int, set[bytes]] = {}
        self.held_writes: collections.deque[KeyWrite] = collections.deque()

    def start(self, offset: LogOffset) -> None:
        """Continue at `offset`, as the records before it were dropped."""
        self.next = offset
        self.has_gap = True

    def advance(self, offset: LogOffset, at_ms: int) -> None:
        """Mark the record at `offset` as folded; drop expired keys."""
        self.next = LogOffset(offset + 1)
        minute = self.now_ms // MINUTE_MS
        self.now_ms = max(self.now_ms, at_ms)
        if self.now_ms // MINUTE_MS > minute:
            self._drop_expired()

    def apply(self, offset: LogOffset, at_ms: int, entry: Entry) -> None:
        """Fold one entry of the record at `offset`."""
        at_ms = max(at_ms, self.now_ms)
        if self.has_gap:
            self.has_gap = False
            self.known_since_ms = at_ms
        state = self.keys.get(entry.key)
        if state is None and self._apply_if_done(at_ms, entry):
            return
        if entry.kind == EntryKind.CLAIM:
            self._apply_claim(offset, at_ms, entry, state)
        elif entry.kind == EntryKind.RELEASE:
            self._apply_release(offset, at_ms, entry, state)
        elif entry.kind == EntryKind.DONE:
            self._apply_done(at_ms, entry, state)
        else:
            self._apply_keep(at_ms, entry, state)

    def _apply_claim(
        self, offset: int, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        if state is None:
            state = self._add_key(entry.key, at_ms)
        elif (
            state.holder is not None or entry.seen <= state.last_release_offset
        ):
            return
        state.holder = entry.attempt
        state.fingerprint = entry.fingerprint
        state.until_ms = entry.until_ms
        self._set_expiry(entry.key, state, at_ms, bool(entry.dated))
        self._record_write(entry.key, state, at_ms)

    def _apply_release(
        self, offset: int, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        if state is None:
            state = self._add_key(entry.key, at_ms)
        elif state.holder not in (None, entry.attempt):
            # A later release by the holder will be a barrier for this one, too.
            return
        state.holder = None
        state.last_release_offset = offset
        state.last_released_attempt = entry.attempt
        # A barrier matters only to requests that are still open.
        self._set_expiry(entry.key, state, at_ms, dated=True)

    def _apply_if_done(self, at_ms: int, entry: Entry) -> bool:
        """Return whether the key is done; record if it is written again."""
        if self.done_dated.find(entry.key):
            return True
        if not self.done_undated.find(entry.key):
            return False
        if entry.kind == EntryKind.KEEP:
            self.done_undated.move_to_newest(entry.key, at_ms)
        return True

    def _apply_done(
        self, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        fingerprint = b""
        dated = False
        if state is not None:
            self._cancel_expiry(entry.key, state)
            del self.keys[entry.key]
        # A reader that missed the claim does not know its fingerprint.
        if state is not None and state.holder == entry.attempt:
            fingerprint = state.fingerprint
            dated = state.dated
        claimed_ms = state.claimed_ms if state else at_ms
        self._add_done(entry, fingerprint, dated, claimed_ms, at_ms)

    def _add_done(
        self,
        entry: Entry,
        fingerprint: bytes,
        dated: bool,
        claimed_ms: int,
        at_ms: int,
    ) -> None:
        """Store a done key in the compact form."""
        keep_ms = self.dated_keep_ms if dated else self.undated_keep_ms
        done = DoneKey(
            entry.key, fingerprint, entry.status, claimed_ms + keep_ms
        )
        keys = self.done_dated if dated else self.done_undated
        keys.add(done, at_ms)
        while self.held_writes and self.held_writes[0].key not in self.keys:
            self.held_writes.popleft()

    def _apply_keep(
        self, at_ms: int, entry: Entry, state: KeyState | None
    ) -> None:
        if entry.status:
            # The request certainly ran, whichever records were missed here.
            if state is not None:
                self._cancel_expiry(entry.key, state)
                del self.keys[entry.key]
            self._add_done(
                entry, entry.fingerprint, False, entry.claimed_ms, at_ms
            )
            return
        if state is None:
            state = self._add_key(entry.key, at_ms)
        elif state.holder == entry.attempt:
            self._record_write(entry.key, state, at_ms)
            return
        elif state.holder is not None:
            # This reader or the entry's writer may have missed a release, so
            # no release may free the key any more.
            state.holder = AMBIGUOUS_HOLDER
            return
        elif state.last_released_attempt == entry.attempt:
            return
        state.holder = entry.attempt
        state.fingerprint = entry.fingerprint
        state.until_ms = entry.until_ms
        self._set_expiry(entry.key, state, entry.claimed_ms, bool(entry.dated))
        self._record_write(entry.key, state, at_ms)

    def _add_key(self, key: bytes, at_ms: int) -> KeyState:
        state = KeyState(
            holder=None,
            fingerprint=b"",
            dated=True,
            until_ms=at_ms,
            claimed_ms=at_ms,
            written_ms=at_ms,
            last_release_offset=NO_RELEASE,
            last_released_attempt=None,
        )
        self.keys[key] = state
        return state

    def _set_expiry(
        self, key: bytes, state: KeyState, claimed_ms: int, dated: bool
    ) -> None:
        """Set the time of the claim and schedule the expiry of the key."""
        self._cancel_expiry(key, state)
        state.claimed_ms = claimed_ms
        state.dated = dated
        minute = self.expires_ms(state) // MINUTE_MS
        self.expiries.setdefault(minute, set()).add(key)

    def _cancel_expiry(self, key: bytes, state: KeyState) -> None:
        keys = self.expiries.get(self.expires_ms(state) // MINUTE_MS)
        if keys is not None:
            keys.discard(key)

    def _record_write(self, key: bytes, state: KeyState, at_ms: int) -> None:
        """Record that an entry of a held key was written at `at_ms`."""
        state.written_ms = at_ms
        if not state.dated:
            self.held_writes.append(KeyWrite(at_ms, key))

    def expires_ms(self, state: KeyState) -> int:
        """Return when `state` expires, by the log's clock."""
        if state.dated:
            return state.claimed_ms + self.dated_keep_ms
        return state.claimed_ms + self.undated_keep_ms

    def _drop_expired(self) -> None:
        now = self.now_ms // MINUTE_MS
        for minute in [m for m in self.expiries if m < now]:
            for key in self.expiries.pop(minute):
                del self.keys[key]
        self.done_dated.drop_expired(self.now_ms)
        self.done_undated.drop_expired(self.now_ms)

    def __len__(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self.keys) + len(self.done_dated) + len(self.done_undated)

    def find_done(self, key: bytes) -> DoneKey | None:
        """Return the done key with digest `key`, or None."""
        return self.done_dated.find(key) or self.done_undated.find(key)

    def has(self, entry: Entry) -> bool:
        """Return whether `entry` is known to have been folded before."""
        if entry.kind == EntryKind.DONE:
            return self.find_done(entry.key) is not None
        state = self.keys.get(entry.key)
        if state is None or entry.kind == EntryKind.KEEP:
            return False
        if entry.kind == EntryKind.CLAIM:
            return state.holder == entry.attempt
        return state.last_released_attempt == entry.attempt

    def lookup(self, key: bytes, fingerprint: bytes | None) -> Verdict:
        """Return the current verdict on `key`.

        Args:
            key: The key's digest.
            fingerprint: The digest of a request to compare with the one that
                used the key, or None.
        """
        state = self.keys.get(key)
        if state is None:
            return self._lookup_done(key, fingerprint)
        if state.holder is None:
            return Verdict(VerdictKind.FREE)
        if fingerprint and state.fingerprint != fingerprint:
            return Verdict(VerdictKind.REUSED)
        return Verdict(VerdictKind.HELD, until_ms=state.until_ms)

    def _lookup_done(self, key: bytes, fingerprint: bytes | None) -> Verdict:
        done = self.find_done(key)
        if done is None:
            return Verdict(VerdictKind.FREE)
        if done.differs(fingerprint):
            return Verdict(VerdictKind.REUSED)
        return Verdict(VerdictKind.DONE, status=done.status)

    def verdict_on(self, entry: Entry) -> Verdict:
        """Return the verdict on `entry`, which was just folded."""
        if entry.kind != EntryKind.CLAIM:
            return self.lookup(entry.key, entry.fingerprint)
        state = self.keys.get(entry.key)
        if state is not None and state.holder == entry.attempt:
            return Verdict(VerdictKind.GRANTED)
        verdict = self.lookup(entry.key, entry.fingerprint)
        if verdict.kind == VerdictKind.FREE:
            return Verdict(VerdictKind.DEAD)
        return verdict
