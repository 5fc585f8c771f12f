"""Encode and decode the frames that peers exchange and limit their size."""

import enum
import ipaddress
import re
from collections.abc import Callable

import trio

from agatetack.generated.peers import ttypes
from agatetack.thrift_codec import CODEC, MalformedMessage, decode, encode

LENGTH_BYTES = 4
"""Size of the length prefix of each frame."""

MAX_HELLO_BYTES = 1024
"""Maximum size of a frame before the other end is authenticated."""

MAX_RECEIVE_BYTES = 65536
"""Maximum number of bytes read from a connection at once."""

HOST_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
"""Format of host ids and failure domains in the settings."""


class CloseReason(enum.Enum):
    """Why a connection with a peer was closed; a metric label."""

    ENDED = "ended"
    CONNECTION_LOST = "connection-lost"
    CONNECT_FAILED = "connect-failed"
    SILENT = "silent"
    UNACKNOWLEDGED = "unacknowledged"
    MALFORMED_FRAME = "malformed-frame"
    OVERSIZED_FRAME = "oversized-frame"
    UNEXPECTED_FRAME = "unexpected-frame"
    WRONG_VERSION = "wrong-version"
    WRONG_KEY = "wrong-key"
    NOT_LISTED = "not-listed"
    WRONG_HOST = "wrong-host"
    OLD_INCARNATION = "old-incarnation"
    REPLACED = "replaced"
    DUPLICATE = "duplicate"
    TOO_MANY = "too-many"
    OVER_BUDGET = "over-budget"
    FAILED = "failed"


class LinkClosed(Exception):
    """A connection with a peer has to be closed or was closed.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: CloseReason):
        """Create the error for `reason`."""
        super().__init__(reason.value)
        self.reason = reason


def encode_frame(frame: ttypes.Frame) -> bytes:
    """Return the encoded `frame` with its length prefix."""
    content = encode(frame)
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def decode_frame(content: bytes) -> ttypes.Frame:
    """Return the frame encoded in `content`, without a length prefix.

    Raises:
        LinkClosed: It is not exactly one well-formed frame.
    """
    try:
        frame = CODEC.read_into(ttypes.Frame(), content)
        (part,) = [each for each in _contents(frame) if each is not None]
        # The accelerated decoder leaves absent fields and fields of the wrong
        # type unset, so required fields have to be checked here.
        part.validate()
    except Exception as error:
        # Decoding, a frame without exactly one content, and validation raise
        # exceptions of many types for malformed content.
        raise LinkClosed(CloseReason.MALFORMED_FRAME) from error
    if not _names_are_valid(frame):
        raise LinkClosed(CloseReason.MALFORMED_FRAME)
    return frame


def encode_member(member: ttypes.Member) -> bytes:
    """Return the encoded `member`, the payload of a published message."""
    return encode(member)


def decode_member(payload: bytes) -> ttypes.Member | None:
    """Return the member encoded in `payload`, or None if malformed."""
    try:
        member = decode(ttypes.Member, payload)
    except MalformedMessage:
        return None
    return member if _member_is_valid(member) else None


def _contents(frame: ttypes.Frame) -> tuple[object, ...]:
    """Return the fields of `frame`, of which one is set."""
    return (
        frame.hello,
        frame.proof,
        frame.heartbeat,
        frame.publish,
        frame.call,
        frame.reply,
        frame.missing,
    )


def _names_are_valid(frame: ttypes.Frame) -> bool:
    if frame.hello is not None:
        return _member_is_valid(frame.hello)
    if frame.publish is not None:
        return _origin_is_valid(frame.publish)
    if frame.missing is not None:
        return all(_is_name(host) for host in frame.missing.hosts)
    return True


def _origin_is_valid(publish: ttypes.Publish) -> bool:
    if publish.origin is None:
        return publish.incarnation is None
    return publish.incarnation is not None and _is_name(publish.origin)


def _member_is_valid(member: ttypes.Hello | ttypes.Member) -> bool:
    return (
        _is_name(member.host)
        and _is_name(member.failure_domain)
        and _is_ip(member.ip)
        and 0 <= member.port <= 65_535
    )


def _is_ip(text: str) -> bool:
    # A name would be resolved, which blocks all tasks of this host.
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_name(text: object) -> bool:
    return isinstance(text, str) and HOST_PATTERN.fullmatch(text) is not None


class FrameReader:
    """Read frames from one connection.

    Attributes:
        max_bytes: Maximum size of the frames accepted now.
        last_frame: The bytes of the latest frame, with its length prefix.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, on_bytes: Callable[[int], None]
    ):
        """Read from `stream`; call `on_bytes` with the size of each read."""
        self.stream = stream
        self.on_bytes = on_bytes
        self.max_bytes = MAX_HELLO_BYTES
        self.last_frame = b""
        self.buffer = bytearray()

    async def receive(self) -> ttypes.Frame:
        """Return the next frame.

        Raises:
            LinkClosed: The connection ended or was lost, or the frame is
                malformed or too large.
        """
        while not (end := self._complete_frame_end()):
            await self._fill_buffer()
        self.last_frame = bytes(self.buffer[:end])
        del self.buffer[:end]
        return decode_frame(self.last_frame[LENGTH_BYTES:])

    def _complete_frame_end(self) -> int:
        """Return the size of the first frame with its length prefix.

        It is 0 while the buffer doesn't hold the complete frame.

        Raises:
            LinkClosed: The frame is too large.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return 0
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        if length > self.max_bytes:
            raise LinkClosed(CloseReason.OVERSIZED_FRAME)
        end = LENGTH_BYTES + length
        return end if len(self.buffer) >= end else 0

    async def _fill_buffer(self) -> None:
        """Read the next bytes into the buffer."""
        try:
            chunk = await self.stream.receive_some(MAX_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
            raise LinkClosed(CloseReason.CONNECTION_LOST) from err
        if not chunk:
            raise LinkClosed(CloseReason.ENDED)
        self.buffer += chunk
        self.on_bytes(len(chunk))
