"""Read slopes from what the other benches print."""

import dataclasses
import re
import statistics
import subprocess
import sys
from collections.abc import Sequence

from bench.capacity.slopes import Slope, new_slope

LONGEST_SECONDS = 300
"""A bench that takes longer is stopped."""


class NothingPrinted(Exception):
    """A bench no longer prints what a slope is read from."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Where a slope stands in a bench's output.

    Attributes:
        name: The slope's name.
        pattern: Its only group is the figure; the last match counts.
        says: What it is.
        factor: Turns the printed unit into the name's.
    """

    name: str
    pattern: str
    says: str
    factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bench:
    """A bench, and the slopes read from what it prints.

    Attributes:
        name: What it is called on the command line of this one.
        arguments: What follows `python -m`.
        readings: The slopes.
        runs: How often it is run; a slope is the median.
    """

    name: str
    arguments: Sequence[str]
    readings: Sequence[Reading]
    runs: int = 1

    @property
    def command(self) -> str:
        """Return the command as a reader would type it."""
        return " ".join(["python -m", *self.arguments])

    def measure(self) -> list[Slope]:
        """Run the bench and return its slopes.

        Raises:
            NothingPrinted: A figure is not in its output.
        """
        outputs = [self._run() for _ in range(self.runs)]
        return [self._slope(each, outputs) for each in self.readings]

    def _run(self) -> str:
        done = subprocess.run(
            [sys.executable, "-m", *self.arguments],
            check=True,
            stdout=subprocess.PIPE,
            text=True,
            timeout=LONGEST_SECONDS,
        )
        return done.stdout

    def _slope(self, reading: Reading, outputs: Sequence[str]) -> Slope:
        values = [self._read(reading, output) for output in outputs]
        says = reading.says
        if self.runs > 1:
            says += f" (median of {self.runs} runs)"
        return new_slope(
            reading.name, statistics.median(values), says, self.command
        )

    def _read(self, reading: Reading, output: str) -> float:
        found = re.findall(reading.pattern, output, re.MULTILINE)
        if not found:
            raise NothingPrinted(f"{self.command}: {reading.name}")
        return float(found[-1]) * reading.factor


DATAPATH = Bench(
    "datapath",
    ("bench.datapath", "-"),
    (
        Reading(
            "call_peak_per_second",
            r"^agatetack +(\d+)",
            "calls a second of one process at its peak, 16 at a time",
        ),
        Reading(
            "call_cpu_us",
            r"^agatetack +\d+ +(\d+)",
            "processor time of one call at that peak",
        ),
        Reading(
            "call_rate_per_second",
            r"^open loop at (\d+) requests/s",
            "calls a second of one process while the times are taken",
        ),
        Reading(
            "call_p50_added_ms",
            r"^agatetack +\d+ +\d+ +[\d.]+ +[\d.]+ +(-?[\d.]+)",
            "time added to a call at p50, at that rate",
        ),
        Reading(
            "call_p99_added_ms",
            r"^agatetack +\d+ +\d+ +[\d.]+ +[\d.]+ +-?[\d.]+ +(-?[\d.]+)",
            "time added to a call at p99, at that rate",
        ),
        Reading(
            "call_p99_direct_ms",
            r"^direct +\d+ +\d+ +[\d.]+ +([\d.]+)",
            "time of a call at p99 without the gateway, at that rate",
        ),
    ),
    runs=3,
)

CLAIMS = Bench(
    "claims",
    (
        "bench.claims",
        *[
            "--modes",
            "STEWARD",
            "--partitions",
            "2",
            "--claims",
            "2000",
            "--seconds",
            "2",
        ],
        *["--fold-keys", "50000"],
    ),
    (
        Reading(
            "claim_memory_bytes",
            r"50000 keys, done, dated; each: (\d+) bytes of memory",
            "memory of one key that is done and dated",
        ),
        Reading(
            "claim_undated_memory_bytes",
            r"50000 keys, done, undated; each: (\d+) bytes of memory",
            "memory of one key that is done and came without a time",
        ),
        Reading(
            "claim_read_bytes",
            r"50000 keys, done, dated; .* (\d+) bytes read",
            "bytes of the log that each host reads for a claim and its end",
        ),
        Reading(
            "claim_fold_us",
            r"50000 keys, done, dated; .* ([\d.]+) us to fold",
            "processor time of folding a claim and its end",
        ),
        Reading(
            "claim_wait_trips",
            r"^steward +\d+ +\d+ +\d+ +\d+ +\d+ +([\d.]+)",
            "log round trips of 5 ms until a claim is granted, p50, 2 streams",
        ),
        Reading(
            "claim_calls_per_host",
            r"^steward .* (\d+)$",
            "calls of stewards a second by each of 14 hosts, at 2,000 claims/s",
        ),
    ),
)

CONFIG = Bench(
    "config",
    ("bench.config_state", "--hosts", "50"),
    (
        Reading(
            "config_fold_us",
            r"^ +1500 +([\d.]+)",
            "processor time of folding one change, 1,500 routes",
        ),
        Reading(
            "config_delta_us",
            r"^ +1500 +[\d.]+ +([\d.]+)",
            "processor time of putting one route into the table of 1,500",
        ),
        Reading(
            "snapshot_bytes",
            r"^ +1500 +[\d.]+ +[\d.]+ +[\d.]+ +[\d.]+ +(\d+)",
            "a snapshot of 1,500 routes",
        ),
        Reading(
            "snapshot_decode_ms",
            r"^ +1500(?: +[\d.]+){7} +([\d.]+)",
            "processor time of decoding it",
        ),
        Reading(
            "route_memory_bytes",
            r"^ +1500 .* (\d+)$",
            "memory of one route, in the fold and the table",
        ),
        Reading(
            "remembered_memory_bytes",
            r"memory of 4096 remembered changes: (\d+) B",
            "memory of the 4,096 changes that are remembered",
        ),
        Reading("config_record_bytes", r"one record: (\d+) B", "one change"),
        Reading(
            "config_idle_bytes_per_second",
            r"^ +50  log up  +(?:[\d.]+ +){4}(\d+)",
            "bytes a second to peers without changes, each of 50 hosts",
        ),
        Reading(
            "config_change_bytes",
            r"^ +50  log up  +(?:[\d.]+ +){5}(\d+)",
            "bytes to peers for one change, each of 50 hosts",
        ),
        Reading(
            "config_in_force_seconds",
            r"^ +50  log up, read in turns +[\d.]+ +([\d.]+)",
            "longest time until in force on 50 hosts that read in turns",
        ),
    ),
)

DEFERRED = Bench(
    "deferred",
    ("bench.deferred_slopes", "--counts", "8000"),
    (
        Reading(
            "ticket_memory_bytes",
            r"(\d+) bytes an ended ticket",
            "memory of a ticket that has ended and is kept",
        ),
        Reading(
            "ticket_open_memory_bytes",
            r"(\d+) bytes a held ticket",
            "memory of a ticket that is open and runs",
        ),
        Reading(
            "ticket_submission_bytes",
            r"(\d+) bytes a submission",
            "bytes of the log for a request of 300 bytes",
        ),
        Reading(
            "ticket_start_bytes",
            r"(\d+) bytes a start",
            "bytes of the log for its start",
        ),
        Reading(
            "ticket_end_bytes",
            r"(\d+) bytes a end",
            "bytes of the log for its result of 1,000 bytes",
        ),
        Reading(
            "ticket_read_us",
            r"; ([\d.]+) us a ticket here",
            "processor time of reading all records of a ticket",
        ),
    ),
)

PEERS = Bench(
    "peers",
    ("bench.peers", "--hosts", "14", "50", "--seconds", "5"),
    (
        Reading(
            "peer_links",
            r"50 hosts, .* links ([\d.]+)",
            "links of a host in a fleet of 50",
        ),
        Reading(
            "peer_idle_core",
            r"idle: .*, ([\d.]+) % of a core",
            "share of a core for those links, heartbeats only",
            0.01,
        ),
        Reading(
            "peer_load_core",
            r"load: .*, ([\d.]+) % of a core",
            "the same with samples, signs and records",
            0.01,
        ),
        Reading(
            "peer_idle_bytes_per_second",
            r"idle: sent +(\d+) B/s",
            "bytes a second sent on those links, heartbeats only",
        ),
        Reading(
            "peer_load_bytes_per_second",
            r"load: sent +(\d+) B/s",
            "the same with samples, signs and records",
        ),
    ),
)

PLATFORM = Bench(
    "platform",
    ("bench.platform_calls",),
    (
        Reading(
            "log_append_us",
            r"^append: ([\d.]+) ms",
            "processor time of one append over HTTP",
            1000,
        ),
        Reading(
            "log_read_us",
            r"^empty read: ([\d.]+) ms",
            "processor time of one read that brings nothing",
            1000,
        ),
        Reading(
            "list_same_us",
            r"^unchanged list: ([\d.]+) ms",
            "processor time of reading an unchanged list of hosts",
            1000,
        ),
        Reading(
            "list_bytes",
            r"^a list of 9800: \d+ bytes, (\d+) as gzip",
            "a list of 9,800 hosts, as gzip",
        ),
        Reading(
            "list_decode_us",
            r"^changed: ([\d.]+) ms to decode",
            "processor time of decoding such a list when it has changed",
            1000,
        ),
        Reading(
            "list_compare_us",
            r"to decode, ([\d.]+) ms to compare",
            "processor time of finding what has changed in it",
            1000,
        ),
        Reading(
            "list_entry_memory_bytes",
            r"(\d+) bytes held for each entry",
            "memory of one entry of the list",
        ),
    ),
)

IMPORTS = Bench(
    "imports",
    ("bench.import_memory", "agatetack.daemon"),
    (
        Reading(
            "import_all_kb",
            r"^whole process +(\d+)",
            "resident memory of Python with all modules of the daemon",
        ),
    ),
)

BENCHES = (DATAPATH, CLAIMS, CONFIG, DEFERRED, PEERS, PLATFORM, IMPORTS)
