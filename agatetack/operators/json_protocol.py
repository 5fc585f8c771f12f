"""Read Thrift's JSON with the bounds that the library's reader lacks."""

from typing import Any

from thrift.protocol.TJSONProtocol import TJSONProtocol
from thrift.protocol.TProtocol import TProtocolException


class BoundedJsonProtocol(TJSONProtocol):
    """Thrift's JSON with an end to numbers and a bound on containers.

    The library (0.25) takes the end of the input for one more digit, so a
    message cut within a number keeps it busy up to its limit of a string,
    100 MB; and it has no limit on the items that a container announces.
    """

    def __init__(self, trans: Any, max_items: int, max_characters: int):
        """Read from `trans`.

        Args:
            trans: A transport of the library.
            max_items: Most items that a container may announce.
            max_characters: Most characters of a string.
        """
        super().__init__(trans, string_length_limit=max_characters)
        self.max_items = max_items

    def isJSONNumeric(self, character: bytes) -> bool:  # noqa: N802
        """Return whether `character` belongs to a number; the end does not."""
        return character != b"" and super().isJSONNumeric(character)

    def readCollectionBegin(self) -> Any:  # noqa: N802
        """Return the type and number of a list's or set's items."""
        item_type, size = super().readCollectionBegin()
        self._check_size(size)
        return item_type, size

    readListBegin = readCollectionBegin  # noqa: N815
    readSetBegin = readCollectionBegin  # noqa: N815

    def readMapBegin(self) -> Any:  # noqa: N802
        """Return the types and number of a map's items."""
        key_type, value_type, size = super().readMapBegin()
        self._check_size(size)
        return key_type, value_type, size

    def _check_size(self, size: int) -> None:
        if not 0 <= size <= self.max_items:
            raise TProtocolException(
                TProtocolException.SIZE_LIMIT, f"{size} items are too many"
            )
