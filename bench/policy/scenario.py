"""Describe what one run of the policy bench puts the gateways through."""

import dataclasses
import enum

from agatetack.settings.model import PolicyName


class Faults(enum.Enum):
    """Which faults strike the targets."""

    NOISE = "noise"
    ALL = "all"


class SelfCount(enum.Enum):
    """Whether a report in an answer counts the answered request."""

    INCLUDED = "included"
    EXCLUDED = "excluded"


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run.

    Attributes:
        policy: The policy under test.
        load: Requests as a share of what the healthy targets can run.
        seed: Of all random draws but the policies' own.
        requests: How many arrive; the first tenth is not measured.
        gateways: Number of hosts.
        targets: Number of targets, of two slots each.
        domains: Failure domains, over which both are spread.
        service_seconds: Mean service time without noise.
        probes_per_second: The fleet's budget of probes.
        sharing: Whether gateways share samples.
        faults: What strikes the targets.
        self_count: What answers' reports count.
        report_lag_seconds: How old the load endpoint's figure may be.
        deadline_seconds: Time given to each request.
        oracle: Whether targets are chosen with perfect knowledge instead.
    """

    policy: PolicyName
    load: float
    seed: int = 1
    requests: int = 20_000
    gateways: int = 13
    targets: int = 12
    domains: int = 3
    service_seconds: float = 0.010
    probes_per_second: float = 0.0
    sharing: bool = True
    faults: Faults = Faults.ALL
    self_count: SelfCount = SelfCount.INCLUDED
    report_lag_seconds: float = 0.010
    deadline_seconds: float = 1.0
    oracle: bool = False


SPREAD = 0.6
"""Standard deviation of the logarithm of service times."""

NOISE_FACTOR = 4.0
"""How much slower a target is while a noisy neighbour runs."""

NOISE_SHARE = 0.05
"""Share of time in which a target has a noisy neighbour."""

NOISE_SECONDS = 0.040
"""Mean time that a noisy neighbour runs."""

SLOW_FACTOR = 10.0
"""How much slower the slowed target is."""

BURST_FACTOR = 0.2
"""How far arrivals swing around their mean rate."""

BURST_SECONDS = 0.050
"""Time for which arrivals keep one rate."""

SHED_AT = 32
"""Requests at a target from which on it sheds."""

SAME_DOMAIN_SECONDS = 0.0002
"""One-way time within a failure domain."""

OTHER_DOMAIN_SECONDS = 0.0015
"""One-way time between failure domains."""


def capacity(scenario: Scenario) -> float:
    """Return requests per second that the healthy targets can run.

    With all faults, the slowed target counts a tenth and the dropped one
    nothing, all through the run, so that the load asked for is what the
    remaining targets see while the faults last.
    """
    targets = float(scenario.targets)
    if scenario.faults is Faults.ALL:
        targets -= 2 - 1 / SLOW_FACTOR
    noise = 1 - NOISE_SHARE + NOISE_SHARE / NOISE_FACTOR
    return targets * 2 / scenario.service_seconds * noise


def one_way(domain: str, other: str) -> float:
    """Return the one-way time between two failure domains."""
    return SAME_DOMAIN_SECONDS if domain == other else OTHER_DOMAIN_SECONDS
