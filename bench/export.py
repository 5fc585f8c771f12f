"""Measure memory and speed of a large export through the gateway.

Run as `python -m bench.export [BYTES]`. Two targets and a gateway run as
processes; one export is read directly, then one through the gateway.
"""

import contextlib
import sys

import trio

from bench.datapath.__main__ import Server, started

DEFAULT_BYTES = 1_000_000_000
READ_BYTES = 1 << 20
SAMPLE_BYTES = 100_000_000
KIB_PER_MIB = 1024


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KIB_PER_MIB
    raise ValueError("the process has no resident memory")


async def read_export(server: Server, size: int) -> tuple[float, float, float]:
    """Return MB/s, and resident MiB at the start and at most.

    Raises:
        ValueError: Fewer bytes came than announced.
    """
    stream = await trio.open_tcp_stream("127.0.0.1", server.port)
    request = f"GET /export?bytes={size} HTTP/1.1\r\nHost: bench\r\n\r\n"
    first = most = resident_mib(server.pid)
    started_at = trio.current_time()
    await stream.send_all(request.encode())
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(READ_BYTES)
    got = len(data.partition(b"\r\n\r\n")[2])
    next_sample = SAMPLE_BYTES
    while got < size:
        part = await stream.receive_some(READ_BYTES)
        if not part:
            raise ValueError(f"cut at byte {got}")
        got += len(part)
        if got >= next_sample:
            next_sample += SAMPLE_BYTES
            most = max(most, resident_mib(server.pid))
    seconds = trio.current_time() - started_at
    await stream.aclose()
    return size / seconds / 1e6, first, most


def main(size: int) -> None:
    """Print one line for each way."""
    print(f"{size} bytes")
    print(
        f"{'way':12}{'MB/s':>8}{'ratio':>8}{'MiB before':>12}{'MiB most':>10}"
    )
    with contextlib.ExitStack() as stack:
        targets = [stack.enter_context(started("target")) for _ in range(2)]
        ports = ",".join(str(target.port) for target in targets)
        gateway = stack.enter_context(started("gateway", f"whole:{ports}"))
        base = 0.0
        for name, server in (("direct", targets[0]), ("agatetack", gateway)):
            speed, first, most = trio.run(read_export, server, size)
            base = base or speed
            print(
                f"{name:12}{speed:8.0f}{speed / base:8.2f}"
                f"{first:12.1f}{most:10.1f}"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BYTES)
