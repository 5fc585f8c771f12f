"""Read Thrift messages of other hosts, with every required field checked."""

from typing import TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

Message = TypeVar("Message")

PROTOCOLS = TCompactProtocolAcceleratedFactory()


class MalformedMessage(ValueError):
    """Bytes are no message of the kind that was expected."""


def encode(message: object) -> bytes:
    """Return a message as compact Thrift."""
    return serialize(message, PROTOCOLS)


def decode(kind: type[Message], payload: bytes) -> Message:
    """Return the message in `payload`, all its parts complete.

    The decoder leaves out fields that are absent or of another type. A part
    that lacks a required one would fail wherever it is used, in a task that
    serves other messages, too.

    Raises:
        MalformedMessage: It is none of `kind`, or a required field of it or
            of a part is missing.
    """
    message = kind()
    try:
        deserialize(message, payload, PROTOCOLS)
        _check(message)
    except Exception as error:
        # Thrift raises errors of many kinds for bytes that aren't its own.
        cause = f"{kind.__name__}: {type(error).__name__}: {error}"
        raise MalformedMessage(cause) from error
    return message


def _check(message: object) -> None:
    """Raise an error unless a message and all its parts are complete."""
    message.validate()
    for name in message.__slots__:
        value = getattr(message, name)
        if hasattr(value, "validate"):
            _check(value)
        elif isinstance(value, list):
            for part in value:
                if hasattr(part, "validate"):
                    _check(part)
