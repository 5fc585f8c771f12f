"""Keep which failure domains operators evacuated: their targets get no work.

An evacuation is a record of its own beside the operators' document. It reaches
hosts as the document does, so one that can't read the store has it from its
peers or from a seed.
"""

import abc
from collections.abc import Callable, Sequence, Set

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, FailureDomain
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord
from agatetack.metrics import Metrics

LOST_EVACUATION_SECONDS = 60.0
"""How long an evacuation holds that the store has lost, unless it is written
again. One that ended meanwhile may have left nothing there that says so."""

Listen = Callable[[Set[FailureDomain]], None]
"""Called with all evacuated failure domains after each change; must not block
or raise."""

log = DecisionLog("targets")


class EvacuationKeys(abc.ABC):
    """A way to tell records of evacuations from others."""

    @abc.abstractmethod
    def domain(self, key: str) -> FailureDomain | None:
        """Return the failure domain that the record `key` evacuates, if any."""


class Evacuations(TopicReader):
    """The failure domains that are evacuated now.

    A record puts one in force, whatever it says, and its removal ends it. An
    evacuation whose removal nobody kept ends when all keys are read anew.

    Attributes:
        domains: The failure domains.
    """

    def __init__(self, keys: EvacuationKeys, listen: Listen, metrics: Metrics):
        """Tell `listen` of changes."""
        self.keys = keys
        self.listen = listen
        self.domains: frozenset[FailureDomain] = frozenset()
        self.changes = metrics.counter(
            "agatetack_evacuations_total",
            "Evacuations of failure domains, by result.",
        )
        self.shown = metrics.gauge(
            "agatetack_evacuated_domains",
            "Failure domains whose targets get no work now.",
        )

    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Take the evacuations there are; all others are over."""
        self._put_in_force(self._changed(frozenset(), records))

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take evacuations that began or ended."""
        self._put_in_force(self._changed(self.domains, records))

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when an evacuation holds that the store has lost.

        One that is found there again though it was over may have been begun
        anew, and is taken for that.
        """
        lost = known.value is not None and found is None
        if not lost or self.keys.domain(known.key) is None:
            return None
        return Deadline(trio.current_time() + LOST_EVACUATION_SECONDS)

    def _changed(
        self, domains: Set[FailureDomain], records: Sequence[KeyedRecord]
    ) -> frozenset[FailureDomain]:
        """Return `domains` after `records`, of which the later ones count."""
        found = set(domains)
        for record in records:
            domain = self.keys.domain(record.key)
            if domain is None:
                continue
            if record.value is None:
                found.discard(domain)
            else:
                found.add(domain)
        return frozenset(found)

    def _put_in_force(self, domains: frozenset[FailureDomain]) -> None:
        if domains == self.domains:
            return
        for domain in sorted(domains - self.domains):
            self.changes.inc({"result": "begun"})
            log.note("domain-evacuated", failure_domain=domain)
        for domain in sorted(self.domains - domains):
            self.changes.inc({"result": "over"})
            log.note("evacuation-over", failure_domain=domain)
        self.domains = domains
        self.shown.set({}, len(domains))
        self.listen(domains)
