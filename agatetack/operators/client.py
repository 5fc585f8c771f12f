"""Call the administration API of a daemon over HTTP."""

import dataclasses
import enum
import ssl
from types import TracebackType
from typing import Any

import httpcore
import trio
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TApplicationException, TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.errors import ApiError
from agatetack.generated.operators import Operators
from agatetack.operators import convert, refusals
from agatetack.operators.calls import CALLS, CallName

CONTENT_TYPE = "application/x-thrift"
DEFAULT_TIMEOUT_SECONDS = 15.0
"""How long a call may take; longer than the daemon waits for the log."""

MAX_TEXT_SHOWN = 200
"""Characters shown of a body that is no Thrift message."""

LIST_FIELDS = {
    CallName.LIST_ROUTES: "routes",
    CallName.LIST_HOSTS: "hosts",
    CallName.LIST_TARGETS: "targets",
    CallName.LIST_QUARANTINE: "requests",
}
"""The calls that answer in pages, and the field with their items."""


class CallEffect(enum.Enum):
    """Whether a call that brought no reply can have had an effect."""

    NONE = "none"
    UNKNOWN = "unknown"


class CallFailed(ApiError):
    """A call brought no reply that could be read.

    Attributes:
        effect: Whether it can have had an effect.
    """

    def __init__(self, message: str, effect: CallEffect):
        """Keep the one-line message and the effect."""
        super().__init__(message)
        self.effect = effect


class OperatorsClient:
    """A client of one daemon; use it as an asynchronous context."""

    def __init__(
        self,
        url: str,
        token: str = "",
        authority: str | None = None,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ):
        """Reach the daemon at `url`, such as `http://127.0.0.1:8081`.

        Args:
            url: Scheme, IP number and port.
            token: The operator's token; empty sends none.
            authority: PEM file to check the daemon's certificate with.
            timeout_seconds: How long one call may take.
        """
        self.url = url.rstrip("/")
        self.token = token
        self.timeout_seconds = timeout_seconds
        context = None
        if authority is not None:
            context = ssl.create_default_context(cafile=authority)
        self.pool = httpcore.AsyncConnectionPool(ssl_context=context)

    async def __aenter__(self) -> "OperatorsClient":
        """Return the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self.pool.aclose()

    async def call(self, name: CallName, request: Any) -> Any:
        """Return the answer to one call.

        Args:
            name: The call.
            request: Of the type that `CALLS` names, as is the answer.

        Raises:
            OperatorsError: The daemon refused; its type says why.
            CallFailed: No reply came that could be read.
        """
        if not isinstance(request, CALLS[name].request):
            raise TypeError(f"{name.value} takes a {CALLS[name].request}")
        response = await self._post(_write_call(name, request))
        return _read_reply(name, response)

    async def list_all(self, name: CallName, request: Any) -> Any:
        """Return the answer to a list call with the items of all pages.

        Raises:
            OperatorsError: The daemon refused; its type says why.
            CallFailed: No reply came that could be read.
        """
        page = await self.call(name, request)
        field = LIST_FIELDS[name]
        items = list(getattr(page, field))
        while page.next_after is not None:
            request = dataclasses.replace(request, after=page.next_after)
            page = await self.call(name, request)
            items += getattr(page, field)
        return dataclasses.replace(page, **{field: tuple(items)})

    async def _post(self, body: bytes) -> httpcore.Response:
        headers = {"content-type": CONTENT_TYPE}
        if self.token:
            headers["authorization"] = f"Bearer {self.token}"
        try:
            with trio.fail_after(self.timeout_seconds):
                return await self.pool.request(
                    "POST", f"{self.url}/api", headers=headers, content=body
                )
        except (httpcore.ConnectError, httpcore.UnsupportedProtocol) as error:
            raise CallFailed(
                f"{self.url} cannot be reached: {error}", CallEffect.NONE
            ) from error
        except (
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            why = str(error) or type(error).__name__
            raise CallFailed(
                f"{self.url} did not answer: {why}", CallEffect.UNKNOWN
            ) from error


def _write_call(name: CallName, request: Any) -> bytes:
    args_class = getattr(Operators, f"{name.value}_args")
    struct_class = args_class.thrift_spec[1][3][0]
    buffer = TMemoryBuffer()
    writer = TBinaryProtocol(buffer)
    writer.writeMessageBegin(name.value, TMessageType.CALL, 0)
    args_class(convert.to_thrift(request, struct_class)).write(writer)
    writer.writeMessageEnd()
    return buffer.getvalue()


def _read_reply(name: CallName, response: httpcore.Response) -> Any:
    if response.status != 200:
        text = response.content[:MAX_TEXT_SHOWN].decode("utf-8", "replace")
        raise CallFailed(
            f"the daemon answered {response.status}: {text.strip()}",
            CallEffect.NONE if response.status < 500 else CallEffect.UNKNOWN,
        )
    reader = TBinaryProtocol(TMemoryBuffer(response.content))
    result = getattr(Operators, f"{name.value}_result")()
    try:
        _, kind, _ = reader.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            problem = TApplicationException()
            problem.read(reader)
            raise CallFailed(
                f"the daemon does not know the call: {problem}",
                CallEffect.NONE,
            )
        result.read(reader)
        return _unpack(name, result)
    except (TException, EOFError, ValueError, convert.FieldProblems) as error:
        raise CallFailed(
            f"the daemon's reply cannot be read: {error!r}", CallEffect.UNKNOWN
        ) from error


def _unpack(name: CallName, result: Any) -> Any:
    """Return the answer in `result`, or raise the exception in it."""
    if result.success is not None:
        return convert.from_thrift(
            result.success, CALLS[name].view, lenient=True
        )
    for spec in result.thrift_spec[1:]:
        error = getattr(result, spec[2])
        if error is not None:
            own_class = getattr(refusals, type(error).__name__)
            raise convert.from_thrift(error, own_class, lenient=True)
    raise ValueError("the reply is empty")
