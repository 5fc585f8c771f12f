"""Keep the targets that registered themselves, and doubt what an outage hid."""

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
"""How long a target is believed whose registration the store has lost; a live
one registers again with its next reports, 1.5 s apart."""

OUTDATED_SECONDS = 30.0
"""How long what is known of a target holds against an older registration that
the store has in its place. One of a target that has left lapses meanwhile."""

MAX_DEPARTED = 10_000
"""Targets that were removed and are remembered; the oldest are forgotten."""

REPEAT_SECONDS = 2.0
"""How often targets are told again when nothing changes."""

Listen = Callable[[Sequence[ListedTarget]], None]
"""Called with all targets after each change; must not block or raise."""


class RegisteredTargets(TopicReader):
    """The targets that are registered, as this host believes.

    A registration lapses when a target is silent, and also while the store is
    away, when the target's heartbeats can't reach it. So what is missing when
    the store is back is kept for `doubt_seconds`, in which live targets
    register again; what is missing after that is gone.

    Attributes:
        targets: The targets believed, by key.
        departed: What was known last of targets that were removed, by key.
        doubted: Those whose registration is missing, with the time at which
            they are taken for gone.
        known: Whether the registrations have been read.
        doubt_until: Registrations that vanish before this time are doubted.
    """

    def __init__(
        self,
        settings: Settings,
        decoder: RegistrationDecoder,
        listen: Listen,
        metrics: Metrics,
    ):
        """Tell `listen` of changes."""
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
        """Give up targets whose time of doubt is over, until cancelled."""
        while True:
            self.changed = trio.Event()
            soonest = min(self.doubted.values(), default=float("inf"))
            repeat_at = trio.current_time() + REPEAT_SECONDS
            with trio.move_on_at(min(soonest, repeat_at)):
                await self.changed.wait()
            self._end_doubts()
            if trio.current_time() >= repeat_at:
                # That a target is still registered is evidence to those who
                # weigh signs of its leaving.
                self._tell()

    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Take the registrations there are; all others are gone."""
        present = {r.key for r in records if r.value is not None}
        for key in self.targets.keys() - present:
            self._lose(key)
        self.known = True
        self.take_new(records)

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take registrations that were made, changed or removed."""
        for record in records:
            if record.value is None:
                self._lose(record.key)
            else:
                self._take(record.key, record.value)
        self._tell()

    def take_sound(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Take what a host read for which the store was there all the while.

        The store may turn this host away and serve the others: what it
        removed then is gone, and no outage hides it.
        """
        before, self.doubt_until = self.doubt_until, Deadline(0.0)
        super().take_sound(records, whole)
        self.doubt_until = before

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a lost registration, or a removal, holds."""
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

    def lost_touch(self) -> None:
        """Doubt what vanishes until the store has been back for a while."""
        self._doubt_until(Deadline(float("inf")))

    def in_touch(self) -> None:
        """Doubt what vanished, or vanishes soon, for a while from now."""
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
            # Whoever wrote it: what stood there before stands no more.
            if key in self.targets:
                self._remove(key, "registration-malformed")
            return
        known = self.targets.get(key)
        if known is not None and target.is_older_than(known):
            self._note_outdated(known, target)
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

    def _lose(self, key: str) -> None:
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
            self._tell()

    def _tell(self) -> None:
        self.listen(tuple(self.targets.values()))


def _repeats(
    stored: ListedTarget, last: ListedTarget, known: KeyedRecord
) -> bool:
    """Return whether a registration says nothing later than was known.

    Args:
        stored: The registration that the store has.
        last: What the target said last, as far as it was known.
        known: The record that was known, which may be its removal.
    """
    if stored.incarnation != last.incarnation:
        return stored.is_older_than(last)
    if known.value is None:
        return stored.sequence <= last.sequence
    return stored.sequence < last.sequence
