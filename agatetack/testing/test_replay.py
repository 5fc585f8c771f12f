"""Replay every trace against the real code, and test the checks themselves."""

import pathlib

import pytest

from agatetack.testing.replay import Leaving, Replay, run_trace
from agatetack.testing.replay_checks import check_replay
from agatetack.testing.trace import TraceError, load_trace, parse_trace

TRACES = sorted((pathlib.Path(__file__).parents[2] / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_stated(path):
    findings = check_replay(run_trace(load_trace(path)), path.name)
    assert not findings, "\n".join(findings)


@pytest.mark.parametrize(
    ("name", "seed"),
    [
        ("crashing-request", 50),
        ("crashing-request", 100),
        ("crashing-request", 330),
    ],
)
def test_trace_ends_as_stated_by_other_choices(name, seed):
    trace = load_trace(next(path for path in TRACES if path.stem == name))
    trace.about.seed = seed
    findings = check_replay(run_trace(trace), name)
    assert not findings, "\n".join(findings)


FLEET = """
{"kind": "about", "text": "Two targets.", "seconds": 1, "gateways": 1}
{"kind": "targets", "names": ["p1", "p2"], "service": "p"}
{"kind": "route", "service": "p", "request_class": "fast", "path": "/p"}
{"kind": "arrivals", "at": 0, "name": "a", "count": 4, "path": "/p/x"}
"""

WRONG_LINES = (
    ('"expect", "arrivals": "a-*", "statuses": [404]', "a-1 got 200"),
    ('"expect", "arrivals": "b-*"', "no request is named b-*"),
    ('"expect", "arrivals": "a-*", "answered_at_most": 0.5', "1.000 of a-*"),
    ('"expect", "arrivals": "a-*", "within_ms": 0', "4 of 4 a-* took longer"),
    ('"expect", "arrivals": "a-*", "executions_at_most": 0.5', "a-* ran 4"),
    ('"expect", "arrivals": "x", "reasons": []', "x got 404 no-route"),
    (
        '"expect", "arrivals": "x", "outcomes": ["unknown"]',
        "x was told not-run",
    ),
    ('"expect", "arrivals": "x", "answered_at_least": 1', "0.000 of x"),
    ('"expect-targets", "names": ["p1"], "executed_at_least": 9', "p1 ran"),
    ('"expect-targets", "names": ["p1", "p2"], "executed_at_most": 0', "p1 p2"),
    ('"expect-changes", "names": ["c"], "accepted": 1', "0 were accepted"),
    (
        '"arrivals", "at": 0.1, "name": "k", "count": 2, "path": "/p/k",'
        ' "key": "same"',
        "key same ran 2 times",
    ),
)


@pytest.mark.parametrize(("line", "finding"), WRONG_LINES)
def test_checks_find_what_is_not_as_stated(line, finding):
    refused = '{"kind": "arrivals", "at": 0, "name": "x", "path": "/none/x"}\n'
    text = f'{FLEET}{refused}{{"kind": {line}}}'
    findings = "\n".join(check_replay(run_trace(parse_trace(text, "t")), "t"))
    assert finding in findings


def claim_not_run(replay: Replay) -> None:
    replay.replies[0].headers["x-outcome"] = "not-run"


def end_late(replay: Replay) -> None:
    replay.replies[0].ended += 1.2


def swap_bodies(replay: Replay) -> None:
    replay.replies[0].body = replay.replies[1].body


def lose_ticket(replay: Replay) -> None:
    replay.replies[0].ticket = True
    replay.replies[0].status = 0


def leave_early(replay: Replay) -> None:
    replay.leaving += [Leaving("p1", -9), Leaving("p2", -9)]


def probe_much(replay: Replay) -> None:
    replay.fleet.targets["p1"].probes += 10_000


TAMPERINGS = (
    (claim_not_run, "a-1 was refused as not run, and ran"),
    (end_late, "after its deadline"),
    (swap_bodies, "a-1 got a body that is not its own"),
    (lose_ticket, "a-1 was accepted and got 0"),
    (leave_early, "after it had left"),
    (probe_much, "probes were sent"),
)


@pytest.mark.parametrize(("tamper", "finding"), TAMPERINGS)
def test_checks_find_what_must_never_be(tamper, finding):
    replay = run_trace(parse_trace(FLEET, "t"))
    assert check_replay(replay, "t") == []
    tamper(replay)
    assert finding in "\n".join(check_replay(replay, "t"))


BAD_TRACES = (
    ("", "one line of kind about"),
    ('{"kind": "about", "text": "x", "seconds": -1}', "t:1: seconds"),
    ('\n{"kind": "wat"}\n{"kind": "kill", "at": 0}', "t:3: gateway"),
    ("{", "t:1"),
)


@pytest.mark.parametrize(("text", "finding"), BAD_TRACES)
def test_bad_traces_are_findings(text, finding):
    with pytest.raises(TraceError, match=finding):
        parse_trace(text, "t")
