"""Read Thrift's JSON with an end to numbers."""

from thrift.protocol.TJSONProtocol import TJSONProtocol


class BoundedJsonProtocol(TJSONProtocol):
    """Thrift's JSON, read no further than its end.

    The library (0.25) takes the end of the input for one more digit, so a
    message that is cut within a number keeps its reader busy up to the limit
    of a string, which is 100 MB unless set.
    """

    def isJSONNumeric(self, character: bytes) -> bool:  # noqa: N802
        """Return whether `character` belongs to a number; the end does not."""
        return character != b"" and super().isJSONNumeric(character)
