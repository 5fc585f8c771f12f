"""Count what passes between this host and its peers."""

from agatetack.metrics import Metrics
from agatetack.peers.frames import CloseReason


class PeerCounters:
    """The counters of the exchange with peers.

    Attributes:
        closed: Connections closed, by reason.
        bytes: Bytes exchanged, by direction.
        relayed: Messages of other hosts passed on.
        calls: Calls to peers, by result.
        sent_bytes: Bytes sent that `flush` has not shown yet.
        received_bytes: Bytes received that `flush` has not shown yet.
    """

    def __init__(self, metrics: Metrics):
        """Create the counters, and one series for each reason."""
        self.metrics = metrics
        self.closed = metrics.counter(
            "agatetack_peer_closed_total",
            "Connections with peers that were closed, by reason.",
        )
        self.bytes = metrics.counter(
            "agatetack_peer_bytes_total",
            "Bytes exchanged with peers, by direction; sent-unbudgeted ones "
            "are counted as sent, too.",
        )
        self.relayed = metrics.counter(
            "agatetack_peer_relayed_total",
            "Messages of other hosts that were passed on.",
        )
        self.calls = metrics.counter(
            "agatetack_peer_calls_total", "Calls to peers, by result."
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        for direction in ("sent", "sent-unbudgeted", "received"):
            self.bytes.add({"direction": direction}, 0)
        for reason in CloseReason:
            self.closed.add({"reason": reason.value}, 0)

    def closed_for(self, reason: CloseReason) -> None:
        """Count a connection that was closed or refused."""
        self.closed.inc({"reason": reason.value})

    def called(self, result: str) -> None:
        """Count a call to a peer by its result."""
        self.calls.inc({"result": result})

    def passed_on(self, count: int) -> None:
        """Count messages of other hosts passed on."""
        self.relayed.add({}, count)

    def sent(self, count: int) -> None:
        """Count bytes sent."""
        self.sent_bytes += count

    def sent_unbudgeted(self, count: int) -> None:
        """Count bytes sent that the byte budget doesn't bound."""
        self.bytes.add({"direction": "sent-unbudgeted"}, count)

    def received(self, count: int) -> None:
        """Count bytes received."""
        self.received_bytes += count

    def flush(self) -> None:
        """Show the bytes counted; a counter's labels cost too much each."""
        self.bytes.add({"direction": "sent"}, self.sent_bytes)
        self.bytes.add({"direction": "received"}, self.received_bytes)
        self.sent_bytes = 0
        self.received_bytes = 0

    def dropped(self, reason: str) -> None:
        """Count a frame or message left out."""
        self.metrics.dropped.inc({"part": "peers", "reason": reason})
