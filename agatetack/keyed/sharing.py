"""Report read positions to peers, and fetch missing records from them.

A waiting read of the store can stall, and the store may refuse one host while
it serves others. Records that any host has read still reach all hosts: each
reports its read position, and a host that is behind fetches the records.
"""

from collections.abc import Sequence

import trio

from agatetack.decisions import DecisionLog, age
from agatetack.generated.keyed import ttypes as wire
from agatetack.ids import Deadline, HostId, LogOffset, StoreGeneration
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import (
    UNKNOWN_GENERATION,
    GenerationSource,
    StoreGenerations,
)
from agatetack.keyed.messages import (
    MalformedHashes,
    MalformedRecords,
    age_ms,
    carried_of,
    hash_records,
    hashes_of_large,
    page_of,
    records_since,
    time_before,
)
from agatetack.keyed.readers import FleetReaders
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition
from agatetack.metrics import Metrics
from agatetack.peers.exchange import (
    Exchange,
    PeerUnreachable,
    Scope,
    Topic,
)
from agatetack.settings.model import Settings
from agatetack.thrift_codec import MalformedMessage, decode, encode

REPORT_SECONDS = 0.4
"""How often a reader reports the read positions of its topics to peers, in
messages of some 100 bytes. A host reads the store itself only after two of them
are late."""

OWN_READ_GRACE_SECONDS = 0.3
"""How long a host that is behind waits for its own read to return the records
before it asks the peer. The read may end later than the peer's by the time that
a message takes."""

MAX_INLINE_BYTES = 8192
"""Maximum size of records that are sent along with the report of a position;
some 40 registrations of targets. Larger ones are fetched, which costs every
host a call and a reply, and hosts whose reply is late read the store
themselves."""

READER_FETCH_SECONDS = 1.0
"""Timeout of a fetch from a peer by a host that also reads the store."""

NON_READER_FETCH_SECONDS = 0.25
"""Timeout of a fetch by a host that relies on other readers. After it the host
reads the store itself. Even if the peer that reported a change fails before it
replies, the change is then known within half of the 2 s in which it has to be
in force."""

log = DecisionLog("keyed")


class TopicSharing:
    """Exchanges read positions and records of topics with peers.

    Attributes:
        generations: The generations of the store; reports of an earlier one
            than the newest are ignored.
        followers: The followers, by the topic's name.
        fetching: Topics that are being fetched from a peer.
        carried_asked_in: The generation in which a peer was last asked for
            its carried-over records, by topic.
    """

    def __init__(
        self,
        settings: Settings,
        followers: Sequence[TopicFollower],
        exchange: Exchange,
        metrics: Metrics,
        generations: StoreGenerations,
    ):
        """Share the records of `followers` with peers through `exchange`."""
        self.generations = generations
        self.readers = FleetReaders(settings, exchange)
        self.followers = {each.name: each for each in followers}
        self.exchange = exchange
        self.metrics = metrics
        self.fetching: set[str] = set()
        self.carried_asked_in: dict[str, StoreGeneration] = {}
        self.nursery: trio.Nursery | None = None
        for follower in followers:
            follower.on_advance = self._advanced
            follower.on_answer = self._answered
            follower.readers = self.readers
        exchange.subscribe(Topic.TOPIC_RECORDS, self._take_reports)
        exchange.serve(Topic.TOPIC_RECORDS, self._serve_fetch)

    async def run(self) -> None:
        """Report read positions periodically until cancelled."""
        async with trio.open_nursery() as self.nursery:
            while True:
                await trio.sleep(REPORT_SECONDS)
                self._report(list(self.followers.values()))

    def _advanced(
        self, follower: TopicFollower, before: TopicPosition | None
    ) -> None:
        end = self._end_of(follower)
        if end is None:
            return
        # Other failure domains get only the position: they have readers of
        # their own, and traffic between domains costs money.
        self._publish([end], Scope.ELSEWHERE)
        self._add_news(end, follower, before)
        self._publish([end], Scope.DOMAIN)

    def _add_news(
        self,
        end: wire.TopicEnd,
        follower: TopicFollower,
        before: TopicPosition | None,
    ) -> None:
        """Add the records since a position to a report if they are few."""
        # The hosts that hear of them mostly hold what was known before.
        bases = hashes_of_large(follower.content, former=True)
        records = records_since(follower, before, bases=bases)
        if records.whole and not records.packed:
            return
        if _count_bytes(records) > MAX_INLINE_BYTES:
            return
        if not records.whole:
            end.first = before.offset
        if records.packed:
            end.packed_news = records
        else:
            end.news = records

    def _answered(self, follower: TopicFollower) -> None:
        self._report([follower])

    def _report(self, followers: Sequence[TopicFollower]) -> None:
        self._publish(
            [end for each in followers if (end := self._end_of(each))]
        )

    def _publish(
        self, ends: Sequence[wire.TopicEnd], scope: Scope = Scope.ALL
    ) -> None:
        if ends:
            payload = encode(wire.TopicEnds(ends))
            self.exchange.publish(Topic.TOPIC_RECORDS, payload, scope)

    def _end_of(self, follower: TopicFollower) -> wire.TopicEnd | None:
        """Return a topic's read position, if this host may report it."""
        position = follower.content.position
        if position is None or follower.is_outdated:
            return None
        end = wire.TopicEnd(
            follower.name,
            position.offset,
            generation=position.generation,
            carried=len(follower.content.carried.records) or None,
        )
        complete_at = follower.complete_at
        if follower.may_report:
            # Hosts that report to one another what they heard of each other
            # would make an answer look younger each time.
            complete_at = follower.read_at
        else:
            age = self.readers.forwardable_age_seconds(follower.name)
            if age is None:
                return None
            end.age_ms = round(age * 1000)
        end.answer_age_ms = age_ms(complete_at)
        return end

    def _take_reports(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(wire.TopicEnds, payload)
        except MalformedMessage as error:
            self._drop("ends-malformed", sender, error)
            return
        for report in message.ends:
            follower = self.followers.get(report.topic)
            if follower is None:
                continue
            position = _position(report.generation, report.end)
            self.generations.note(
                position.generation, GenerationSource.PEER, sender
            )
            if position.generation != self.generations.newest:
                # It does not describe the current contents of the store.
                self.metrics.dropped.inc(
                    {"part": "keyed", "reason": "ends-outdated"}
                )
                continue
            answer_age = report.answer_age_ms
            if not self.readers.has_heard(report.topic):
                log.note(
                    "reader-first-heard",
                    topic=report.topic,
                    sender=sender,
                    end=position.offset,
                    answer_age=answer_age,
                    read_age=age(follower.read_at),
                )
            report_age = report.age_ms or 0
            self.readers.note_report(report.topic, report_age / 1000)
            self._take_inline(follower, report, position)
            follower.note_reported(position)
            if answer_age is None:
                # A host of an older version doesn't tell.
                answer_age = report_age
            now = Deadline(trio.current_time())
            follower.note_complete(position, time_before(now, answer_age))
            if report.topic in self.fetching or self.nursery is None:
                continue
            if follower.content.is_behind(position) or self._lacks_carried(
                follower, report
            ):
                self.fetching.add(report.topic)
                self.nursery.start_soon(self._fetch, follower, sender, report)

    def _lacks_carried(
        self, follower: TopicFollower, report: wire.TopicEnd
    ) -> bool:
        """Return whether a peer carries records over and this host has none.

        A host that started after the store lost records never received them.
        """
        if not report.carried or follower.content.carried.records:
            return False
        asked_in = self.carried_asked_in.get(report.topic, UNKNOWN_GENERATION)
        return asked_in < self.generations.newest

    def _take_inline(
        self,
        follower: TopicFollower,
        report: wire.TopicEnd,
        position: TopicPosition,
    ) -> None:
        """Process records in a peer's report if this host relies on others.

        Changes to a large value are processed by all hosts, as a read returns
        the whole value.
        """
        news = report.packed_news or report.news
        known = follower.content.position
        if news is None or known is None:
            return
        if not follower.content.is_behind(position):
            return
        if not news.packed and not follower.relies_on_readers:
            return
        # Missing records are fetched, as are those that a reader lacks.
        first = TopicPosition(position.generation, LogOffset(report.first or 0))
        follows = known.generation == first.generation and known >= first
        if not news.whole and not follows:
            return
        try:
            page = page_of(news, known=follower.content.known)
        except MalformedRecords as error:
            log.note("news-not-usable", topic=follower.name, cause=str(error))
            return
        follower.apply_from_peer(page, news.whole, bool(news.sound))

    async def _fetch(
        self, follower: TopicFollower, peer: HostId, report: wire.TopicEnd
    ) -> None:
        """Fetch records from `peer`, unless the own read returns them first."""
        try:
            own_read = not follower.relies_on_readers
            known = (
                follower.content.position is not None
                and not follower.is_outdated
            )
            if known and own_read:
                await trio.sleep(OWN_READ_GRACE_SECONDS)
            if follower.content.is_behind(
                _position(report.generation, report.end)
            ):
                await self._fetch_from(follower, peer)
            elif self._lacks_carried(follower, report):
                self.carried_asked_in[follower.name] = self.generations.newest
                await self._fetch_from(follower, peer, again=True)
        finally:
            self.fetching.discard(follower.name)

    async def _fetch_from(
        self, follower: TopicFollower, peer: HostId, again: bool = False
    ) -> None:
        """Fetch the records that follow the own position, or those of all keys.

        Args:
            follower: The follower of the topic.
            peer: The host to ask.
            again: Whether to fetch all keys because `peer` carries some over.
        """
        request = self._request(follower, again)
        held = self._held(follower) if again or follower.is_outdated else ()
        request.held = hash_records(held) if held else None
        alone = follower.relies_on_readers
        seconds = NON_READER_FETCH_SECONDS if alone else READER_FETCH_SECONDS
        asked_at = Deadline(trio.current_time())
        deadline = Deadline(asked_at + seconds)
        try:
            reply = await self.exchange.call(
                peer,
                Topic.TOPIC_RECORDS,
                encode(request),
                deadline,
            )
        except PeerUnreachable as error:
            log.note("fetch-failed", topic=follower.name, cause=str(error))
            self.readers.doubt(follower.name)
            return
        try:
            records = decode(wire.Records, reply)
            page = page_of(records, held, follower.content.known)
        except (MalformedMessage, MalformedRecords) as error:
            self._drop("records-malformed", peer, error)
            self.readers.doubt(follower.name)
            return
        self._take_records(follower, peer, records, page)
        if records.answer_age_ms is not None:
            complete_at = time_before(asked_at, records.answer_age_ms)
            follower.note_complete(page.position, complete_at)

    def _request(
        self, follower: TopicFollower, again: bool
    ) -> wire.FetchRecords:
        position = follower.content.position
        bases = hashes_of_large(follower.content)
        if position is None or again:
            return wire.FetchRecords(
                follower.name, 0, UNKNOWN_GENERATION, bases=bases
            )
        return wire.FetchRecords(
            follower.name, position.offset, position.generation, bases=bases
        )

    def _held(self, follower: TopicFollower) -> Sequence[KeyedRecord]:
        """Return the records that a peer need not send to this host."""
        known = follower.content.known.values()
        return [record for record in known if record.value is not None]

    def _take_records(
        self,
        follower: TopicFollower,
        peer: HostId,
        records: wire.Records,
        page: TopicPage,
    ) -> None:
        self.generations.note(page.generation, GenerationSource.PEER, peer)
        if page.generation != self.generations.newest:
            self.metrics.dropped.inc(
                {"part": "keyed", "reason": "records-outdated"}
            )
            return
        carried = carried_of(records)
        if follower.content.is_behind(page.position):
            sound = bool(records.sound)
            follower.apply_from_peer(page, records.whole, sound, carried)
        elif (
            carried and page.generation == follower.content.position.generation
        ):
            follower.apply_carried(carried)

    async def _serve_fetch(
        self, sender: HostId, payload: bytes
    ) -> bytes | None:
        """Return the records that a peer requests, or None if there are none.

        A host that has just started has not read any records yet.
        """
        try:
            request = decode(wire.FetchRecords, payload)
        except MalformedMessage as error:
            self._drop("fetch-malformed", sender, error)
            return None
        follower = self.followers.get(request.topic)
        if follower is None or follower.content.position is None:
            return None
        generation = request.generation
        if generation is None:
            # Hosts of an older version mean the generation that is read here.
            generation = follower.content.position.generation
        first = _position(generation, request.first)
        try:
            records = records_since(
                follower, first, request.held, request.bases
            )
        except MalformedHashes as error:
            self._drop("fetch-malformed", sender, error)
            return None
        records.answer_age_ms = age_ms(follower.complete_at)
        return encode(records)

    def _drop(self, reason: str, sender: HostId, error: Exception) -> None:
        self.metrics.dropped.inc({"part": "keyed", "reason": reason})
        log.note("message-malformed", sender=sender, cause=str(error))


def _count_bytes(records: wire.Records) -> int:
    plain = sum(len(r.key) + len(r.value or b"") for r in records.records)
    packed = records.packed or ()
    return plain + sum(len(r.key) + len(r.content) for r in packed)


def _position(generation: int | None, offset: int) -> TopicPosition:
    """Return the position that a message contains."""
    named = (
        UNKNOWN_GENERATION
        if generation is None
        else StoreGeneration(generation)
    )
    return TopicPosition(named, LogOffset(offset))
