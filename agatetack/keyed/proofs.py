"""Prove how recently a host had all records of the store's configuration.

A proof says that the store held no record from an offset on at some time. A
host gets it by a read that finds nothing, dated by when the read was sent, or
as the reply to a call to another host, dated by when the call was sent and by
the age that the reply gives. A message that was not asked for proves nothing,
because it may have been on its way for any time.

The first reader of the fleet reads once in a while, and the others call it, or
the leaders of their group, and wait there for the next proof. A host that gets
none reads the store itself, the later the lower it ranks. See
docs/design/002-configuration-age.md.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Sequence

import trio
import xxhash

from agatetack.clock import Clock, Instant
from agatetack.generated.keyed import ttypes as wire
from agatetack.identity.accounts import AccountSource
from agatetack.identity.age import ConfigurationAge
from agatetack.identity.check import USABLE_AGE_RATIO
from agatetack.ids import Deadline, HostId, LogOffset, StoreGeneration
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import (
    UNKNOWN_GENERATION,
    GenerationSource,
    StoreGenerations,
)
from agatetack.keyed.readers import FleetReaders
from agatetack.keyed.topic import (
    TopicPosition,
    TopicTruncated,
    TopicUnavailable,
)
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.settings.model import Settings
from agatetack.thrift_codec import MalformedMessage, decode, encode

# The times below are shares of `identity.revocation_seconds`, 5 s by default.

READ_RATIO = 0.2
"""Age of the newest proof at which the first reader reads again."""

RANK_RATIO = 0.08
"""How much older a proof has to be for each further reader to read. A reader
that the store refuses delays the proof by this step."""

LEADER_RATIO = 0.4
"""Age at which a leader that is not one of the readers reads for its group."""

MEMBER_RATIO = 0.52
"""Least age at which any other host reads the store."""

SPREAD_RATIO = 0.14
"""Range over which hosts of the same kind spread that age. Of a group whose
leaders fail, few hosts then read before others can ask them."""

FRESH_RATIO = 0.1
"""Age up to which a host doesn't ask for a newer proof."""

HOLD_RATIO = 0.28
"""How long a call waits for a newer proof than the caller has. It is longer
than the usual time between two proofs."""

OLD_RATIO = 0.4
"""Age of a caller's proof above which its call is held only briefly. The usual
sources have failed then, and the caller has to find a host that has a proof."""

BRIEF_HOLD_RATIO = 0.04
"""How long such a call is held."""

CALL_RATIO = 0.33
"""Timeout of a call. A host that failed unnoticed delays its callers' next
proof by no more than this, since their last one."""

READ_TIMEOUT_RATIO = 0.4
"""Timeout of a read. A slower answer would prove little, as it is dated by when
the read was sent."""

MIN_GAIN_SECONDS = 0.05
"""How much newer than the caller's a proof must be for a reply before the call
was held for its full time. Replies take a few ms, which make two proofs from
the same read differ."""

RETRY_SECONDS = 0.2
"""Pause after a call that brought no newer proof."""

ALONE_SECONDS = 0.5
"""Interval at which a host without any link checks for one."""

PREFER_SECONDS = 3.0
"""Time after which a host that has changed its source of proofs returns to the
one that all hosts like it prefer."""

SPREAD_READERS = 4
"""Number of readers among which hosts without a group spread their calls. One
host would spend 1 to 2 % of its processor time on the calls of 48."""

MAX_READS_AT_ONCE = 3
"""Reads in succession while each finds records. Without a bound a store that is
written to all the time would be read all the time."""

MAX_BACKOFF_DOUBLINGS = 3
"""Maximum number of doublings of the pause after a failed read. Readers don't
double it while there is no recent proof: the others rely on them to notice that
the store is back."""

MIN_SLEEP_SECONDS = 0.001
"""Shortest sleep. A wait below the resolution of the clock would not end."""

MAX_AGE_MS = 2**31 - 1

log = PartLog("keyed")


class ReadResult(enum.Enum):
    """What a read for a proof has found."""

    PROVEN = "proven"
    RECORDS = "records"
    TRUNCATED = "truncated"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class CallResult(enum.Enum):
    """What a call for a proof has brought."""

    PROVEN = "proven"
    NOT_NEWER = "not-newer"
    NOT_READ = "not-read"
    """The proof is of a position that this host has not read yet."""
    BEHIND = "behind"
    UNPROVEN = "unproven"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The store held no record at or after a position at some time.

    Attributes:
        at: The time.
        position: The position.
    """

    at: Instant
    position: TopicPosition


class ProvenAge(ConfigurationAge):
    """Tells the age of the configuration that a host reads from a store.

    It reads, calls and wakes up only while keys are revoked strictly and the
    document in force has accounts. At other times the configuration counts as
    current.

    Attributes:
        newest: The newest proof of a position that was read, or None.
        ahead: The newest proof of a position that was not read yet, or None.
        updated: Set and replaced with each new proof.
        lost: Whether the newest proof was last seen to be too old to use.
        last_read: The result of the last read, for the log.
        last_call: The result of the last call and the host called.
    """

    def __init__(
        self,
        settings: Settings,
        follower: TopicFollower,
        accounts: AccountSource,
        readers: FleetReaders,
        exchange: Exchange,
        metrics: Metrics,
        generations: StoreGenerations,
        clock: Clock,
    ):
        """Prove the age of the records of `follower`.

        Args:
            settings: Whether and how soon keys are revoked.
            follower: Reads the topic with the configuration.
            accounts: The accounts in force.
            readers: Ranks the hosts that read topics.
            exchange: Calls other hosts.
            metrics: Where reads and calls are counted.
            generations: The generations of the store.
            clock: The host's clocks.
        """
        self.settings = settings
        self.own = HostId(settings.host.id)
        self.follower = follower
        self.accounts = accounts
        self.readers = readers
        self.exchange = exchange
        self.generations = generations
        self.clock = clock
        self.random = random.Random(self.own)
        # The same for each run of a host, so that hosts differ all the time.
        self.spread = (
            xxhash.xxh32_intdigest(f"proofs|{self.own}".encode()) / 2**32
        )
        self.newest: Proof | None = None
        self.ahead: Proof | None = None
        self.updated = trio.Event()
        self.switched = trio.Event()
        self.work = trio.CancelScope()
        self.active_since = Deadline(-math.inf)
        self.lost = False
        self.last_read = "none"
        self.last_call = "none"
        self.metrics = metrics
        self.reads = metrics.counter(
            "agatetack_proof_reads_total",
            "Reads that check whether the configuration is current, by result.",
        )
        self.calls = metrics.counter(
            "agatetack_proof_calls_total",
            "Calls that ask other hosts for a proof of this, by result.",
        )
        self.losses = metrics.counter(
            "agatetack_proof_losses_total",
            "Times that this host was left without a recent proof.",
        )
        self.shown = metrics.gauge(
            "agatetack_proof_age_seconds",
            "Age of the proof that the configuration is current; -1 for none.",
        )
        follower.clock = clock
        follower.on_current = self._note_read
        follower.asks_regularly = lambda: self.active
        follower.is_urgent = lambda: self.active and self.lost
        exchange.serve(Topic.CONFIGURATION_PROOF, self._answer)

    @property
    def active(self) -> bool:
        """Return whether the age of the configuration matters."""
        return (
            self.settings.identity.strict_revocation
            and self.accounts.table is not None
        )

    def proven_at(self) -> Deadline:
        """Return the latest time at which no newer configuration existed."""
        now = self.clock.instant()
        if not self.active:
            return now.monotonic
        proof = self.usable()
        if proof is None:
            return Deadline(-math.inf)
        return Deadline(now.monotonic - proof.at.seconds_until(now))

    def usable(self) -> Proof | None:
        """Return the newest proof that holds for the records in force."""
        if self.ahead is not None and self._was_read(self.ahead):
            proof, self.ahead = self.ahead, None
            self._keep(proof)
        if self.newest is None or not self._was_read(self.newest):
            return None
        return self.newest

    def age_seconds(self) -> float:
        """Return the age of the usable proof; infinite without one."""
        proof = self.usable()
        if proof is None:
            return math.inf
        return proof.at.seconds_until(self.clock.instant())

    def _was_read(self, proof: Proof) -> bool:
        """Return whether this host has read what `proof` is about.

        A proof of an earlier generation says nothing about the records that
        the store has been given since.
        """
        position = self.follower.content.position
        return (
            position is not None
            and proof.position.generation == self.generations.newest
            and position.generation == proof.position.generation
            and position >= proof.position
        )

    def _note_read(self, sent: Instant, position: TopicPosition) -> None:
        """Note that a read found no record beyond `position`."""
        self._note(Proof(sent, position))
        if self.lost:
            self._check_lost()

    def _note(self, proof: Proof) -> CallResult:
        """Use a proof, now or once its position was read."""
        if not self._was_read(proof):
            if self.ahead is None or self._is_newer(proof, self.ahead):
                self.ahead = proof
            return CallResult.NOT_READ
        return self._keep(proof)

    def _keep(self, proof: Proof) -> CallResult:
        current = self.newest
        if (
            current is not None
            and self._was_read(current)
            and not self._is_newer(proof, current)
        ):
            return CallResult.NOT_NEWER
        self.newest = proof
        self.updated.set()
        self.updated = trio.Event()
        return CallResult.PROVEN

    def _is_newer(self, proof: Proof, other: Proof) -> bool:
        now = self.clock.instant()
        return proof.at.seconds_until(now) < other.at.seconds_until(now)

    def update(self, settings: Settings | None = None) -> None:
        """Start or stop with the settings and the document in force."""
        if settings is not None:
            self.settings = settings
        if not self.active:
            self.work.cancel()
        self.switched.set()
        self.switched = trio.Event()

    def show(self) -> None:
        """Update the gauge."""
        if self.active:
            age = self.age_seconds()
            self.shown.set({}, -1 if math.isinf(age) else round(age, 3))

    async def run(self) -> None:
        """Keep a recent proof until cancelled."""
        while True:
            while not self.active:
                await self.switched.wait()
            self.active_since = self.clock.now()
            with trio.CancelScope() as self.work:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._keep_reading)
                    nursery.start_soon(self._keep_asking)
            # Nothing is proven while nobody asks.
            self.lost = False

    def _seconds(self, ratio: float) -> float:
        return ratio * self.settings.identity.revocation_seconds

    async def _keep_reading(self) -> None:
        """Read whenever the newest proof is too old for this host's rank."""
        failures = found = 0
        while True:
            wait = self._read_wait()
            if wait > 0:
                await trio.sleep(max(wait, MIN_SLEEP_SECONDS))
                continue
            result = await self._read()
            if result is ReadResult.PROVEN:
                failures = found = 0
            elif result is ReadResult.RECORDS and found + 1 < MAX_READS_AT_ONCE:
                found += 1
            else:
                found = 0
                failures += 1
                await trio.sleep(self._read_pause(failures))

    def _read_wait(self) -> float:
        """Return how long this host relies on others for a newer proof."""
        age = self.age_seconds()
        if not math.isinf(age):
            return self._read_age() - age
        # Hosts that lost their proofs at the same time don't read at once.
        since = max(self.active_since, self.generations.learned_at or -math.inf)
        missing = self.clock.now() - since
        return self._read_age() - self._seconds(READ_RATIO) - missing

    def _read_age(self) -> float:
        """Return the age of the newest proof at which this host reads."""
        ratio = LEADER_RATIO if self.exchange.is_leader else MEMBER_RATIO
        ratio += self.spread * SPREAD_RATIO
        rank = self._rank()
        if rank is not None:
            # The last readers rank so low that they would read too late.
            ratio = min(ratio, READ_RATIO + rank * RANK_RATIO)
        return self._seconds(ratio)

    def _rank(self) -> int | None:
        """Return this host's rank among the readers, or None."""
        if not self._is_linked():
            return None
        ranked = self.readers.ranked(self.follower.name)
        return ranked.index(self.own) if self.own in ranked else None

    def _is_linked(self) -> bool:
        """Return whether this host has any peers, if there are others.

        A host that starts takes itself for the only reader before it has links,
        and so does one that is cut off.
        """
        return self.exchange.fleet_size() <= 1 or bool(
            self.exchange.live_peers()
        )

    def _read_pause(self, failures: int) -> float:
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        served = self.age_seconds() < self._seconds(USABLE_AGE_RATIO)
        if self._rank() is not None and not served:
            doublings = 0
        pause = self._seconds(READ_RATIO) * 2**doublings
        return pause * self.random.uniform(0.75, 1.25)

    async def _read(self) -> ReadResult:
        """Read the store once, without waiting for a record."""
        result = await self._read_on()
        self.reads.inc({"result": result.value})
        if result is not ReadResult.UNAVAILABLE:
            self.last_read = result.value
        self._check_lost()
        return result

    async def _read_on(self) -> ReadResult:
        position = self.follower.content.position
        if position is None or self.follower.is_outdated:
            # The follower reads all keys, which is a proof as well.
            self.last_read = ReadResult.RESTORED.value
            return ReadResult.RESTORED
        sent = self.clock.instant()
        deadline = sent.monotonic + self._seconds(READ_TIMEOUT_RATIO)
        try:
            page = await self.follower.topic.read(
                position.offset, sent.monotonic, Deadline(deadline)
            )
        except TopicTruncated:
            self.follower.note_truncated()
            return ReadResult.TRUNCATED
        except TopicUnavailable as error:
            self.last_read = f"{ReadResult.UNAVAILABLE.value} ({error})"
            return ReadResult.UNAVAILABLE
        self.follower.note_answered(sent.monotonic)
        if page.generation != position.generation:
            return ReadResult.RESTORED
        if page.records:
            # One reply need not have all records, so it proves nothing.
            self.follower.apply_read(page)
            self.follower.note_read(page)
            return ReadResult.RECORDS
        self.follower.note_read(page)
        self._note(Proof(sent, page.position))
        return ReadResult.PROVEN

    async def _keep_asking(self) -> None:
        """Ask other hosts for newer proofs, one call at a time."""
        tries = 0
        changed_at = self.clock.now()
        while True:
            wait = self._ask_age() - self.age_seconds()
            if wait > 0:
                await trio.sleep(max(wait, MIN_SLEEP_SECONDS))
                continue
            if tries and self.clock.now() > changed_at + PREFER_SECONDS:
                tries = 0
            sources = self._sources()
            if not sources:
                self.last_call = "no link"
                self._check_lost()
                await trio.sleep(ALONE_SECONDS)
                continue
            source = sources[tries % len(sources)]
            result = await self._ask(source)
            self.calls.inc({"result": result.value})
            self.last_call = f"{result.value} ({source})"
            self._check_lost()
            if result is CallResult.PROVEN:
                continue
            if result is not CallResult.NOT_READ:
                tries += 1
                changed_at = self.clock.now()
            await trio.sleep(RETRY_SECONDS)

    def _ask_age(self) -> float:
        """Return the age of the newest proof at which this host asks."""
        if self._rank() == 0:
            # Only if its own read failed or was not answered in time.
            return self._seconds(READ_RATIO + RANK_RATIO / 2)
        return self._seconds(FRESH_RATIO)

    def _sources(self) -> Sequence[HostId]:
        """Return the linked hosts in the order in which they are asked."""
        live = [p.id for p in self.exchange.live_peers() if not p.leaving]
        ranked = self.readers.ranked(self.follower.name)
        if not self.exchange.is_grouped:
            preferred = ranked
            if self.own not in ranked:
                preferred = [
                    *self._rotated(ranked[:SPREAD_READERS]),
                    *ranked[SPREAD_READERS:],
                ]
        elif self.exchange.is_first_leader:
            preferred = ranked
        elif self.exchange.is_leader:
            preferred = [*self.exchange.group_hosts()[:1], *ranked]
        else:
            # Its leaders come first. The second one has its proofs from the
            # first one, so they are older by the way between them.
            preferred = self.exchange.group_hosts()
        others = self._rotated(sorted(live))
        known = dict.fromkeys([*preferred, *others])
        return [host for host in known if host in live and host != self.own]

    def _rotated(self, hosts: Sequence[HostId]) -> Sequence[HostId]:
        """Return `hosts` from one on that differs from host to host."""
        first = int(self.spread * len(hosts))
        return [*hosts[first:], *hosts[:first]]

    async def _ask(self, source: HostId) -> CallResult:
        """Call `source` for a newer proof than the own one."""
        age = self.age_seconds()
        request = wire.ProofRequest(self.follower.name, _round_ms(age))
        position = self.follower.content.position
        if position is not None:
            request.end, request.generation = (
                position.offset,
                position.generation,
            )
        sent = self.clock.instant()
        try:
            content = await self.exchange.call(
                source,
                Topic.CONFIGURATION_PROOF,
                encode(request),
                Deadline(sent.monotonic + self._seconds(CALL_RATIO)),
            )
            reply = decode(wire.ProofReply, content)
        except PeerUnreachable:
            return CallResult.UNREACHABLE
        except MalformedMessage as error:
            return self._malformed(source, str(error))
        return self._take(source, sent, reply)

    def _take(
        self, source: HostId, sent: Instant, reply: wire.ProofReply
    ) -> CallResult:
        self._note_generation(reply.generation, source)
        if reply.behind:
            return CallResult.BEHIND
        if reply.age_ms is None or reply.end is None:
            return CallResult.UNPROVEN
        at = sent.moved(-reply.age_ms / 1000)
        if at.seconds_until(self.clock.instant()) < 0:
            return self._malformed(source, "the proof is of the future")
        return self._note(Proof(at, _position(reply.generation, reply.end)))

    def _malformed(self, source: HostId, cause: str) -> CallResult:
        self._drop("proof-malformed", source, cause)
        return CallResult.MALFORMED

    def _drop(self, reason: str, source: HostId, cause: str) -> None:
        self.metrics.dropped.inc({"part": "keyed", "reason": reason})
        log.warning("A proof or request of %s is malformed: %s.", source, cause)

    async def _answer(self, sender: HostId, payload: bytes) -> bytes | None:
        """Answer a call as soon as there is a proof that is newer.

        The age in the reply is that at which the call arrived. The caller dates
        the proof from when it sent the call, so that neither the time that the
        call waited here nor the way of the reply makes a proof look younger.
        """
        arrived = self.clock.instant()
        try:
            request = decode(wire.ProofRequest, payload)
        except MalformedMessage as error:
            self._drop("proof-request-malformed", sender, str(error))
            return None
        if request.topic != self.follower.name:
            return None
        self._note_generation(request.generation, sender)
        deadline = arrived.monotonic + self._hold_seconds(request)
        while self.active and not self._satisfies(request, arrived):
            with trio.move_on_at(deadline) as scope:
                await self.updated.wait()
            if scope.cancelled_caught:
                break
        return encode(self._reply(request, arrived))

    def _hold_seconds(self, request: wire.ProofRequest) -> float:
        """Return how long a call may wait here for a newer proof."""
        old = request.age_ms is None or request.age_ms / 1000 > self._seconds(
            OLD_RATIO
        )
        return self._seconds(BRIEF_HOLD_RATIO if old else HOLD_RATIO)

    def _satisfies(self, request: wire.ProofRequest, arrived: Instant) -> bool:
        """Return whether this host has a newer proof than the caller."""
        proof = self.usable()
        if proof is None or self._is_behind(request):
            return False
        if request.age_ms is None:
            return True
        gain = request.age_ms / 1000 - proof.at.seconds_until(arrived)
        return gain > MIN_GAIN_SECONDS

    def _is_behind(self, request: wire.ProofRequest) -> bool:
        """Return whether the caller has read more than this host."""
        if request.end is None:
            return False
        return self.follower.content.is_behind(
            _position(request.generation, request.end)
        )

    def _reply(
        self, request: wire.ProofRequest, arrived: Instant
    ) -> wire.ProofReply:
        reply = wire.ProofReply(self.follower.name)
        if self.generations.newest != UNKNOWN_GENERATION:
            reply.generation = self.generations.newest
        if self._is_behind(request):
            reply.behind = True
            return reply
        proof = self.usable()
        if proof is None:
            return reply
        reply.age_ms = _round_ms(proof.at.seconds_until(arrived))
        reply.end = proof.position.offset
        reply.generation = proof.position.generation
        return reply

    def _note_generation(self, generation: int | None, host: HostId) -> None:
        if generation is not None:
            self.generations.note(
                StoreGeneration(generation), GenerationSource.PEER, host
            )

    def _check_lost(self) -> None:
        """Log when the newest proof becomes too old, and when there is one."""
        age = self.age_seconds()
        lost = age > self._seconds(USABLE_AGE_RATIO)
        if lost and not self.lost:
            self.losses.inc({})
            log.warning(
                "There is no recent proof that the configuration is current; "
                "the last one is %.1f s old. Last read: %s. Last call: %s.",
                age,
                self.last_read,
                self.last_call,
            )
        elif self.lost and not lost:
            log.info(
                "The configuration is proven to be current again. "
                "Last read: %s. Last call: %s.",
                self.last_read,
                self.last_call,
            )
        self.lost = lost


def _round_ms(seconds: float) -> int | None:
    """Return an age in ms, rounded up; None if it is too high to be sent."""
    if seconds * 1000 > MAX_AGE_MS:
        return None
    return math.ceil(seconds * 1000)


def _position(generation: int | None, offset: int) -> TopicPosition:
    """Return the position that a message contains."""
    if generation is None:
        return TopicPosition(UNKNOWN_GENERATION, LogOffset(offset))
    return TopicPosition(StoreGeneration(generation), LogOffset(offset))
