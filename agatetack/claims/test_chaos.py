"""Test a fleet under random faults: no second run, no false "not run"."""

import dataclasses
import random

import pytest
import trio
from returns.result import Success

from agatetack.claims.conftest import ClaimFleet
from agatetack.ids import HostId
from agatetack.outcomes import Outcome
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_log import AppendFault

SECONDS = 25.0
KEYS = 150
APPEND_FAULTS = [
    fault for fault in AppendFault if fault is not AppendFault.NONE
]


@dataclasses.dataclass(slots=True)
class KeyHistory:
    """The runs and refusals of one key.

    Attributes:
        runs: Arrival times of the requests that ran.
        not_run: Times at which callers were answered "not run".
    """

    runs: list[float] = dataclasses.field(default_factory=list)
    not_run: list[float] = dataclasses.field(default_factory=list)


class LossyMesh(MemoryMesh):
    """A mesh that counts dead hosts for a while but does not link them."""

    def __init__(self, nursery):
        super().__init__(nursery)
        self.dead = set()

    def linked(self, sender, receiver):
        alive = not self.dead & {sender, receiver}
        return alive and super().linked(sender, receiver)


class Chaos:
    """Callers that resend keys to one fleet, and random faults in it."""

    def __init__(self, nursery, seed):
        self.fleet = ClaimFleet(nursery, key_window_seconds=60)
        self.nursery = nursery
        self.random = random.Random(seed)
        self.stores = []
        self.request_scopes = []
        self.mesh = self.fleet.mesh = LossyMesh(nursery)
        self.histories = {f"k{n}": KeyHistory() for n in range(KEYS)}

    async def start(self):
        for _ in range(4):
            self.stores.append(await self.fleet.add())
            self.request_scopes.append(set())

    async def send(self, key, body):
        """Send one request to a host, which may be killed meanwhile."""
        number = self.random.randrange(len(self.stores))
        with trio.CancelScope() as scope:
            self.request_scopes[number].add(scope)
            await self.serve(self.stores[number], key, body)
        self.request_scopes[number].discard(scope)

    async def serve(self, store, key, body):
        """Handle a request as a host does."""
        history = self.histories[key]
        arrived = trio.current_time()
        result = await self.fleet.claim(store, key, body=body, seconds=2.0)
        if not isinstance(result, Success):
            if result.failure().outcome is Outcome.NOT_RUN:
                history.not_run.append(trio.current_time())
            return
        await trio.sleep(self.random.choice([0, 0, 0.01, 1.5]))
        claim = result.unwrap()
        if self.random.random() < 0.3:
            if await store.release(claim):
                history.not_run.append(trio.current_time())
            return
        history.runs.append(arrived)
        await trio.sleep(self.random.expovariate(20))
        if self.random.random() < 0.8:
            await store.finish(claim, 201)

    async def call(self, key):
        """Send a key several times, sometimes before it was answered."""
        await trio.sleep(self.random.uniform(0, SECONDS))
        for _ in range(self.random.randint(1, 5)):
            self.nursery.start_soon(self.send, key, b"1")
            await trio.sleep(self.random.choice([0, 0.001, 0.1, 0.5, 3]))

    async def inject_faults(self):
        """Inject one fault after the other, and sometimes two at once."""
        while True:
            await trio.sleep(self.random.uniform(0, 0.4))
            fault = self.random.choice(
                [
                    self.fault_appends,
                    self.cut_log,
                    self.freeze,
                    self.isolate,
                    self.kill,
                ]
            )
            self.nursery.start_soon(fault)

    async def fault_appends(self):
        client = self.random.choice(self.fleet.clients)
        client.faults.late_seconds = self.random.uniform(0, 3)
        client.faults.next_appends += self.random.choices(APPEND_FAULTS, k=3)

    async def cut_log(self):
        """Cut the log off from one host, or from all."""
        faults = self.random.choice([self.fleet.log, *self.fleet.clients])
        faults.faults.outage = True
        await trio.sleep(self.random.uniform(0, 1))
        faults.faults.outage = False

    async def freeze(self):
        client = self.random.choice(self.fleet.clients)
        client.faults.frozen = True
        await trio.sleep(self.random.uniform(0, 1))
        client.faults.frozen = False

    async def isolate(self):
        host = HostId(f"h{self.random.randrange(len(self.fleet.clients))}")
        self.mesh.isolate(host)
        await trio.sleep(self.random.uniform(0, 1))
        self.mesh.cut.clear()

    async def kill(self):
        """Replace a host, which is still counted for a second."""
        number = self.random.randrange(len(self.stores))
        name = HostId(self.stores[number].settings.host.id)
        if name in self.mesh.dead:
            return
        self.mesh.dead.add(name)
        scopes = [
            *self.request_scopes[number],
            self.fleet.scopes[int(name[1:])],
        ]
        for scope in scopes:
            scope.cancel()
        self.request_scopes[number] = set()
        self.stores[number] = await self.fleet.add()
        await trio.sleep(1)
        del self.mesh.hosts[name]

    async def run(self):
        await self.start()
        for key in self.histories:
            self.nursery.start_soon(self.call, key)
        with trio.move_on_after(SECONDS):
            await self.inject_faults()
        await trio.sleep(20)


@pytest.mark.parametrize("seed", range(6))
async def test_no_key_runs_twice_and_no_answer_is_false(
    autojump_clock, nursery, seed
):
    chaos = Chaos(nursery, seed)
    await chaos.run()
    histories = chaos.histories.values()
    assert max(len(history.runs) for history in histories) == 1
    for key, history in chaos.histories.items():
        for answered_at in history.not_run:
            assert not [at for at in history.runs if at <= answered_at], key
    # Enough requests must have run and been refused despite the faults.
    assert sum(len(history.runs) for history in histories) > KEYS / 4
    assert sum(len(history.not_run) for history in histories) > KEYS / 30
