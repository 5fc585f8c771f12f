"""Test the command line: what it prints and how it exits."""

import dataclasses

import orjson
import pytest
import trio

from agatetack import commands
from agatetack.ids import FailureDomain, HostId, RequestId
from agatetack.lifecycle.phase import Phase
from agatetack.operators import terminal
from agatetack.operators.conftest import served  # noqa: F401
from agatetack.operators.refusals import ChangeRejected
from agatetack.operators.request_views import ExplainedRequest, Explanation
from agatetack.operators.views import ChangeRejection, HostView
from agatetack.outcomes import Outcome, RefusalReason

ROUTE = """
- id: r2
  team: panel
  service: payouts
  request_class: once
  path_prefix: /payouts
"""


@pytest.fixture
def run(served, monkeypatch, capsys):  # noqa: F811
    """Run one command against the served host; return code, out and err."""
    monkeypatch.setenv(terminal.ADDRESS_VARIABLE, served.url)
    monkeypatch.setenv(terminal.TOKEN_VARIABLE, "ann-token")

    async def run_command(*arguments):
        code = await trio.to_thread.run_sync(commands.run, arguments)
        return (code, *capsys.readouterr())

    return run_command


@pytest.fixture
def write(tmp_path):
    def write_file(text, name="routes.yaml"):
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    return write_file


async def test_apply_shows_the_diff_and_waits(run, write, served):  # noqa: F811
    served.backend.peers = [
        HostView(HostId("b"), FailureDomain("d"), Phase.READY, True, 9)
    ]
    code, out, _ = await run("apply", write(ROUTE))
    assert code == 0
    assert "create route r2\n  + team: panel" in out
    assert "route r2: accepted as version 2, change " in out
    assert out.endswith("in force on 2 of 2 live hosts\n")
    assert (await run("apply", write(ROUTE)))[1] == "nothing to change\n"


async def test_apply_says_who_is_late(run, write, served):  # noqa: F811
    served.backend.peers = [
        HostView(HostId("b"), FailureDomain("d"), Phase.READY, True, 1)
    ]
    arguments = ("apply", write(ROUTE), "--wait-seconds", "0.01")
    code, out, _ = await run(*arguments)
    assert (code, out.splitlines()[-1]) == (
        1,
        "in force on 1 of 2 live hosts; waiting for b",
    )


async def test_findings_keep_everything_from_the_log(
    run,
    write,
    served,  # noqa: F811
):
    clash = ROUTE.replace("/payouts", "/r1")
    code, out, _ = await run("apply", write(ROUTE.replace("r2", "r3") + clash))
    assert code == 1
    assert "r2: route.path_prefix: route r1 takes the same" in out
    assert not served.backend.applied


@pytest.mark.parametrize(
    ("arguments", "token", "code", "told"),
    [
        (("get", "none"), "ann-token", 1, "there is no route none"),
        (("get",), "guess", 1, "the token is not known here"),
        (("get",), "", 1, "Authorization: Bearer TOKEN"),
        (("drain",), "ann-token", 1, "has no access to all services"),
        (("drain", "--undo"), "ann-token", 2, "--undo needs a target"),
        (("release", "f2"), "ann-token", 1, "no such request"),
        (("explain", "q"), "ann-token", 1, "no host remembers"),
        (("apply", "/none.yaml"), "ann-token", 1, "cannot be read"),
        (("gateway", "-c", "/none.yaml"), "ann-token", 1, "cannot be read"),
        (("get", "--address", "127.0.0.1:1"), "", 1, "cannot be reached"),
    ],
)
async def test_errors_are_one_line(
    run, monkeypatch, arguments, token, code, told
):
    monkeypatch.setenv(terminal.TOKEN_VARIABLE, token)
    exit_code, out, err = await run(*arguments)
    assert (exit_code, out) == (code, "")
    assert err.startswith("agatetack: ") and told in err
    assert err.count("\n") == 1


@pytest.mark.parametrize("arguments", [("bogus",), ("apply",), ("get", "--x")])
def test_wrong_usage_exits_with_2(arguments, capsys):
    with pytest.raises(SystemExit) as caught:
        commands.run(arguments)
    assert caught.value.code == 2


@pytest.mark.parametrize("command", commands.COMMANDS)
def test_every_command_has_help_with_an_example(command, capsys):
    with pytest.raises(SystemExit) as caught:
        commands.run([commands.command_name(command), "--help"])
    assert caught.value.code == 0
    assert (
        f"agatetack {commands.command_name(command)}" in capsys.readouterr().out
    )


@pytest.mark.parametrize(
    ("text", "code", "told"),
    [
        (ROUTE, 0, "no findings"),
        (ROUTE.replace("team", "taem"), 1, ":3:"),
        ("callers: {listen: {port: 1}}\n", 0, "no findings"),
        ("callers:\n  lisen: 1\n", 1, ":2:3: callers.lisen"),
        ("a: [", 1, "YAML"),
    ],
)
async def test_check_tells_the_place(run, write, text, code, told):
    exit_code, out, _ = await run("check", write(text))
    assert exit_code == code
    assert told in out


async def test_get_and_status_print_tables_or_json(run, served):  # noqa: F811
    _, out, _ = await run("get")
    assert out.splitlines()[1].split()[:3] == ["r1", "fast", "profiles"]
    _, out, _ = await run("get", "r1", "--json")
    assert orjson.loads(out)["route"]["request_class"] == "fast"
    _, out, _ = await run("status")
    assert "127.0.0.1:9001" in out and "127.0.0.1:9002" not in out
    _, out, _ = await run("status", "--json")
    overview = orjson.loads(out)
    assert overview["targets"]["targets"][0]["status"] == "ready"
    assert overview["measure"]["spent_probes"] == 120


async def test_drain_release_and_explain(run, served):  # noqa: F811
    assert (await run("drain", "127.0.0.1:9001"))[0] == 0
    assert served.backend.listed_targets["127.0.0.1:9001"].drained
    assert (await run("drain", "127.0.0.1:9001", "--undo"))[0] == 0
    assert (await run("release", "f1"))[0] == 0
    request = RequestId("q")
    refused = ExplainedRequest(
        request,
        HostId("a"),
        0,
        (),
        "r1",
        "profiles",
        Outcome.NOT_RUN,
        RefusalReason.QUEUE_FULL,
        "200 requests wait",
        503,
        4,
    )
    served.backend.explained[request] = Explanation((refused,), ())
    assert (await run("explain", "q"))[1] == (
        "host a, route r1: not-run after 4 ms with status 503, reason"
        " queue-full: 200 requests wait\n"
    )


async def test_a_race_tells_the_winner(run, write, served):  # noqa: F811
    current = dataclasses.replace(
        served.backend.records["r1"], author="bob", version=7
    )
    served.backend.failures = [
        ChangeRejected(
            ChangeRejection.VERSION_CONFLICT, "lost", "c", (), current
        )
    ]
    code, _, err = await run("apply", write(ROUTE))
    assert code == 1
    assert "bob was first: version 7" in err and "apply it again" in err
