"""Stand in for clients: one request on a channel of its own."""

import asyncio
import itertools

from review.standins.http import Connection, Message

numbers = itertools.count(1)


async def send(
    address: tuple[str, int],
    method: str,
    host: str,
    path: str,
    timeout_ms: int,
    body: bytes = b"",
    request_id: str = "",
) -> tuple[str, Message | None]:
    """Send one request; return its id and the answer, None without one."""
    request_id = request_id or f"rq{next(numbers):08x}"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Request-Timeout-Ms: {timeout_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    try:
        async with asyncio.timeout(timeout_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                return request_id, await Connection(
                    reader, writer
                ).read_request()
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        return request_id, None


async def is_ready(address: tuple[str, int]) -> bool:
    """Ask a machine whether it is ready, as the platform does."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /agatetack/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await Connection(reader, writer).read_request()
            writer.close()
            return answer is not None and answer.status == 200
    except (OSError, EOFError, TimeoutError):
        return False
