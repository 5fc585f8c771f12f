"""Track which failure domains are evacuated: their targets get no requests.

An evacuation is a separate record next to the operators' document. It reaches
hosts the same way as the document, so a host that can't read the store gets it
from its peers or from a seed.
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
"""How long an evacuation stays in force after the store lost it, unless it is
written again. If it ended meanwhile, the store may have no record of that."""

DomainsCallback = Callable[[Set[FailureDomain]], None]
"""Called with all evacuated failure domains after each change; must not block
or raise."""

log = DecisionLog("targets")


class EvacuationKeys(abc.ABC):
    """Recognizes the keys of evacuation records."""

    @abc.abstractmethod
    def domain(self, key: str) -> FailureDomain | None:
        """Return the failure domain that the record `key` evacuates, if any."""


class Evacuations(TopicReader):
    """The failure domains that are evacuated now.

    An evacuation is in force while its record exists, whatever its value. If
    the removal record is no longer kept, the evacuation ends when all keys are
    read again.

    Attributes:
        domains: The failure domains.
    """

    def __init__(
        self, keys: EvacuationKeys, listen: DomainsCallback, metrics: Metrics
    ):
        """Call `listen` after each change."""
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

    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the existing evacuations; all others are over."""
        self._put_in_force(self._changed(frozenset(), records))

    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Apply evacuations that began or ended."""
        self._put_in_force(self._changed(self.domains, records))

    def valid_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when an evacuation that the store lost stays in force.

        One that has ended but is in the store again may have been started
        again, so it is treated as in force.
        """
        lost = known.value is not None and found is None
        if not lost or self.keys.domain(known.key) is None:
            return None
        return Deadline(trio.current_time() + LOST_EVACUATION_SECONDS)

    def _changed(
        self, domains: Set[FailureDomain], records: Sequence[KeyedRecord]
    ) -> frozenset[FailureDomain]:
        """Return `domains` after applying `records` in order."""
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
