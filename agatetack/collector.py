"""Keep Python's cyclic garbage collector from delaying requests."""

import gc

YOUNG_THRESHOLD = 20_000
"""Allocations between two passes over the youngest objects.

The default of 700 runs a pass every few requests; each is short, but full
passes follow from them.
"""


def tune_collector() -> None:
    """Set the collector up for a daemon that has started.

    What was loaded until now lives as long as the process, so it is taken out
    of every later pass: a full pass over it takes some 25 ms, which a request
    would wait for.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, 10, 10)
