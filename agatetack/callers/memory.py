"""Bound the memory that the callers of a host take.

All listeners for callers share one bound. What a connection holds is counted
as the memory that it takes, not as bytes on the wire. When the bound is
exceeded, connections are closed, or their requests refused, before the
process takes more than its host has.
"""

import abc
import enum
import os
from collections.abc import Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

MEGABYTE = 1_000_000

CONNECTION_BYTES = 20 * 1024
"""Memory of a connection without requests, with its tasks."""

REQUEST_BYTES = 8 * 1024
"""Memory of a request that is handled, without header and body."""

FIELD_BYTES = 180
"""Memory of a header field that is separated from the others, beside its own
bytes."""

SHORTEST_FIELD_BYTES = 4
"""Size of the shortest header field."""

LEAST_RECLAIMED_BYTES = 8 * 1024
"""A connection that holds less than this beside its own memory is closed only
after all that hold more, and only if it waits for its caller, so that small
requests are not lost to the large ones of others."""

RECLAIMED_RATIO = 0.1
"""Share of the bound that is made free at a time, as each search looks at all
connections."""

LARGER_FACTOR = 4
"""How much more than a new request a connection must hold whose request is
given up for it."""

LEAST_AGE_SECONDS = 0.1
"""Connections that came further more recently are told apart by size."""

LOG_SECONDS = 10.0
"""Least interval of log lines about a lack of memory."""

log = DecisionLog("callers")


class Stage(enum.Enum):
    """What a connection waits for.

    Attributes:
        CALLER: For its caller, to send the rest of a request or to read.
        HOST: For the answer to a complete request, or it is being read.
    """

    CALLER = "caller"
    HOST = "host"


class MemoryHolder(abc.ABC):
    """A connection that holds memory for its caller.

    Attributes:
        charged_bytes: How much of the bound it takes.
        served: Whether an answer was written on it.
    """

    charged_bytes = 0
    served = False

    @abc.abstractmethod
    def memory_stage(self) -> Stage:
        """Return what it waits for."""

    @abc.abstractmethod
    def unchanged_since(self) -> Deadline:
        """Return when it last came further with a request."""

    @abc.abstractmethod
    def release_memory(self) -> None:
        """Discard what was received, and refuse the request or close."""


def caller_memory_bytes(settings: Settings) -> int:
    """Return the most memory that callers may take."""
    host = settings.host
    if host.memory_mb is not None:
        total = host.memory_mb * MEGABYTE
    else:
        total = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    rest = total - host.reserved_memory_mb * MEGABYTE
    return int(rest * settings.callers.memory_ratio)


def request_bytes(header_bytes: int, field_count: int) -> int:
    """Return the memory of a request that is handled, without its body."""
    # The header is kept as received and in separate fields.
    return REQUEST_BYTES + 2 * header_bytes + field_count * FIELD_BYTES


def largest_request_bytes(settings: Settings) -> int:
    """Return the memory that one request may take with its answer."""
    callers = settings.callers
    header_bytes = callers.max_header_bytes
    request = request_bytes(header_bytes, header_bytes // SHORTEST_FIELD_BYTES)
    return CONNECTION_BYTES + request + 2 * callers.replay_body_bytes


class CallerMemory:
    """The memory of all connections of callers.

    Attributes:
        limit: The most bytes that they may take.
        used: What they take now.
        holders: The connections.
        parsing: Held by the connection that parses on what was sent ahead.
    """

    def __init__(self, settings: Settings, metrics: Metrics):
        """Take the bound from `settings`."""
        self.limit = caller_memory_bytes(settings)
        self.metrics = metrics
        self.used = 0
        self.holders: set[MemoryHolder] = set()
        self.parsing = trio.Lock()
        self.log_after = Deadline(0.0)
        self.gauge = metrics.gauge(
            "agatetack_caller_memory_bytes", "Memory that callers take."
        )

    def show(self) -> None:
        """Update the gauge."""
        self.gauge.set({}, self.used)

    def add(self, holder: MemoryHolder) -> None:
        """Charge a new connection."""
        self.holders.add(holder)
        self.charge(holder, CONNECTION_BYTES)

    def remove(self, holder: MemoryHolder) -> None:
        """Release all that a connection takes; it is charged no more."""
        if holder in self.holders:
            self.holders.remove(holder)
            self.used -= holder.charged_bytes
            holder.charged_bytes = 0

    def charge(self, holder: MemoryHolder, held_bytes: int) -> None:
        """Set what a connection takes, and reclaim memory if it is short.

        The connection itself may have to release what it holds.
        """
        if holder not in self.holders:
            return
        self.used += held_bytes - holder.charged_bytes
        holder.charged_bytes = held_bytes
        if self.used > self.limit:
            self._reclaim(Stage.CALLER, LEAST_RECLAIMED_BYTES)
            self._reclaim(Stage.HOST, LEAST_RECLAIMED_BYTES)
            self._reclaim_idle(0, holder)

    def admit(self, holder: MemoryHolder, added_bytes: int) -> bool:
        """Return whether there is room to handle another request.

        Requests that are being handled are given up only if they hold much
        more than the new one.

        Args:
            holder: The connection of the request.
            added_bytes: Memory that the request takes once it is handled.
        """
        if self.used + added_bytes <= self.limit:
            return True
        self._reclaim(Stage.CALLER, LEAST_RECLAIMED_BYTES, added_bytes, holder)
        self._reclaim_idle(added_bytes, holder)
        least = LARGER_FACTOR * (holder.charged_bytes + added_bytes)
        self._reclaim(Stage.HOST, least, added_bytes, holder)
        return self.used + added_bytes <= self.limit

    def _reclaim(
        self,
        stage: Stage,
        least_bytes: int,
        added_bytes: int = 0,
        spared: MemoryHolder | None = None,
    ) -> None:
        """Let go of connections in `stage` until there is room again.

        Those go first that have held most for longest.

        Args:
            stage: What the connections wait for.
            least_bytes: What each must hold beside its own memory.
            added_bytes: Memory that is needed in addition.
            spared: A connection that stays, or None.
        """
        if self.used + added_bytes <= self.limit:
            return
        wanted = self.limit * (1 - RECLAIMED_RATIO) - added_bytes
        now = trio.current_time()
        found = [
            (
                holder.charged_bytes
                * max(LEAST_AGE_SECONDS, now - holder.unchanged_since()),
                holder,
            )
            for holder in self.holders
            if holder is not spared
            and holder.charged_bytes - CONNECTION_BYTES >= least_bytes
            and holder.memory_stage() is stage
        ]
        found.sort(key=lambda each: each[0], reverse=True)
        self._release([holder for _, holder in found], wanted, stage)

    def _reclaim_idle(self, added_bytes: int, spared: MemoryHolder) -> None:
        """Let go of connections that take little and wait for their callers.

        Those go first that never had an answer, and of these the ones that have
        come no further for longest.

        Args:
            added_bytes: Memory that is needed in addition.
            spared: A connection that stays.
        """
        if self.used + added_bytes <= self.limit:
            return
        found = [
            holder
            for holder in self.holders
            if holder is not spared and holder.memory_stage() is Stage.CALLER
        ]
        found.sort(key=lambda each: (each.served, each.unchanged_since()))
        wanted = self.limit * (1 - RECLAIMED_RATIO) - added_bytes
        self._release(found, wanted, Stage.CALLER)

    def _release(
        self, found: Sequence[MemoryHolder], wanted_bytes: float, stage: Stage
    ) -> None:
        """Let go of connections, in their order, until `wanted_bytes` are used.

        Args:
            found: The connections.
            wanted_bytes: What all connections may take then.
            stage: What they wait for.
        """
        now = trio.current_time()
        count, before = 0, self.used
        for holder in found:
            if self.used <= wanted_bytes:
                break
            count += 1
            self.used -= holder.charged_bytes - CONNECTION_BYTES
            holder.charged_bytes = CONNECTION_BYTES
            self.metrics.dropped.inc(
                {"part": "callers", "reason": "memory-short"}
            )
            holder.release_memory()
        if count and now >= self.log_after:
            self.log_after = Deadline(now + LOG_SECONDS)
            log.note(
                "memory-short",
                limit_bytes=self.limit,
                used_bytes=before,
                released_bytes=before - self.used,
                connections=len(self.holders),
                closed=count,
                waited_for=stage.value,
            )
