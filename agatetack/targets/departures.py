"""Keep the signs that targets are leaving, and when they may be back."""

from collections.abc import Sequence

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, TargetId
from agatetack.targets.leaving import LeavingRecord, LeavingSign
from agatetack.targets.state import TargetState

MOST_RECORDS = 20_000
"""Targets of which it is remembered that they leave; the first go first."""

decisions = DecisionLog("targets")


class Departures:
    """The targets that get no new work as they leave.

    Where each start of a target has an id of its own, nothing undoes what the
    target said itself: it has no way to be live again under that id, whatever
    lists and load endpoints say meanwhile.

    Attributes:
        records: Why, by target.
        returns: How often each target has come back from that.
        hold_seconds: How long nothing undoes a sign.
        ids_by_start: Whether each start of a target has an id of its own.
    """

    def __init__(self, hold_seconds: float, ids_by_start: bool = False):
        """Start with no target that leaves."""
        self.records: dict[TargetId, LeavingRecord] = {}
        self.returns: dict[TargetId, int] = {}
        self.hold_seconds = hold_seconds
        self.ids_by_start = ids_by_start

    def get(self, target_id: TargetId) -> LeavingRecord | None:
        """Return why a target leaves, or None if it does not."""
        return self.records.get(target_id)

    def note_sign(
        self, target: TargetState, why: LeavingSign, now: Deadline
    ) -> None:
        """Take a sign that `target` is leaving, the first one or another."""
        record = self.records.get(target.id)
        if record is not None:
            record.note_sign(why, now, self.hold_seconds)
            return
        record = LeavingRecord(
            why,
            now,
            now,
            returns=self.returns.get(target.id, 0),
            incarnation=target.incarnation,
            id_of_one_start=self.ids_by_start,
        )
        if len(self.records) >= MOST_RECORDS:
            self.forget(next(iter(self.records)))
        self.records[target.id] = record
        record.hold(now, self.hold_seconds)
        decisions.note(
            "target-leaving",
            target=target.id,
            service=target.service,
            sign=why.value,
            final=record.final,
        )

    def may_return(self, target_id: TargetId, now: Deadline) -> bool:
        """Return whether a target that says to be ready may get work."""
        record = self.records[target_id]
        return record.may_return(now, self.hold_seconds)

    def end(self, target_id: TargetId) -> LeavingRecord:
        """Let a target come back; return why it was gone."""
        record = self.records.pop(target_id)
        self.returns[target_id] = record.returns + 1
        return record

    def forget(self, target_id: TargetId) -> None:
        """Forget all signs of a target."""
        del self.records[target_id]
        self.returns.pop(target_id, None)

    def forget_earlier(self, target: TargetState) -> None:
        """Forget the signs that an earlier start of `target` gave."""
        record = self.records.get(target.id)
        if record is not None and record.incarnation < target.incarnation:
            self.forget(target.id)

    def forget_if_over(self, target_id: TargetId, now: Deadline) -> None:
        """Forget the signs of a target that is gone, once their hold is over.

        Until then they keep out one that is listed again under its name.
        """
        record = self.records.get(target_id)
        if record is not None and now >= record.hold_until:
            self.forget(target_id)

    def over(self, now: Deadline) -> Sequence[TargetId]:
        """Return the targets whose hold is over."""
        return [
            target_id
            for target_id, record in self.records.items()
            if now >= record.hold_until
        ]

    def holds(self, target_id: TargetId, now: Deadline) -> bool:
        """Return whether nothing undoes the signs of a target yet."""
        record = self.records.get(target_id)
        return record is not None and now < record.hold_until

    def is_final(self, target_id: TargetId) -> bool:
        """Return whether nothing undoes the signs of a target ever."""
        record = self.records.get(target_id)
        return record is not None and record.final
