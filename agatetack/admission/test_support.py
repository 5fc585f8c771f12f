"""Provide a harness for admission tests that records the result of requests."""

import dataclasses

import trio
import trio.testing
from returns.result import Success

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.policies import make_policy
from agatetack.identity.accounts import ClientAccount
from agatetack.ids import ClientAccountId
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

ANSWERED = AttemptResult.ANSWERED


@dataclasses.dataclass
class Harness:
    """An admission controller with its registry and the results of requests."""

    registry: TargetRegistry
    admission: ServiceAdmission
    served: list[str] = dataclasses.field(default_factory=list)
    refused: dict[str, object] = dataclasses.field(default_factory=dict)
    permits: list = dataclasses.field(default_factory=list)

    @property
    def targets(self):
        """Return the usable targets."""
        return self.registry.targets(SERVICE)

    def in_flight(self):
        """Return the number of requests in flight at all targets."""
        return sum(t.in_flight for t in self.registry.by_id.values())

    async def ask(self, name, caller="caller", seconds=10.0, **fields):
        """Ask for a permit and record the result."""
        request = make_request(caller, seconds, name)
        request.account = fields.pop("account", None)
        wanted = PermitRequest(
            fields.pop("route", make_route()),
            request,
            request.deadline,
            **fields,
        )
        result = await self.admission.acquire(wanted)
        if isinstance(result, Success):
            self.served.append(name)
            self.permits.append(result.unwrap())
        else:
            self.refused[name] = result.failure()

    def answer(self, latency=0.01):
        """Answer the oldest request in flight."""
        permit = self.permits.pop(0)
        permit.answered_headers(latency)
        permit.release(ANSWERED)


def make_account(name, priority=None):
    """Return an account without keys and quota."""
    return ClientAccount(ClientAccountId(name), priority=priority)


def make_harness(targets=1, limit=1, fleet=1, **admission):
    settings = default_settings(
        admission={"max_target_limit": limit, **admission}
    )
    registry = TargetRegistry(settings, Metrics())
    registry.update([listed_target(n + 1) for n in range(targets)])
    admission_controller = ServiceAdmission(
        settings, registry, make_policy(settings, 1), Metrics(), lambda: fleet
    )
    return Harness(registry, admission_controller)


async def fill(harness, nursery, names, **fields):
    """Start requests one after the other."""
    for name in names:
        nursery.start_soon(lambda name=name: harness.ask(name, **fields))
        await trio.testing.wait_all_tasks_blocked()
