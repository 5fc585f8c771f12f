"""Handle calls of other hosts: append entries and answer questions."""

import trio

from agatetack.claims import codec
from agatetack.claims.inquiry import Inquiries
from agatetack.claims.partition import Partition
from agatetack.generated.claims.ttypes import (
    Call,
    Reply,
    Submission,
    Verdict,
)
from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import Exchange, Topic
from agatetack.settings.model import Settings

MS_PER_SECOND = 1000
"""Milliseconds in a second."""


class ClaimCallHandler:
    """Handles the calls of other hosts about claims."""

    def __init__(
        self,
        settings: Settings,
        partitions: list[Partition],
        inquiries: Inquiries,
    ):
        """Append to `partitions`, and answer questions by `inquiries`."""
        self.settings = settings
        self.partitions = partitions
        self.inquiries = inquiries

    def serve(self, exchange: Exchange) -> None:
        """Register for the calls that arrive by `exchange`."""
        exchange.serve(Topic.CLAIM_BATCH, self.handle)

    async def handle(self, sender: HostId, payload: bytes) -> bytes:
        """Return the reply to one call; a malformed one gets no verdicts."""
        try:
            verdicts = await self._handle(codec.decode(Call, payload))
        except codec.BadMessage:
            verdicts = []
        return codec.encode(Reply(verdicts))

    async def _handle(self, call: Call) -> list[Verdict]:
        if call.inquiry is not None:
            return self.inquiries.answer(call.inquiry)
        if call.submission is not None:
            return await self._submit(call.submission)
        raise codec.BadMessage("call has neither an inquiry nor a submission")

    async def _submit(self, submission: Submission) -> list[Verdict]:
        entries = submission.entries or []
        if len(entries) > self.settings.claims.max_batch:
            raise codec.BadMessage("submission has too many entries")
        number = submission.partition or 0
        if not 0 <= number < len(self.partitions):
            raise codec.BadMessage("submission has an unknown partition")
        for entry in entries:
            codec.check_entry(entry)
        seconds = (submission.time_left_ms or 0) / MS_PER_SECOND
        deadline = Deadline(trio.current_time() + seconds)
        return await self.partitions[number].submit(entries, deadline)
