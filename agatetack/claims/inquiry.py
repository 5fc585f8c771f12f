"""Ask the other hosts about a key while the log does not answer.

"Not run" is true of a key only if no earlier attempt of it ran or can still
run. During a log outage only all hosts together can decide this: each knows
its own open attempts and the records that it read before.
"""

import dataclasses

import trio

from agatetack.claims import codec
from agatetack.claims.background import BackgroundTasks
from agatetack.claims.open_keys import OpenKeys
from agatetack.claims.partition import Partition
from agatetack.generated.claims.ttypes import (
    Call,
    Inquiry,
    Question,
    Reply,
    Verdict,
    VerdictKind,
)
from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.settings.model import Settings

MAX_ROUNDS = 2
"""Most rounds that a question takes, as one may be in progress already."""


@dataclasses.dataclass(slots=True)
class PendingQuestion:
    """A question that is sent to all peers.

    Attributes:
        question: The question.
        unused: Whether no host knows of an attempt; valid once answered.
        answered: Set with `unused`.
    """

    question: Question
    unused: bool = False
    answered: trio.Event = dataclasses.field(default_factory=trio.Event)


class Inquiries:
    """Asks all hosts in rounds, and answers their questions.

    Questions that arrive during a round share the next one, so that a log
    outage under load causes a bounded number of calls.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        partitions: list[Partition],
        open_keys: OpenKeys,
        background: BackgroundTasks,
    ):
        """Ask the peers of `exchange`."""
        self.settings = settings
        self.exchange = exchange
        self.partitions = partitions
        self.open_keys = open_keys
        self.background = background
        self.queue: list[PendingQuestion] = []
        self.is_asking = False

    async def unused(self, partition_number: int, key: bytes) -> bool:
        """Return whether no other attempt of `key` ran or can still run.

        It is also False if not every host could be asked.
        """
        if not self._all_hosts_live():
            return False
        pending = PendingQuestion(Question(partition=partition_number, key=key))
        self.queue.append(pending)
        if not self.is_asking:
            self.is_asking = self.background.start(self._ask_while_queued)
        timeout = self.settings.claims.steward_timeout_seconds
        with trio.move_on_after(MAX_ROUNDS * timeout):
            await pending.answered.wait()
        return pending.unused

    def answer(self, inquiry: Inquiry) -> list[Verdict]:
        """Answer a peer; a key that is answered as free is blocked here."""
        questions = inquiry.questions or []
        return [self._answer(question) for question in questions]

    def _all_hosts_live(self) -> bool:
        seen = len(self.exchange.live_peers()) + 1
        return seen >= self.exchange.fleet_size()

    def _answer(self, question: Question) -> Verdict:
        if not 0 <= (question.partition or 0) < len(self.partitions):
            return Verdict(VerdictKind.IN_DOUBT)
        partition = self.partitions[question.partition or 0]
        known = partition.fold.lookup(question.key, None)
        if known.kind != VerdictKind.FREE:
            return known
        if self.open_keys.is_open(question.key, partition):
            return Verdict(VerdictKind.HELD)
        if not self.open_keys.block_earlier(question.key):
            return Verdict(VerdictKind.IN_DOUBT)
        if not partition.ready:
            return Verdict(VerdictKind.NOT_READY)
        return known

    async def _ask_while_queued(self) -> None:
        try:
            while self.queue:
                batch = self.queue[: self.settings.claims.max_batch]
                del self.queue[: len(batch)]
                await self._ask(batch)
        finally:
            self.is_asking = False

    async def _ask(self, batch: list[PendingQuestion]) -> None:
        timeout = self.settings.claims.steward_timeout_seconds
        deadline = Deadline(trio.current_time() + timeout)
        inquiry = Inquiry([pending.question for pending in batch])
        replies = [[self._own_answer(pending.question) for pending in batch]]
        complete = self._all_hosts_live()
        async with trio.open_nursery() as nursery:
            for peer in self.exchange.live_peers():
                nursery.start_soon(
                    self._ask_peer, peer.id, inquiry, deadline, replies
                )
            peers = len(self.exchange.live_peers())
        complete = complete and len(replies) == peers + 1
        for index, pending in enumerate(batch):
            kinds = {reply[index].kind for reply in replies}
            pending.unused = complete and _is_unused(kinds)
            pending.answered.set()

    def _own_answer(self, question: Question) -> Verdict:
        partition = self.partitions[question.partition]
        if not partition.ready:
            return Verdict(VerdictKind.NOT_READY)
        return partition.fold.lookup(question.key, None)

    async def _ask_peer(
        self,
        peer: HostId,
        inquiry: Inquiry,
        deadline: Deadline,
        replies: list[list[Verdict]],
    ) -> None:
        payload = codec.encode(Call(inquiry=inquiry))
        try:
            reply = await self.exchange.call(
                peer, Topic.CLAIM_BATCH, payload, deadline
            )
            verdicts = codec.decode(Reply, reply).verdicts
            codec.check_verdicts(verdicts, len(inquiry.questions))
        except (PeerUnreachable, codec.BadMessage):
            return
        replies.append(verdicts)


def _is_unused(kinds: set[int]) -> bool:
    """Return whether no host knows a claim and one read the whole stream."""
    return VerdictKind.FREE in kinds and kinds <= {
        VerdictKind.FREE,
        VerdictKind.NOT_READY,
    }
