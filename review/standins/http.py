"""Read and write HTTP/1.1 messages, just as far as the cases need it."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """One request or answer.

    Attributes:
        first: The words of the first line.
        headers: Header fields, names in lower case.
        body: The body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first[1])


class Connection:
    """One side of a connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        """Read messages from `reader`."""
        self.reader = reader
        self.writer = writer

    async def read_request(self) -> Message | None:
        """Return the next message, None at a regular end."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        message = Message(lines[0].split(" ", 2), headers)
        if headers.get("transfer-encoding") == "chunked":
            message.body = await self._read_chunks()
        else:
            length = int(headers.get("content-length", "0"))
            message.body = await self.reader.readexactly(length)
        return message

    async def _read_chunks(self) -> bytes:
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readline()
        await self.reader.readline()
        return body


def answer_bytes(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Write an answer with a length."""
    writer.write(answer_bytes(status, headers, body))
    await writer.drain()
