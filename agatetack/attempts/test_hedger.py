"""Test the timers of requests whose answers are late."""

import trio

from agatetack.attempts.hedger import Hedger
from agatetack.ids import Deadline


# Guards against the timer of one request that ends the timers of all.
async def test_an_action_that_fails_ends_no_other(autojump_clock):
    hedger = Hedger()
    done = trio.Event()

    async def fail():
        raise RuntimeError("a fault in the code")

    async def succeed():
        done.set()

    now = trio.current_time()
    hedger.after(Deadline(now + 1), fail)
    hedger.after(Deadline(now + 2), succeed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(hedger.run)
        with trio.fail_after(5):
            await done.wait()
        nursery.cancel_scope.cancel()
