"""Control the process itself: signals, its age, and the garbage collector.

To be loaded quickly, this module may import nothing but `gc`, `os`,
`signal`, `sys` and `time`.
"""

import gc
import os
import signal
import sys
import time

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""The first signal received starts the drain; see `Lifecycle.drain_on`."""

HELD_SIGNALS = frozenset({*STOP_SIGNALS, signal.SIGHUP})
"""Signals that wait while no part of the daemon handles them."""

STANDARD_ERROR = 2
"""Its file descriptor."""

started_at = time.monotonic()
"""When this module was loaded, on the steady clock."""

YOUNG_THRESHOLD = 2_000
"""Net allocations that start a collection of the youngest generation, which
takes about 0.8 ms.

Reference counting frees the objects of a finished request, so collections
only run while the bounded histories of the host fill up.
"""

MIDDLE_THRESHOLD = 50
"""Collections of the youngest generation before one of the middle one."""

OLD_THRESHOLD = 100
"""Collections of the middle generation before a full one."""


def hold_signals() -> None:
    """Let signals wait that would end the process, as nothing handles them.

    Threads that are started later hold them, too, so that they are delivered to
    the main thread.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


def release_signals() -> None:
    """Deliver signals that waited, and all later ones, to their handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)


def is_stop_pending() -> bool:
    """Return whether a held signal asks the process to stop."""
    return not signal.sigpending().isdisjoint(STOP_SIGNALS)


class HeldStop:
    """When a stop that waits until it is handled may have been sent.

    Attributes:
        earliest: The last time at which none waited, on the steady clock.
    """

    def __init__(self) -> None:
        """Count from the start of the process."""
        self.earliest = started_at

    def look(self) -> None:
        """Move `earliest` to now unless a stop waits."""
        if not is_stop_pending():
            self.earliest = time.monotonic()

    def age_seconds(self) -> float:
        """Return the time since `earliest`, in seconds."""
        return time.monotonic() - self.earliest


held_stop = HeldStop()
"""Looked at between the steps of a start."""


class KillTime:
    """When whoever asked the process to stop may kill it.

    Attributes:
        at: The time on the steady clock; infinite if none is known.
    """

    def __init__(self) -> None:
        """Know of none."""
        self.at = float("inf")


kill_time = KillTime()
"""Set once the drain has ended."""


def open_standard_files() -> None:
    """Open those of the standard files that are closed.

    A socket would get their numbers otherwise, and log lines would go there.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= STANDARD_ERROR:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)


def report_early(text: str) -> None:
    """Write a line to standard error, where no log is set up yet.

    A daemon starts also if nobody takes the line.
    """
    try:
        os.write(STANDARD_ERROR, f"agatetack: {text}\n".encode())
    except OSError:
        # There is no other place to report to.
        return


def disable_collector() -> None:
    """Turn the collector off while the program loads.

    Loaded modules stay in memory, so a collection would free almost nothing.
    Without collections, loading takes 3 % fewer instructions (callgrind).
    """
    gc.disable()


def tune_collector() -> None:
    """Configure the collector for a daemon that has started.

    All objects loaded so far live as long as the process, so they are
    excluded from later collections. A full collection that included them
    would delay requests by about 25 ms. None runs here first: it would free
    only 1.3 MB, and callers are waiting for the start.
    """
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
    gc.enable()


def end_process(status: int) -> None:
    """End the process at once; log lines must have been written.

    The interpreter's teardown frees each object, which takes 20 ms of processor
    time. On a host that gets a small share of a core, that would last beyond
    the time at which the platform kills the process. The kernel frees all
    memory and closes all files at once.

    Args:
        status: The exit status.
    """
    for file in (sys.stdout, sys.stderr):
        try:
            file.flush()
        except (OSError, ValueError, AttributeError):
            # The reader is gone, or the file is closed.
            continue
    os._exit(status)


def seconds_since_start() -> float:
    """Return how long the process has run, in seconds."""
    return time.monotonic() - started_at
