"""Count the traffic between this host and its peers."""

from agatetack.metrics import Metrics
from agatetack.peers.frames import CloseReason


class PeerCounters:
    """The counters of the peer exchange.

    Attributes:
        closed: Connections closed, by reason.
        bytes: Bytes exchanged, by direction.
        relayed: Messages of other hosts forwarded.
        calls: Calls to peers, by result.
        sent_bytes: Bytes sent since the last `flush`.
        received_bytes: Bytes received since the last `flush`.
    """

    def __init__(self, metrics: Metrics):
        """Create the counters, with a series for each direction and reason."""
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

    def forwarded(self, count: int) -> None:
        """Count forwarded messages of other hosts."""
        self.relayed.add({}, count)

    def sent(self, count: int) -> None:
        """Count bytes sent."""
        self.sent_bytes += count

    def sent_unbudgeted(self, count: int) -> None:
        """Count bytes sent that are exempt from the byte budget."""
        self.bytes.add({"direction": "sent-unbudgeted"}, count)

    def received(self, count: int) -> None:
        """Count bytes received."""
        self.received_bytes += count

    def flush(self) -> None:
        """Add the bytes sent and received to the metric.

        Looking up the labels of the metric for each frame costs too much.
        """
        self.bytes.add({"direction": "sent"}, self.sent_bytes)
        self.bytes.add({"direction": "received"}, self.received_bytes)
        self.sent_bytes = 0
        self.received_bytes = 0

    def dropped(self, reason: str) -> None:
        """Count a dropped frame, message or call."""
        self.metrics.dropped.inc({"part": "peers", "reason": reason})
