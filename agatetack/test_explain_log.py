"""Test the decision trace that is assembled from several hosts' log lines."""

import io

import orjson
import pytest

from agatetack import commands
from agatetack.explain_log import read_line


def line(event, request="r1", time="2026-01-01T00:00:00.000Z", **fields):
    content = {"time": time, "event": event, "request": request, **fields}
    return orjson.dumps(content).decode()


@pytest.fixture
def explain(tmp_path, capsys):
    def run(text, request="r1"):
        path = tmp_path / "fleet.log"
        path.write_text(text)
        code = commands.run(["explain-log", str(path), request])
        return code, capsys.readouterr().out.splitlines()

    return run


def test_lines_of_all_hosts_are_put_in_order(explain):
    first = "\n".join(
        [
            line("end", time="2026-01-01T00:00:02.000Z", outcome="answered"),
            line("send", request="r2"),
            line("send", time="2026-01-01T00:00:01.000Z", target="t1"),
        ]
    )
    second = "\n10.5 host-b " + line("send", time="2026-01-01T00:00:01.500Z")
    code, out = explain(first + second)
    assert code == 0
    assert out == [
        "2026-01-01T00:00:01.000Z  send  target=t1",
        "2026-01-01T00:00:01.500Z  10.5 host-b  send",
        "2026-01-01T00:00:02.000Z  end  outcome=answered",
    ]


def test_lines_of_one_time_are_in_the_order_of_a_request(explain):
    text = "\n".join([line("end"), line("attempt-end"), line("send")])
    assert [row.split()[1] for row in explain(text)[1]] == [
        "send",
        "attempt-end",
        "end",
    ]


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("", 1),
        (line("send", request="r12"), 1),
        ('{"request":"r1"', 1),
        ('["r1"]', 1),
        (line("send"), 0),
    ],
)
def test_a_request_without_lines_is_not_found(explain, text, wanted):
    assert explain(text)[0] == wanted


def test_lines_that_are_no_json_are_counted(explain):
    out = explain("r1 did something\n" + line("send"))[1]
    assert out[-1] == "1 lines that name it could not be read"


def test_lines_may_come_on_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO(line("send") + "\n"))
    assert commands.run(["explain-log", "-", "r1"]) == 0
    assert capsys.readouterr().out.split()[1] == "send"


def test_a_file_that_is_not_there_is_named(capsys):
    assert commands.run(["explain-log", "/no/such/file", "r1"]) == 1
    assert "/no/such/file" in capsys.readouterr().err


def test_a_line_of_text_has_its_text_for_an_event():
    text = '{"request":"r1","text":"No answer from t1 in time."}'
    assert read_line(text, "r1").event == "No answer from t1 in time."
