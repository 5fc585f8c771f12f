"""Track the platform's host list, and delay accepting mass removals."""

import collections
import dataclasses
import math
from collections.abc import Callable, Sequence

import trio

from agatetack.hosts.host_list import (
    HostList,
    HostListUnavailable,
    HostRole,
    HostState,
    ListedHost,
)
from agatetack.ids import Deadline, HostId, ServiceId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

LOG = PartLog("directory")


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """The difference between two lists.

    Attributes:
        added: New entries.
        updated: The new versions of changed entries.
        removed: The last versions of entries that are no longer listed.
    """

    added: Sequence[ListedHost]
    updated: Sequence[ListedHost]
    removed: Sequence[ListedHost]

    @property
    def empty(self) -> bool:
        """Return whether nothing differs."""
        return not (self.added or self.updated or self.removed)


NO_CHANGE = ListChange((), (), ())

ChangeCallback = Callable[[ListChange], None]
"""Called after the list has changed; must not block or raise.

While the list can be read, it is also called periodically with an empty change,
as evidence that a listed state such as "live" still applies.
"""

REPEAT_SECONDS = 5.0
"""How often callbacks are called for a list that is read but unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RecentRemoval:
    """A recently removed entry, counted when later removals are judged."""

    service: ServiceId
    counts_until: Deadline


class HostDirectory:
    """The list of hosts that this host uses.

    New entries and changed states are applied at once, as is the removal of a
    few entries or of entries listed as leaving. When more than `shrink_ratio`
    of a service's targets, or of the gateways, disappear within
    `shrink_hold_seconds`, the remaining ones are kept for that long even if
    they are missing: a stale or wrong list is likelier than that many failed
    hosts, and a target that really failed refuses connections. An empty list
    is never applied.

    Attributes:
        hosts: The entries in use.
        fetched_at: When the list was last read, or None.
    """

    def __init__(
        self, settings: Settings, host_list: HostList, metrics: Metrics
    ):
        """Start with no entries.

        Args:
            settings: `platform.host_list` is used.
            host_list: The source of the list.
            metrics: Counts fetches by result.
        """
        self.settings = settings.platform.host_list
        self.host_list = host_list
        self.hosts: Sequence[ListedHost] = ()
        self.fetched_at: Deadline | None = None
        self.callbacks: list[ChangeCallback] = []
        self.entries: dict[HostId, ListedHost] = {}
        self.held: dict[HostId, Deadline] = {}
        self.recent_removals: dict[HostId, _RecentRemoval] = {}
        self.last_fetch: Sequence[ListedHost] | None = None
        self.reachable = True
        self.notified_at = Deadline(-math.inf)
        self.fetches = metrics.counter(
            "agatetack_host_list_fetches_total",
            "Reads of the platform's list of hosts, by result.",
        )
        self.age = metrics.gauge(
            "agatetack_host_list_age_seconds", "Age of the list in use."
        )
        self.listed = metrics.gauge(
            "agatetack_listed_hosts", "Entries of the list, by role."
        )
        self.held_entries = metrics.gauge(
            "agatetack_host_list_held",
            "Entries kept although the list no longer has them.",
        )

    def targets(self) -> Sequence[ListedHost]:
        """Return the targets in use."""
        return [host for host in self.hosts if host.role is HostRole.TARGET]

    def gateways(self) -> Sequence[ListedHost]:
        """Return the gateways in use."""
        return [host for host in self.hosts if host.role is HostRole.GATEWAY]

    def on_change(self, callback: ChangeCallback) -> None:
        """Call `callback` after each change, and periodically without one."""
        self.callbacks.append(callback)

    def age_seconds(self) -> float | None:
        """Return the age of the list in use, or None if there is none."""
        if self.fetched_at is None:
            return None
        return trio.current_time() - self.fetched_at

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the list until cancelled; started after the first attempt."""
        await self.poll()
        task_status.started()
        while True:
            await trio.sleep(self.settings.poll_seconds)
            await self.poll()

    async def poll(self) -> None:
        """Read the list once; on failure keep using the last one."""
        deadline = trio.current_time() + self.settings.timeout_seconds
        try:
            fetched = await self.host_list.fetch(Deadline(deadline))
        except HostListUnavailable as error:
            self._failed("unavailable", str(error))
        else:
            if self.entries and not fetched:
                self._failed("empty", "it is empty")
            else:
                self._take(fetched)
        self._show()

    def _failed(self, result: str, cause: str) -> None:
        self.fetches.inc({"result": result})
        if self.reachable:
            LOG.warning("The list can't be used, the last stays: %s.", cause)
        self.reachable = False

    def _take(self, fetched: Sequence[ListedHost]) -> None:
        self.fetches.inc({"result": "ok"})
        if not self.reachable:
            LOG.info("The list can be used again.")
        self.reachable = True
        self.fetched_at = Deadline(trio.current_time())
        # The source returns the same object if the list has not changed.
        if fetched is not self.last_fetch or self.held:
            self.last_fetch = fetched
            self._apply({host.id: host for host in fetched})
        if trio.current_time() >= self.notified_at + REPEAT_SECONDS:
            self._notify(NO_CHANGE)

    def _apply(self, fetched: dict[HostId, ListedHost]) -> None:
        missing = [
            host
            for host in self.entries.values()
            if host.id not in fetched and host.state is not HostState.LEAVING
        ]
        self._hold_mass_removal(missing)
        merged = dict(fetched)
        for key in self.held:
            merged[key] = self.entries[key]
        change = _compare(self.entries, merged)
        if not change.empty:
            self.entries = merged
            self.hosts = tuple(merged.values())
            self._count_listed()
            self._notify(change)

    def _notify(self, change: ListChange) -> None:
        self.notified_at = Deadline(trio.current_time())
        for callback in self.callbacks:
            callback(change)

    def _hold_mass_removal(self, missing: Sequence[ListedHost]) -> None:
        now = trio.current_time()
        until = Deadline(now + self.settings.shrink_hold_seconds)
        self._forget_old_losses(now)
        kept: dict[HostId, Deadline] = {}
        shrunk = self._services_shrunk(missing)
        for host in missing:
            held_until = self.held.get(host.id, until)
            if host.service in shrunk and held_until > now:
                kept[host.id] = held_until
            else:
                self.recent_removals[host.id] = _RecentRemoval(
                    host.service, until
                )
        if len(kept) > len(self.held):
            LOG.warning("Too many vanished at once; %d are kept.", len(kept))
        self.held = kept

    def _services_shrunk(self, missing: Sequence[ListedHost]) -> set[ServiceId]:
        """Return the services that lost too many; "" means the gateways."""
        if not missing:
            return set()
        lost_lately = [loss.service for loss in self.recent_removals.values()]
        sizes = collections.Counter(
            host.service for host in self.entries.values()
        )
        sizes.update(lost_lately)
        losses = collections.Counter(host.service for host in missing)
        losses.update(lost_lately)
        ratio = self.settings.shrink_ratio
        return {
            service
            for service, count in losses.items()
            if count > ratio * sizes[service]
        }

    def _forget_old_losses(self, now: float) -> None:
        self.recent_removals = {
            key: loss
            for key, loss in self.recent_removals.items()
            if loss.counts_until > now
        }

    def _show(self) -> None:
        age = self.age_seconds()
        if age is not None:
            self.age.set({}, age)
        self.held_entries.set({}, len(self.held))

    def _count_listed(self) -> None:
        for role in HostRole:
            count = sum(1 for host in self.hosts if host.role is role)
            self.listed.set({"role": role.value}, count)


def _compare(
    before: dict[HostId, ListedHost], after: dict[HostId, ListedHost]
) -> ListChange:
    added: list[ListedHost] = []
    updated: list[ListedHost] = []
    for key, host in after.items():
        known = before.get(key)
        if known is None:
            added.append(host)
        # Unchanged entries are mostly the same objects.
        elif known is not host and known != host:
            updated.append(host)
    removed = [host for key, host in before.items() if key not in after]
    return ListChange(added, updated, removed)
