"""Tell when a stream has been read to its end after a gap."""

import trio


class Resumption:
    """Whether the reading of a stream was interrupted, and when it goes on.

    Attributes:
        interrupted: Whether the end was not reached since the start, or since
            the log could not be read.
        resumed: Set, and replaced, when it is reached again.
    """

    def __init__(self) -> None:
        """Start with a stream that has not been read."""
        self.interrupted = True
        self.resumed = trio.Event()

    def interrupt(self) -> None:
        """Note that the log could not be read."""
        self.interrupted = True

    def reach_end(self) -> None:
        """Note that the stream was read to its end."""
        if self.interrupted:
            self.interrupted = False
            self.resumed.set()
            self.resumed = trio.Event()
