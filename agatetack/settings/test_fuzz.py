"""Test that no text makes a loader fail otherwise than by findings."""

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Success

from agatetack.config.route_file import (
    KNOWN_FIELDS,
    load_routes,
    load_routes_text,
)
from agatetack.settings.defaults import DEFAULT_FILE, default_layer
from agatetack.settings.findings import Severity
from agatetack.settings.hints import walk_keys
from agatetack.settings.loader import check_settings_text, load_settings

MANY = settings(derandomize=True, max_examples=200, deadline=None)
FEW = settings(MANY, max_examples=25)

DEFAULT_LINES = DEFAULT_FILE.read_text().splitlines(keepends=True)

ROUTES = (
    "- id: a\n  team: t\n  service: s\n  request_class: fast\n"
    "  path_prefix: /a\n  host: h\n  deadline_seconds: 1\n"
    "- {id: b, team: t, service: s, request_class: once, path_prefix: /b}\n"
)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["1s", "10 MB", "::", "/", "1e999", "0x1", "~", "*", "&"])
)

TREES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)

YAML_WORDS = [
    *"ab1~:-?[]{},#&*!|>%@`\"'= \n\t\0\x85\ud800\ufeff",
    *(": ", "- ", "\n  ", "<<", "---", "...", ".inf", "2024-01-01"),
    *("&a ", "*a ", "!!int ", "!!bool ", "!x ", "\\ud800"),
]

YAML_PIECES = st.lists(st.sampled_from(YAML_WORDS), max_size=30).map("".join)

KEYS = sorted(walk_keys(default_layer(), ()))


def assert_sound(findings, text):
    lines = text.splitlines() or [""]
    for finding in findings:
        assert str(finding).isprintable()
        assert 1 <= finding.line <= len(lines) + 1
        assert finding.column >= 1


def check_both(text):
    checked = check_settings_text(text, "f")
    assert_sound(checked.findings, text)
    errors = [f for f in checked.findings if f.severity is Severity.ERROR]
    assert (checked.settings is None) == bool(errors)
    routes = load_routes_text(text, "f")
    if not isinstance(routes, Success):
        assert_sound(routes.failure(), text)
        assert routes.failure()
    return checked


@MANY
@given(st.text() | YAML_PIECES)
@example("a: !!bool 3")
@example("? {a: 1}\n: 1")
@example("\ud800")
@example("!!int")
@example('"\\ud800": "\\ud800"')
@example("%YAML 9.9\n---\na")
@example("- &a {id: *a}")
def test_any_text_gives_findings_and_no_exception(text):
    check_both(text)


@MANY
@given(TREES)
def test_any_tree_gives_findings_and_no_exception(tree):
    check_both(json.dumps(tree))


@MANY
@given(st.sampled_from(KEYS), TREES)
def test_any_value_of_any_key_is_accepted_or_found_there(keys, value):
    over = value
    for key in reversed(keys):
        over = {key: over}
    checked = check_both(json.dumps(over))
    if checked.settings is None:
        wanted = ".".join(keys)
        found = [finding.key for finding in checked.findings]
        assert any(key.startswith(wanted) for key in found) or any(
            wanted in finding.message for finding in checked.findings
        )


@FEW
@given(st.data())
def test_damaged_default_file_gives_findings_and_no_exception(data):
    lines = list(DEFAULT_LINES)
    for _ in range(data.draw(st.integers(1, 3))):
        index = data.draw(st.integers(0, len(lines) - 1))
        line = lines[index]
        column = data.draw(st.integers(0, len(line)))
        piece = data.draw(YAML_PIECES)
        kept = data.draw(
            st.sampled_from([line[column:], line[column + 1 :], ""])
        )
        lines[index] = line[:column] + piece + kept
    check_both("".join(lines))


@MANY
@given(st.sampled_from(KNOWN_FIELDS), TREES)
def test_any_value_in_a_route_gives_findings_and_no_exception(key, value):
    route = {"id": "a", "team": "t", "service": "s", "path_prefix": "/a"}
    route |= {"request_class": "fast", key: value}
    check_both(json.dumps([route]))


@MANY
@given(st.integers(0, len(ROUTES)), st.integers(0, 3), YAML_PIECES)
def test_damaged_routes_give_findings_and_no_exception(start, cut, piece):
    check_both(ROUTES[:start] + piece + ROUTES[start + cut :])


@pytest.mark.parametrize(
    "content", [b"\xff", b"\xef\xbb\xbfa: \xc3", b"\0" * 9]
)
def test_any_bytes_give_findings(content, tmp_path):
    path = tmp_path / "file.yaml"
    path.write_bytes(content)
    assert load_settings(path).failure()
    assert load_routes(path).failure()
