"""Print policies' tail latency as ratios to power of two on stale reports."""

import dataclasses
from collections.abc import Sequence

import defopt

from agatetack.settings.model import PolicyName
from bench.policy.attempts import Attempts, PlainAttempts, ProductAttempts
from bench.policy.run import Outcomes, run_scenario
from bench.policy.scenario import Faults, Scenario, SelfCount

LOADS = (0.5, 0.7, 0.85, 0.95)


@dataclasses.dataclass(frozen=True)
class Variant:
    """One line of the table.

    Attributes:
        name: What the line shows.
        scenario: The run.
        attempts: How requests are brought to targets.
    """

    name: str
    scenario: Scenario
    attempts: Attempts = dataclasses.field(default_factory=PlainAttempts)


def variants(base: Scenario, policies: Sequence[PolicyName], load: float):
    """Return the lines for one load; the baseline comes first."""
    power = dataclasses.replace(
        base,
        policy=PolicyName.POWER_OF_TWO,
        load=load,
        sharing=False,
        probes_per_second=0.0,
    )
    yield Variant("power-of-two", power)
    for policy in policies:
        if policy is PolicyName.EXPECTED_WAIT:
            own = dataclasses.replace(power, policy=policy)
            yield Variant("expected-wait, no sharing", own)
            shared = dataclasses.replace(own, sharing=True)
            yield Variant("expected-wait, no probes", shared)
            probed = dataclasses.replace(
                shared, probes_per_second=base.probes_per_second
            )
            yield Variant("expected-wait", probed)
            retried = ProductAttempts(hedged=False)
            yield Variant("expected-wait, stalls", probed, retried)
            hedged = ProductAttempts(hedged=True)
            yield Variant("expected-wait, hedges", probed, hedged)
        elif policy is not PolicyName.POWER_OF_TWO:
            yield Variant(
                policy.value, dataclasses.replace(power, policy=policy)
            )


def line(name: str, found: Outcomes, base: Outcomes) -> str:
    """Return one line: milliseconds, and ratios to the baseline."""
    cells = []
    for share in (0.5, 0.99, 0.999):
        value = found.quantile(share)
        ratio = value / base.quantile(share)
        cells.append(f"{value * 1000:8.1f} {ratio:5.2f}")
    total = len(found.latencies) + sum(found.refusals.values())
    refused = sum(found.refusals.values()) / total
    cells.append(f"{refused:8.4f} {found.attempts:8.3f} {found.probes:7.3f}")
    cells.append(f"{found.herding:6.2f} {found.faulty_share:6.4f}")
    cells.append(f"{found.peer_bytes / 1000:6.1f} {found.cpu * 1e6:6.0f}")
    return f"{name:26s}" + " ".join(cells)


HEADER = (
    f"{'':26s}{'p50 ms':>8s} ratio {'p99 ms':>8s} ratio {'p99.9':>8s} ratio"
    f" {'refused':>8s} {'attempts':>8s} {'probes':>7s}"
    f" {'herd':>6s} {'slow':>6s} {'kB/s':>6s} {'us':>6s}"
)


def main(
    *,
    requests: int = 20_000,
    seed: int = 1,
    gateways: int = 13,
    targets: int = 12,
    probes: float = 50.0,
    loads: Sequence[float] = LOADS,
    policies: Sequence[PolicyName] = tuple(PolicyName),
    faults: Faults = Faults.ALL,
    self_count: SelfCount = SelfCount.INCLUDED,
) -> None:
    """Run every policy at every load and print one table for each load.

    Args:
        requests: Requests in each run.
        seed: Of arrivals, service times and faults.
        gateways: Number of gateways.
        targets: Number of targets.
        probes: Budget of probes per second of the fleet.
        loads: Shares of the healthy targets' capacity.
        policies: Policies to run besides the baseline.
        faults: Noise only, or all faults.
        self_count: Whether answers' reports count the answered request.
    """
    base = Scenario(
        policy=PolicyName.POWER_OF_TWO,
        load=0.5,
        seed=seed,
        requests=requests,
        gateways=gateways,
        targets=targets,
        probes_per_second=probes,
        faults=faults,
        self_count=self_count,
    )
    for load in loads:
        print(f"load {load:.0%}, seed {seed}, faults {faults.value}")
        print(HEADER)
        baseline = None
        for variant in variants(base, policies, load):
            found = run_scenario(variant.scenario, variant.attempts)
            baseline = baseline or found
            print(line(variant.name, found, baseline), flush=True)


if __name__ == "__main__":
    defopt.run(main)
