"""Track registered targets, and keep those that an outage may have removed."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.hosts.host_list import HostState
from agatetack.hosts.listed_target import (
    BadRegistration,
    ListedTarget,
    RegistrationDecoder,
)
from agatetack.ids import Deadline
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

log = DecisionLog("targets")

LOST_TARGET_SECONDS = 5.0
"""How long a target stays in use after the store lost its registration. A live
target registers again with its next reports, which are 1.5 s apart."""

OUTDATED_SECONDS = 30.0
"""How long a target's known state prevails over an older registration that the
store has after a loss. The registration of a target that left expires in this
time."""

MAX_DEPARTED = 10_000
"""Maximum number of removed targets that are remembered, the latest ones."""

REPEAT_SECONDS = 2.0
"""How often the listener is called when nothing changes."""

TargetsCallback = Callable[[Sequence[ListedTarget]], None]
"""Called with all targets after each change; must not block or raise."""


class RegisteredTargets(TopicReader):
    """The registered targets that this host uses.

    A registration expires when its target stops sending heartbeats, but also
    when the heartbeats can't reach the store in an outage. Targets that are
    missing once the store is back are therefore kept for `doubt_seconds`, in
    which live targets register again. Those still missing then are removed.

    Attributes:
        targets: The targets in use, by key.
        departed: The last known state of removed targets, by key.
        doubted: Targets whose registration is missing, with the time at which
            they are removed.
        known: Whether the registrations have been read.
        doubt_until: Targets whose registration disappears before this time
            are doubted rather than removed.
    """

    def __init__(
        self,
        settings: Settings,
        decoder: RegistrationDecoder,
        listen: TargetsCallback,
        metrics: Metrics,
    ):
        """Call `listen` after each change."""
        self.doubt_seconds = settings.platform.store.doubt_seconds
        self.decoder = decoder
        self.listen = listen
        self.targets: dict[str, ListedTarget] = {}
        self.departed: OrderedDict[str, ListedTarget] = OrderedDict()
        self.doubted: dict[str, Deadline] = {}
        self.doubt_until = Deadline(0.0)
        self.changed = trio.Event()
        self.known = False
        self.taken = metrics.counter(
            "agatetack_registrations_total",
            "Registrations of targets read, by result.",
        )

    async def run(self) -> None:
        """Remove targets whose doubt period is over, until cancelled."""
        while True:
            self.changed = trio.Event()
            soonest = min(self.doubted.values(), default=float("inf"))
            repeat_at = trio.current_time() + REPEAT_SECONDS
            with trio.move_on_at(min(soonest, repeat_at)):
                await self.changed.wait()
            self._end_doubts()
            if trio.current_time() >= repeat_at:
                # Listeners that weigh signs of a target's leaving use its
                # registration as evidence against them.
                self._notify()

    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the existing registrations; all others are missing."""
        present = {r.key for r in records if r.value is not None}
        for key in self.targets.keys() - present:
            self._handle_missing(key)
        self.known = True
        self.apply_new(records)

    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Apply registrations that were added, changed or removed."""
        for record in records:
            if record.value is None:
                self._handle_missing(record.key)
            else:
                self._take(record.key, record.value)
        self._notify()

    def apply_confirmed(
        self, records: Sequence[KeyedRecord], whole: bool
    ) -> None:
        """Process records from a host that could reach the store all along.

        The store may refuse this host while it serves others. Removals that
        another host read then are real and not a result of an outage.
        """
        before, self.doubt_until = self.doubt_until, Deadline(0.0)
        super().apply_confirmed(records, whole)
        self.doubt_until = before

    def valid_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a lost registration or removal stays valid."""
        now = trio.current_time()
        if found is None:
            lost = known.value is not None
            return Deadline(now + LOST_TARGET_SECONDS) if lost else None
        last = self.departed.get(known.key)
        if known.value is not None:
            last = self._decoded(known)
        stored = self._decoded(found)
        if last is None or stored is None or not _repeats(stored, last, known):
            return None
        return Deadline(now + OUTDATED_SECONDS)

    def _decoded(self, record: KeyedRecord) -> ListedTarget | None:
        if record.value is None:
            return None
        try:
            return self.decoder.decode(record.key, record.value)
        except BadRegistration:
            return None

    def note_unreachable(self) -> None:
        """Doubt removals until the store has been reachable for a while."""
        self._doubt_until(Deadline(float("inf")))

    def note_reachable(self) -> None:
        """Doubt past and new removals for `doubt_seconds` from now."""
        now = trio.current_time()
        self._doubt_until(Deadline(now + self.doubt_seconds))

    def _doubt_until(self, until: Deadline) -> None:
        self.doubt_until = until
        for key in self.doubted:
            self.doubted[key] = until
        self.changed.set()

    def _take(self, key: str, content: bytes) -> None:
        try:
            target = self.decoder.decode(key, content)
        except BadRegistration as error:
            self.taken.inc({"result": "malformed"})
            log.note("registration-malformed", key=key, cause=str(error))
            # The malformed record replaces the previous registration.
            if key in self.targets:
                self._remove(key, "registration-malformed")
            return
        known = self.targets.get(key)
        if known is not None and target.is_older_than(known):
            self._note_outdated(known, target)
            return
        last = self.departed.get(key)
        if last is not None and 0 < target.incarnation < last.incarnation:
            # It comes late, from a process before the one that was removed.
            self._note_outdated(last, target)
            return
        self.doubted.pop(key, None)
        self.departed.pop(key, None)
        self.targets[key] = target
        self._note_change(known, target)

    def _note_outdated(self, known: ListedTarget, target: ListedTarget) -> None:
        self.taken.inc({"result": "outdated"})
        log.note(
            "registration-outdated",
            target=target.id,
            incarnation=target.incarnation,
            sequence=target.sequence,
            known_incarnation=known.incarnation,
            known_sequence=known.sequence,
        )

    def _note_change(
        self, known: ListedTarget | None, target: ListedTarget
    ) -> None:
        if known is None:
            self.taken.inc({"result": "new"})
            log.note(
                "target-registered",
                target=target.id,
                service=target.service,
                incarnation=target.incarnation,
            )
        elif known.incarnation != target.incarnation:
            self.taken.inc({"result": "restarted"})
            log.note(
                "target-restarted",
                target=target.id,
                incarnation=target.incarnation,
                before=known.incarnation,
            )
        elif known.state is not target.state:
            self.taken.inc({"result": "changed"})
            state = target.state.value
            log.note("target-state", target=target.id, state=state)

    def _handle_missing(self, key: str) -> None:
        target = self.targets.get(key)
        if target is None:
            return
        doubtful = trio.current_time() < self.doubt_until
        if doubtful and key in self.doubted:
            return
        if doubtful and target.state is HostState.LIVE:
            self.doubted[key] = self.doubt_until
            self.changed.set()
            log.note("target-doubted", target=key)
            return
        self._remove(key, "registration-removed")

    def _remove(self, key: str, why: str) -> None:
        self.departed[key] = self.targets.pop(key)
        self.departed.move_to_end(key)
        if len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)
        self.doubted.pop(key, None)
        self.taken.inc({"result": "gone"})
        log.note("target-gone", target=key, why=why)

    def _end_doubts(self) -> None:
        now = trio.current_time()
        over = [key for key, until in self.doubted.items() if until <= now]
        for key in over:
            self._remove(key, "still-missing")
        if over:
            self._notify()

    def _notify(self) -> None:
        self.listen(tuple(self.targets.values()))


def _repeats(
    stored: ListedTarget, last: ListedTarget, known: KeyedRecord
) -> bool:
    """Return whether a stored registration is no newer than the known state.

    Args:
        stored: The registration that the store has.
        last: The target's last known registration.
        known: The known record, which may be a removal.
    """
    if stored.incarnation != last.incarnation:
        return stored.is_older_than(last)
    if known.value is None:
        return stored.sequence <= last.sequence
    return stored.sequence < last.sequence
