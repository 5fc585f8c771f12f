"""Track when a reader has caught up with a stream after a gap."""

import trio


class Resumption:
    """Whether reading a stream is interrupted, and when it has caught up.

    Attributes:
        interrupted: Whether the stream's end has not been reached since the
            start or since the log last could not be read.
        resumed: Set and replaced when the end is reached again.
    """

    def __init__(self) -> None:
        """Start with a stream that has not been read."""
        self.interrupted = True
        self.resumed = trio.Event()

    def interrupt(self) -> None:
        """Record that the log could not be read."""
        self.interrupted = True

    def reach_end(self) -> None:
        """Record that the stream was read to its end."""
        if self.interrupted:
            self.interrupted = False
            self.resumed.set()
            self.resumed = trio.Event()
