"""Test the limiter's tasks and messages between hosts."""

import random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from agatetack.generated.quotas.ttypes import (
    AccountShare,
    AccountUse,
    QuotaShares,
    QuotaUse,
)
from agatetack.identity.accounts import AccountSource, AccountTable
from agatetack.ids import HostId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.quotas.node import QuotaNode
from agatetack.quotas.shared import SharedQuotas
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.quota_fleet import QUOTAS, make_account
from agatetack.testing.virtual_clock import VirtualClock
from agatetack.thrift_codec import encode

ACME = make_account("acme", 20.0, 10.0)


class Host:
    """One host of a fleet in memory."""

    def __init__(self, mesh, name, table):
        settings = default_settings(
            host={"id": name},
            quotas={"overshoot_ratio": 0.1, "overshoot_slack": 20},
        )
        self.metrics = Metrics()
        self.source = AccountSource(table)
        self.limiter = SharedQuotas(
            settings,
            self.source,
            mesh.join(HostId(name)),
            self.metrics,
            VirtualClock(),
        )
        self.limiter.apply()


class CountingExchange(NoExchange):
    """Counts what is sent."""

    def __init__(self):
        super().__init__()
        self.sent = 0

    def publish(self, *args):
        self.sent += 1

    def send(self, *args):
        self.sent += 1


# Guards against cost in deployments without client accounts.
async def test_without_accounts_nothing_is_sent_and_no_task_wakes(
    autojump_clock, nursery
):
    exchange = CountingExchange()
    limiter = SharedQuotas(
        default_settings(),
        AccountSource(),
        exchange,
        Metrics(),
        VirtualClock(),
    )
    limiter.apply()
    nursery.start_soon(limiter.run)
    # The clock jumps to the next deadline of any task.
    await trio.testing.wait_all_tasks_blocked()
    woken = limiter.woken
    await trio.sleep(3600.0)
    assert limiter.woken is woken
    assert limiter.node is None
    assert exchange.sent == 0
    assert limiter.admit(ACME) is None
    limiter.refund(ACME)
    limiter._on_use(HostId("other"), b"\xff")
    assert limiter.node is None


async def test_hosts_keep_a_quota_together(autojump_clock, nursery):
    mesh = MemoryMesh(nursery)
    mesh.delay_seconds = 0.0015
    table = AccountTable([ACME])
    hosts = [Host(mesh, f"h{n}", table) for n in range(5)]
    for host in hosts:
        nursery.start_soon(host.limiter.run)
    await trio.sleep(5.0)
    admitted = 0
    for number in range(1000):
        limiter = hosts[number % 5].limiter
        retry_at = limiter.admit(ACME)
        admitted += retry_at is None
        assert retry_at is None or retry_at > trio.current_time()
        await trio.sleep(0.01)
    assert 0.9 * 200 <= admitted <= 10 * 20 + 10 + 30
    text = hosts[0].metrics.render()[0].decode()
    assert 'agatetack_quota_checks_total{result="refused"}' in text
    assert 'agatetack_quota_messages_total{kind="quota-' in text


# Guards against a task that keeps waking after the accounts were removed.
async def test_accounts_come_and_go(autojump_clock, nursery):
    mesh = MemoryMesh(nursery)
    hosts = [Host(mesh, f"h{n}", None) for n in range(3)]
    for host in hosts:
        nursery.start_soon(host.limiter.run)
    await trio.sleep(10.0)
    assert not any(mesh.hosts[host].sent_bytes for host in mesh.hosts)
    for host in hosts:
        host.source.table = AccountTable([ACME])
        host.limiter.apply()
    await trio.sleep(10.0)
    for _ in range(5):
        for host in hosts:
            assert host.limiter.admit(ACME) is None
        await trio.sleep(1.0)
    for host in hosts:
        host.source.table = None
        host.limiter.apply()
        assert host.limiter.node is None
    await trio.sleep(1.0)
    before = [mesh.hosts[host].sent_bytes for host in mesh.hosts]
    assert all(host.limiter.admit(ACME) is None for host in hosts)
    await trio.sleep(100.0)
    assert [mesh.hosts[host].sent_bytes for host in mesh.hosts] == before


async def test_one_line_says_that_an_account_exceeds_its_quota(
    autojump_clock, nursery, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        "agatetack.quotas.node.log.info",
        lambda text, *args: lines.append(text % args),
    )
    mesh = MemoryMesh(nursery)
    hosts = [Host(mesh, f"h{n}", AccountTable([ACME])) for n in range(3)]
    for host in hosts:
        nursery.start_soon(host.limiter.run)
    await trio.sleep(10.0)
    for number in range(600):
        hosts[number % 3].limiter.admit(ACME)
        await trio.sleep(0.01)
    await trio.sleep(10.0)
    assert len(lines) == 2
    assert lines[0].startswith("The account acme exceeds its quota of 20 a ")
    assert lines[1] == "The account acme is within its quota."


I32 = st.integers(-(2**31), 2**31 - 1)
I64 = st.integers(-(2**63), 2**63 - 1)
USES = st.builds(
    QuotaUse,
    I64,
    I64,
    st.lists(st.builds(AccountUse, I32, I64, I32, I32), max_size=5),
    st.none() | I32,
)
SHARES = st.builds(
    QuotaShares,
    I64,
    I64,
    st.lists(st.builds(AccountShare, I32, I32, I32), max_size=5),
)
PAYLOADS = (
    st.binary(max_size=80)
    | USES.map(encode)
    | SHARES.map(encode)
    | st.tuples(USES.map(encode), st.integers(0, 60)).map(
        lambda pair: pair[0][: pair[1]]
    )
)


# Guards against a host that fails, or stops to admit anything, by a message
# of another version or of a faulty sender.
@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["use", "sums", "shares"]), PAYLOADS),
        max_size=8,
    )
)
def test_any_message_is_survived(messages):
    async def play():
        async with trio.open_nursery() as nursery:
            host = Host(MemoryMesh(nursery), "h0", AccountTable([ACME]))
            nursery.start_soon(host.limiter.run)
            await trio.sleep(10.0)
            readers = {
                "use": host.limiter._on_use,
                "sums": host.limiter._on_sums,
                "shares": host.limiter._on_shares,
            }
            for kind, payload in messages:
                readers[kind](HostId("other"), payload)
                host.limiter.admit(ACME)
                await trio.sleep(0.5)
            await trio.sleep(10.0)
            retry_at = host.limiter.admit(ACME)
            assert retry_at is None or retry_at < trio.current_time() + 60
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against an earlier run of a host whose report arrives late.
def test_reports_of_an_earlier_run_are_ignored():

    node = QuotaNode(HostId("h0"), 1, QUOTAS, random.Random(1))
    node.set_accounts(AccountTable([ACME]), 0.0)
    key = next(iter(node.limits))
    sender = HostId("h1")

    def report(incarnation, sequence, used, since):
        uses = [AccountUse(key, used, since, since)]
        node.read_use(sender, QuotaUse(incarnation, sequence, uses), 0.0)
        return node.collector.group[key].used

    assert report(5, 1, 10, 10) == 10
    assert report(5, 3, 18, 2) == 18  # The second report was lost.
    assert report(5, 2, 16, 6) == 18  # It arrives late.
    assert report(5, 3, 18, 2) == 18  # The third arrives again.
    assert report(4, 9, 50, 50) == 18  # An earlier run.
    assert report(6, 1, 3, 3) == 21  # The host was restarted.
