"""Test what the process knows of signals that wait."""

import os
import signal
import time

from agatetack.process import HeldStop, hold_signals, release_signals


# Guards against a drain that counts from the start of the process although the
# stop came at the end of a slow start.
def test_a_stop_that_waits_is_not_older_than_the_last_look():
    before = signal.signal(signal.SIGTERM, lambda *_: None)
    hold_signals()
    try:
        held = HeldStop()
        held.look()
        looked_at = held.earliest
        assert looked_at <= time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        held.look()
        assert held.earliest == looked_at
    finally:
        release_signals()
        signal.signal(signal.SIGTERM, before)
