"""Carry Thrift messages to the calls of the API and their results back.

The library's own processor is synchronous, so the generated argument and
result structs are read and written here, and the calls are awaited.
"""

import dataclasses
import enum
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from thrift.protocol.TBinaryProtocol import (
    TBinaryProtocol,
    TBinaryProtocolAccelerated,
)
from thrift.protocol.TCompactProtocol import (
    TCompactProtocol,
    TCompactProtocolAccelerated,
)
from thrift.protocol.TJSONProtocol import TJSONProtocol
from thrift.protocol.TProtocol import TProtocolBase
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.generated.operators import Operators
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.operators import convert
from agatetack.operators.access import Authenticator, Operator, Sender
from agatetack.operators.calls import CALLS, CallName
from agatetack.operators.json_protocol import BoundedJsonProtocol
from agatetack.operators.refusals import (
    AccessDenied,
    InvalidRequest,
    OperatorsError,
    Unavailable,
    UnavailableReason,
)

MAX_BODY_BYTES = 32_768
"""Longest message that is read. The largest request is one route; what is
longer only costs the event loop's time, about a microsecond a byte."""

MAX_STRING_BYTES = 4096
"""Longest string of a message."""

MAX_CONTAINER_LENGTH = 1000
"""Most items of a list in a message."""

OK_LABEL = "ok"
UNKNOWN_CALL_LABEL = "-"

# What a reader of damaged bytes raises, the library's own errors included.
READ_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    struct.error,
)

log = PartLog("operators")


class ContentType(enum.Enum):
    """How a message is encoded."""

    SNIFF = "application/x-thrift"
    BINARY = "application/vnd.apache.thrift.binary"
    COMPACT = "application/vnd.apache.thrift.compact"
    JSON = "application/vnd.apache.thrift.json"


class BadMessage(Exception):
    """The body is no Thrift message."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of the schema and what answers it.

    Attributes:
        name: As in the schema.
        request_class: The dataclass of its one argument.
        method: Takes the operator and the request.
    """

    name: str
    request_class: type
    method: Callable[[Operator, Any], Awaitable[Any]]

    @property
    def args_class(self) -> type:
        """Return the generated struct of the arguments."""
        return getattr(Operators, f"{self.name}_args")

    @property
    def result_class(self) -> type:
        """Return the generated struct of the result."""
        return getattr(Operators, f"{self.name}_result")


class Dispatcher:
    """Answer messages with the calls that `parts` have methods for."""

    def __init__(
        self, authenticator: Authenticator, metrics: Metrics, *parts: object
    ):
        """Find a method for each call of the schema.

        Args:
            authenticator: Knows who may call.
            metrics: Counts calls by name and result.
            *parts: Objects with one method for each call.
        """
        self.authenticator = authenticator
        self.calls = {
            name.value: Call(name.value, types.request, _find(name, parts))
            for name, types in CALLS.items()
        }
        self.counter = metrics.counter(
            "agatetack_operators_calls_total",
            "Operators' calls, by call and result.",
        )

    async def answer(
        self,
        body: bytes,
        content_type: ContentType,
        sender: Sender,
    ) -> bytes:
        """Return the reply to one message, in the same encoding.

        Args:
            body: The message.
            content_type: How it is encoded.
            sender: Where it came from.

        Raises:
            BadMessage: The body is no Thrift message.
        """
        reader = _open(body, content_type)
        name, kind, sequence = _read(reader.readMessageBegin)
        call = self.calls.get(name)
        if kind != TMessageType.CALL:
            raise BadMessage("the message is no call")
        if call is None:
            self.counter.inc({"call": UNKNOWN_CALL_LABEL, "result": "unknown"})
            return _unknown_call(reader, str(name), sequence)
        result = call.result_class()
        try:
            operator = self.authenticator.authenticate(sender)
            request = _read_request(reader, call)
            value = await call.method(operator, request)
            await trio.lowlevel.checkpoint()
            label = OK_LABEL
            success_class = call.result_class.thrift_spec[0][3][0]
            result.success = convert.to_thrift(value, success_class)
        except OperatorsError as error:
            label = type(error).__name__
            if isinstance(error, AccessDenied):
                self.authenticator.count(error)
            _set_error(result, error)
        except BadMessage:
            raise
        except Exception as error:  # The fault of this host, not the caller's.
            label = "internal-error"
            log.error("Call %s failed: %r.", name, error)
            _set_error(
                result,
                Unavailable(
                    UnavailableReason.INTERNAL_ERROR,
                    f"call {name} failed in this host; its log says why",
                ),
            )
        self.counter.inc({"call": name, "result": label})
        await trio.lowlevel.checkpoint()
        return _write_reply(reader, name, sequence, result)


def _find(
    name: CallName, parts: tuple[object, ...]
) -> Callable[[Operator, Any], Awaitable[Any]]:
    for part in parts:
        if hasattr(part, name.value):
            return getattr(part, name.value)
    raise TypeError(f"nothing answers {name.value}")


def _open(body: bytes, content_type: ContentType) -> TProtocolBase:
    buffer = TMemoryBuffer(body)
    if content_type is ContentType.SNIFF:
        content_type = _sniff(body)
    # The accelerated readers are left out, as they recurse in C.
    if content_type is ContentType.JSON:
        return BoundedJsonProtocol(buffer, string_length_limit=MAX_STRING_BYTES)
    protocol = (
        TCompactProtocol
        if content_type is ContentType.COMPACT
        else TBinaryProtocol
    )
    return protocol(
        buffer,
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_LENGTH,
    )


def _sniff(body: bytes) -> ContentType:
    """Return the encoding, as clients may send one type for all of them."""
    first = body[:1]
    if first == b"[":
        return ContentType.JSON
    if first == bytes([TCompactProtocol.PROTOCOL_ID]):
        return ContentType.COMPACT
    return ContentType.BINARY


def _read(step: Callable[[], Any]) -> Any:
    try:
        return step()
    except READ_ERRORS as error:
        raise BadMessage("the body is no Thrift message") from error


def _read_request(reader: TProtocolBase, call: Call) -> Any:
    """Return the call's request.

    Raises:
        BadMessage: The bytes cannot be read.
        InvalidRequest: Fields are missing or hold unknown enum numbers.
    """
    args = call.args_class()
    _read(lambda: args.read(reader))
    if args.request is None:
        raise InvalidRequest(
            "request is missing",
            (convert.Finding("request", "is missing"),),
        )
    try:
        return convert.from_thrift(args.request, call.request_class, "request")
    except convert.FieldProblems as problems:
        listed = "; ".join(f"{f.place} {f.message}" for f in problems.findings)
        raise InvalidRequest(listed, problems.findings) from problems


def _set_error(result: Any, error: OperatorsError) -> None:
    """Put `error` into the field of the result that has its type."""
    for spec in result.thrift_spec:
        if spec is not None and spec[3][0].__name__ == type(error).__name__:
            setattr(result, spec[2], convert.to_thrift(error, spec[3][0]))
            return
    raise TypeError(f"{type(result).__name__} has no {type(error).__name__}")


def _write_reply(
    reader: TProtocolBase, name: str, sequence: int, result: Any
) -> bytes:
    buffer = TMemoryBuffer()
    writer = _writer(reader, buffer)
    writer.writeMessageBegin(name, TMessageType.REPLY, sequence)
    result.write(writer)
    writer.writeMessageEnd()
    return buffer.getvalue()


def _unknown_call(reader: TProtocolBase, name: str, sequence: int) -> bytes:
    """Return the library's own error for a call that is not in the schema."""
    buffer = TMemoryBuffer()
    writer = _writer(reader, buffer)
    writer.writeMessageBegin(name, TMessageType.EXCEPTION, sequence)
    TApplicationException(
        TApplicationException.UNKNOWN_METHOD, f"there is no call {name}"
    ).write(writer)
    writer.writeMessageEnd()
    return buffer.getvalue()


def _writer(reader: TProtocolBase, buffer: TMemoryBuffer) -> TProtocolBase:
    """Return a writer of the encoding that `reader` reads."""
    if isinstance(reader, TJSONProtocol):
        return TJSONProtocol(buffer)
    if isinstance(reader, TCompactProtocol):
        return TCompactProtocolAccelerated(buffer)
    return TBinaryProtocolAccelerated(buffer)
