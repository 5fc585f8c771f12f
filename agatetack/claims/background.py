"""Run tasks that outlive the request that started them."""

from collections.abc import Awaitable, Callable

import trio


class BackgroundTasks:
    """Tasks that run as long as the claim store does."""

    def __init__(self) -> None:
        """Accept no tasks before `run`."""
        self.nursery: trio.Nursery | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self.nursery = None

    def start(self, task: Callable[..., Awaitable], *args: object) -> bool:
        """Start a task; return False if the store is not running."""
        if self.nursery is None:
            return False
        self.nursery.start_soon(task, *args)
        return True
