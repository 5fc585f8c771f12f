"""Keep the signs that targets are leaving, and when they may be back."""

from collections.abc import Sequence

from agatetack.ids import Deadline, TargetId
from agatetack.logs import PartLog
from agatetack.targets.leaving import LeavingRecord, LeavingSign
from agatetack.targets.state import TargetState

log = PartLog("targets")


class Departures:
    """The targets that get no new work as they leave.

    Attributes:
        records: Why, by target.
        returns: How often each target has come back from that.
        hold_seconds: How long nothing undoes a sign.
    """

    def __init__(self, hold_seconds: float):
        """Start with no target that leaves."""
        self.records: dict[TargetId, LeavingRecord] = {}
        self.returns: dict[TargetId, int] = {}
        self.hold_seconds = hold_seconds

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
        )
        self.records[target.id] = record
        log.info("target %s is leaving: %s", target.id, why.value)
        record.hold(now, self.hold_seconds)

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
