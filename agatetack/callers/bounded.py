"""Limit the size of a streamed request body."""

import dataclasses

from agatetack.messages import Body
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse


def body_too_large_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of a body that is larger than `max_bytes`."""
    return refuse(
        RefusalReason.BODY_TOO_LARGE,
        f"A body takes at most {max_bytes} bytes here.",
    )


class BodyTooLarge(Exception):
    """A request's body is larger than its limit.

    Attributes:
        max_bytes: The limit.
    """

    def __init__(self, max_bytes: int):
        """Store the limit."""
        super().__init__(f"the body has more than {max_bytes} bytes")
        self.max_bytes = max_bytes

    def refusal(self) -> Refusal:
        """Return the refusal; a target may have run the part it received."""
        return dataclasses.replace(
            body_too_large_refusal(self.max_bytes), outcome=Outcome.UNKNOWN
        )


class BoundedBody(Body):
    """A request's body that raises an error beyond a limit.

    Attributes:
        max_bytes: The limit.
        left: Bytes that may still be received.
    """

    def __init__(self, body: Body, max_bytes: int):
        """Read `body`, up to `max_bytes`."""
        self.body = body
        self.length = body.length
        self.max_bytes = max_bytes
        self.left = max_bytes

    async def receive(self) -> bytes:
        """Return the next bytes.

        Raises:
            TooLarge: The body exceeds the limit.
            CallerGone: The body was cut off.
        """
        data = await self.body.receive()
        self.left -= len(data)
        if self.left < 0:
            raise BodyTooLarge(self.max_bytes)
        return data
