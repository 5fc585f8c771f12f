"""Start, stop and watch the process of one host."""

import dataclasses
import os
import pathlib
import resource
import signal
import subprocess
from collections.abc import Iterator

import trio

from agatetack.ids import FailureDomain, HostId
from bench.soak.deploy_file import Role
from bench.soak.template import Fields

RESTART_SECONDS = 0.3
"""Time after which a process that has ended is started again."""

POLL_SECONDS = 0.02
"""Interval at which a process is looked at."""

TAIL_BYTES = 2000
"""Bytes of output that are kept of a process that ended."""

PAGE_BYTES = resource.getpagesize()


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How one process ended.

    Attributes:
        host: Its host.
        at: When, in seconds of the run.
        lived_seconds: How long it ran.
        status: Its exit status; negative for a signal.
        by_itself: Whether nothing outside ended it.
        output: The end of what it wrote to standard error.
    """

    host: HostId
    at: float
    lived_seconds: float
    status: int
    by_itself: bool
    output: str


class Host:
    """The process of one host, started again whenever it ends.

    Attributes:
        id: The host's name.
        ip: Its own loopback address.
        domain: Its failure domain.
        fields: What the platform would know of the machine.
        folder: Holds its settings and output.
        process: The running process, or None.
        wanted: Whether it is started again.
        ends: How its processes ended.
        starts: Number of processes started.
        peak_bytes: Most resident memory that any of them had.
    """

    def __init__(
        self,
        role: Role,
        fields: Fields,
        domain: FailureDomain,
        folder: pathlib.Path,
        cores: frozenset[int],
    ):
        """Describe the host; `run` starts its process.

        Args:
            role: How it is started.
            fields: What the platform knows of the machine.
            domain: The failure domain.
            folder: Gets its settings and output.
            cores: The processor cores that it may use; all if empty.
        """
        self.role = role
        self.fields = fields
        self.id = HostId(str(fields["node_name"]))
        self.ip = str(fields["ip"])
        self.domain = domain
        self.folder = folder
        self.cores = cores
        self.config = folder / f"{self.id}.yaml"
        self.output = folder / f"{self.id}.log"
        self.errors = folder / f"{self.id}.err"
        self.process: subprocess.Popen | None = None
        self.wanted = True
        self.ended_from_outside = False
        self.started_at = 0.0
        self.ends: list[End] = []
        self.starts = 0
        self.peak_bytes = 0

    def write_settings(self) -> None:
        """Put the settings file where the process looks for it."""
        partial = self.config.with_suffix(".new")
        partial.write_text(self.role.settings(self.fields))
        partial.rename(self.config)

    def start(self) -> None:
        """Start one process beside whatever else runs."""
        self.write_settings()
        with self.output.open("ab") as out, self.errors.open("ab") as errors:
            self.process = subprocess.Popen(
                self.role.command(self.fields),
                cwd=self.role.root,
                env=self.role.environment(self.fields, self.config),
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=errors,
                process_group=0,
            )
        pid = self.process.pid
        limit = self.fields["limits"]["max_fds"]
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))
        if self.cores:
            os.sched_setaffinity(pid, self.cores)
        self.starts += 1
        self.started_at = trio.current_time()
        self.ended_from_outside = False

    async def run(self, epoch: float) -> None:
        """Keep a process running until cancelled.

        Args:
            epoch: The start of the run on trio's clock.
        """
        try:
            while True:
                if self.wanted:
                    self.start()
                    await self._wait()
                    self._note_end(epoch)
                await trio.sleep(RESTART_SECONDS)
        finally:
            self.kill()

    async def _wait(self) -> None:
        while self.process.poll() is None:
            self._watch_memory()
            await trio.sleep(POLL_SECONDS)

    def _watch_memory(self) -> None:
        """End a process that has more memory than its machine."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                resident = int(file.read().split()[1]) * PAGE_BYTES
        except (OSError, IndexError):
            return
        self.peak_bytes = max(self.peak_bytes, resident)
        if resident > self.fields["limits"]["memory_mb"] << 20:
            self.process.kill()

    def processor_times(self) -> tuple[float, float]:
        """Return how long the process ran on a processor and waited for one."""
        try:
            path = pathlib.Path(f"/proc/{self.process.pid}/schedstat")
            ran, waited, _ = map(int, path.read_text().split())
        except (OSError, ValueError):
            return 0.0, 0.0
        return ran / 1e9, waited / 1e9

    def _note_end(self, epoch: float) -> None:
        now = trio.current_time()
        with self.errors.open("rb") as file:
            size = self.errors.stat().st_size
            file.seek(max(0, size - TAIL_BYTES))
            output = file.read().decode(errors="replace")
        self.ends.append(
            End(
                self.id,
                now - epoch,
                now - self.started_at,
                self.process.returncode,
                not self.ended_from_outside,
                output,
            )
        )

    @property
    def running(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if not self.running:
            return
        if number in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL):
            self.ended_from_outside = True
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, whatever it does."""
        if self.running:
            self.ended_from_outside = True
            self.process.kill()
            self.process.wait()


def ends_by_themselves(hosts: list[Host]) -> Iterator[End]:
    """Yield the ends of processes that nothing outside ended."""
    for host in hosts:
        yield from (end for end in host.ends if end.by_itself)
