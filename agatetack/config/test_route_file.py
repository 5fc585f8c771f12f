"""Test that a route file gives routes or all its findings."""

import pytest
from returns.result import Success

from agatetack.config.route import RequestClass, Route
from agatetack.config.route_file import load_routes, load_routes_text

ROUTE = "id: a, team: t, service: s, request_class: fast, path_prefix: /a"

FOUND = [
    ("a: 1", ["1:1: must be a list of routes"]),
    ("[", ["1:2: YAML: expected the node content, but found '<stream end>'"]),
    ("- 3", ["1:3: [0]: must be a map of keys"]),
    ("- !x {}", ["1:3: [0]: the tag !x is not supported"]),
    (
        "- {id: a}",
        [
            "1:3: [0].team: is missing",
            "1:3: [0].service: is missing",
            "1:3: [0].request_class: is missing",
            "1:3: [0].path_prefix: is missing",
        ],
    ),
    (
        "- {@, prefix: /b}",
        ['1:70: [0].prefix: is not a known key (did you mean "path_prefix"?)'],
    ),
    ("- {@, version: 3}", ["1:70: [0].version: is not a known key"]),
    (
        "- {id: A b, team: 3, service: s, request_class: fats, path_prefix: a}",
        [
            "1:8: [0].id: must be letters, digits, '.', '_' or '-',"
            " and start with a letter or digit",
            "1:19: [0].team: must be letters, digits, '.', '_' or '-',"
            " and start with a letter or digit",
            "1:49: [0].request_class: must be one of fast, once, whole,"
            ' deferred (did you mean "fast"?)',
            "1:68: [0].path_prefix: must start with '/'",
        ],
    ),
    (
        "- {@, host: A.example}",
        ['1:76: [0].host: must be in lower case (did you mean "a.example"?)'],
    ),
    (
        "- {@, deadline_seconds: 250ms}",
        ['1:88: [0].deadline_seconds: must be a number (did you mean "0.25"?)'],
    ),
    (
        "- {@, max_body_bytes: 1 MiB}",
        [
            "1:86: [0].max_body_bytes: must be a whole number"
            ' (did you mean "1048576"?)'
        ],
    ),
    (
        "- {@, max_queue: x, host: 7}",
        [
            "1:81: [0].max_queue: must be a whole number",
            "1:90: [0].host: must be text",
        ],
    ),
    ("- {@}\n- {@}", ["2:8: [1].id: is the same as in line 1"]),
    (
        "- {@}\n- {id: b, team: t, service: s, request_class: once,"
        " path_prefix: /a/}",
        [
            "2:66: [1].path_prefix: route a in line 1"
            " takes the same host and path prefix"
        ],
    ),
]


@pytest.mark.parametrize(("text", "lines"), FOUND)
def test_faulty_text_gives_exactly_these_findings(text, lines):
    result = load_routes_text(text.replace("@", ROUTE), "f")
    found = [str(finding) for finding in result.failure()]
    assert found == [f"f:{line}" for line in lines]


def test_file_gives_its_routes_in_order(tmp_path):
    path = tmp_path / "routes.yaml"
    other = ROUTE.replace("id: a", "id: b").replace("fast", "once")
    path.write_text(
        f"- {{{ROUTE}}}\n- {{{other}, host: b.example, deadline_seconds: 2}}"
    )
    wanted = (
        Route("a", "t", "s", RequestClass.FAST, "/a"),
        Route("b", "t", "s", RequestClass.ONCE, "/a", "b.example", 2),
    )
    assert load_routes(path) == Success(wanted)


@pytest.mark.parametrize("text", ["", "[]", "# nothing"])
def test_empty_file_lists_no_route(text):
    assert load_routes_text(text, "f") == Success(())
