"""Record signs that targets are leaving, and when they may return."""

from collections.abc import Sequence

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, TargetId
from agatetack.targets.leaving import LeavingRecord, LeavingSign
from agatetack.targets.state import TargetState

MAX_RECORDS = 20_000
"""Maximum number of leaving targets on record; the oldest is evicted first."""

decisions = DecisionLog("targets")


class Departures:
    """The targets that get no new work because they are leaving.

    If each process incarnation of a target has its own id, an announcement by
    the target itself is final: no later process runs under that id, so host
    lists and load endpoints that show it as live are ignored.

    Attributes:
        records: The signs that each target is leaving.
        returns: How often each target has left and returned, and the
            incarnation that did.
        hold_seconds: How long a sign can't be revoked.
        ids_by_incarnation: Whether each process incarnation has its own id.
    """

    def __init__(self, hold_seconds: float, ids_by_incarnation: bool = False):
        """Start without leaving targets."""
        self.records: dict[TargetId, LeavingRecord] = {}
        self.returns: dict[TargetId, tuple[int, int]] = {}
        self.hold_seconds = hold_seconds
        self.ids_by_incarnation = ids_by_incarnation

    def get(self, target_id: TargetId) -> LeavingRecord | None:
        """Return the record of a leaving target, or None if it is not."""
        return self.records.get(target_id)

    def note_sign(
        self, target: TargetState, sign: LeavingSign, now: Deadline
    ) -> None:
        """Record a sign that `target` is leaving."""
        record = self.records.get(target.id)
        if record is not None:
            record.note_sign(sign, now, self.hold_seconds)
            return
        record = LeavingRecord(
            sign,
            now,
            now,
            returns=self._returns(target),
            incarnation=target.incarnation,
            id_per_incarnation=self.ids_by_incarnation,
        )
        if len(self.records) >= MAX_RECORDS:
            self.forget(next(iter(self.records)))
        self.records[target.id] = record
        record.hold(now, self.hold_seconds)
        decisions.note(
            "target-leaving",
            target=target.id,
            service=target.service,
            sign=sign.value,
            final=record.final,
        )

    def _returns(self, target: TargetState) -> int:
        count, incarnation = self.returns.get(target.id, (0, 0))
        return count if incarnation == target.incarnation else 0

    def may_return(self, target_id: TargetId, now: Deadline) -> bool:
        """Return whether a target that reports to be ready may get work."""
        record = self.records[target_id]
        return record.may_return(now, self.hold_seconds)

    def end(self, target_id: TargetId) -> LeavingRecord:
        """Let a target return; remove and return its record."""
        record = self.records.pop(target_id)
        self.returns[target_id] = record.returns + 1, record.incarnation
        return record

    def withdraw(self, target_id: TargetId) -> None:
        """Forget a sign that was wrong, as if it had never been noted."""
        record = self.records.pop(target_id)
        if record.returns:
            self.returns[target_id] = record.returns, record.incarnation

    def forget(self, target_id: TargetId) -> None:
        """Forget all signs of a target."""
        del self.records[target_id]
        self.returns.pop(target_id, None)

    def forget_earlier(self, target: TargetState) -> None:
        """Forget the signs of an earlier incarnation of `target`."""
        record = self.records.get(target.id)
        if record is not None and record.incarnation < target.incarnation:
            self.forget(target.id)

    def forget_if_over(self, target_id: TargetId, now: Deadline) -> None:
        """Forget the signs of an unlisted target once their hold is over.

        Until then they block a target that is listed again under this id.
        """
        record = self.records.get(target_id)
        if record is not None and now >= record.hold_until:
            self.forget(target_id)

    def expired(self, now: Deadline) -> Sequence[TargetId]:
        """Return the targets whose hold is over."""
        return [
            target_id
            for target_id, record in self.records.items()
            if now >= record.hold_until
        ]

    def is_held(self, target_id: TargetId, now: Deadline) -> bool:
        """Return whether the hold of a target's signs is still running."""
        record = self.records.get(target_id)
        return record is not None and now < record.hold_until

    def is_final(self, target_id: TargetId) -> bool:
        """Return whether the signs of a target can never be revoked."""
        record = self.records.get(target_id)
        return record is not None and record.final
