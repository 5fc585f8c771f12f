"""Test that a settings file gives settings or all its findings."""

import itertools
import re

import pytest
from returns.result import Failure, Success

from agatetack.settings import defaults, yaml_file
from agatetack.settings.defaults import DEFAULT_FILE
from agatetack.settings.loader import (
    check_settings,
    check_settings_text,
    load_settings,
)
from agatetack.settings.yaml_file import read_yaml

FOUND = [
    # What cannot be read as YAML at all.
    ("a: [1\n", ["2:1: YAML: expected ',' or ']', but got '<stream end>'"]),
    ("a: *b", ["1:4: YAML: found undefined alias 'b'"]),
    ("a: \x01", ["1:4: YAML: special characters are not allowed"]),
    ("{}\n---\n{}", ["2:1: YAML: but found another document"]),
    ("[\n" * 500, ["1:1: YAML: is nested too deeply"]),
    ("- host", ["1:1: must be a map of sections"]),
    ("host", ["1:1: must be a map of sections"]),
    # What YAML can say and settings cannot.
    ("1: a", ["1:1: a key must be text"]),
    ("host: {id: !x y}", ["1:12: host.id: the tag !x is not supported"]),
    ("host: &a {id: *a}", ["1:7: host.id: refers to itself"]),
    ("a: " * 45 + "1", ["1:5: YAML: mapping values are not allowed here"]),
    (
        "claims:\n  max_batch: 1\n  max_batch: 2",
        ["3:3: claims.max_batch: is given twice, first in line 2"],
    ),
    # Unknown keys.
    (
        "claims: {max_bach: 1}",
        [
            "1:10: claims.max_bach: is not a known key"
            ' (did you mean "max_batch"?)'
        ],
    ),
    (
        "callers: {policy: random}",
        [
            "1:11: callers.policy: is not a known key"
            ' (did you mean "balance.policy"?)'
        ],
    ),
    (
        "platform: {log: {timeout_ms: 5}}",
        [
            "1:18: platform.log.timeout_ms: is not a known key"
            ' (did you mean "timeout_seconds"?)'
        ],
    ),
    ("zzzzzz: 1", ["1:1: zzzzzz: is not a known key"]),
    ('"a\\nb\\e": 1', ["1:1: a\\nb\\x1b: is not a known key"]),
    # Wrong units, types and bounds.
    (
        "targets: {connect_timeout_seconds: 250ms}",
        [
            "1:36: targets.connect_timeout_seconds: must be a number"
            ' (did you mean "0.25"?)'
        ],
    ),
    (
        "callers: {max_body_bytes: 100 MB}",
        [
            "1:27: callers.max_body_bytes: must be a whole number"
            ' (did you mean "100000000"?)'
        ],
    ),
    ("claims: {max_batch: yes}", ["1:21: @ must be a whole number"]),
    ("claims: {max_batch: true}", ["1:21: @ must be a whole number"]),
    ("claims: {max_batch: 1.5}", ["1:21: @ must be a whole number"]),
    ("claims: {max_batch: 0}", ["1:21: @ must be at least 1"]),
    ("claims: {max_batch: null}", ["1:21: @ must be a whole number"]),
    ("logs: {json_lines: 1}", ["1:20: logs.json_lines: must be true or false"]),
    (
        "host: {id: 7}",
        ["1:12: host.id: must be text, in quotes if it is a number"],
    ),
    (
        "host: {id: 2024-01-01 x}",
        [
            "1:12: host.id: must be letters, digits, '.', '_' or '-',"
            " and start with a letter or digit"
        ],
    ),
    (
        "measure: {bytes_per_second: .inf}",
        ["1:29: measure.bytes_per_second: must be a finite number"],
    ),
    (
        "peers: {listen: {ip: localhost}}",
        ["1:22: peers.listen.ip: must be an IP number, not a name"],
    ),
    ("claims: 5", ["1:9: claims: must be a map of keys"]),
    ("callers: {tls: {key: k}}", ["1:16: callers.tls.certificate: is missing"]),
    (
        "operators: {tokens: [{name: a}, 3]}",
        [
            "1:22: operators.tokens[0].team: is missing",
            "1:22: operators.tokens[0].sha256: is missing",
            "1:22: operators.tokens[0].roles: is missing",
            "1:22: operators.tokens[0].services: is missing",
            "1:33: operators.tokens[1]: must be a map of keys",
        ],
    ),
    # Findings of all kinds come together, in the order of the file.
    (
        "claims: {key_window_seconds: 2000}\nhost: {id: 7}\nx: 1",
        [
            "1:30: claims.key_window_seconds: 2 times 2000 exceeds"
            " platform.log.retention_seconds (3600);"
            " a key could be forgotten and run again",
            "2:12: host.id: must be text, in quotes if it is a number",
            "3:1: x: is not a known key",
        ],
    ),
    # A faulty value causes no second finding with its default in its place.
    (
        "platform: {log: {retention_seconds: x}}\n"
        "claims: {key_window_seconds: 2000}",
        ["1:37: platform.log.retention_seconds: must be a number"],
    ),
]


@pytest.mark.parametrize(("text", "lines"), FOUND)
def test_faulty_text_gives_exactly_these_findings(text, lines):
    checked = check_settings_text(text, "f")
    wanted = [f"f:{line}".replace("@", "claims.max_batch:") for line in lines]
    assert [str(finding) for finding in checked.findings] == wanted
    assert checked.settings is None


MISFITS = [
    (
        "callers: {default_deadline_seconds: 4000}\n"
        "lifecycle: {drain_seconds: 5000}",
        "callers.max_deadline",
    ),
    ("callers: {replay_body_bytes: 200000000}", "callers.max_body_bytes"),
    ("host: {memory_mb: 64}", ""),
    ("host: {memory_mb: 57}", "host.memory_mb: leaves callers less than"),
    ("host: {memory_mb: 40}", "host.memory_mb: leaves callers less than"),
    (
        "host: {memory_mb: 64}\ncallers: {memory_ratio: 0.1}",
        "host.memory_mb: leaves callers less than",
    ),
    ("admission: {min_target_limit: 9}", "admission.max_target_limit"),
    ("admission: {max_target_limit: 201}", "targets.max_connections"),
    (
        "callers: {default_deadline_seconds: 1}\nlifecycle: {drain_seconds: 2}",
        "lifecycle.notice_seconds: 3 exceeds",
    ),
    (
        "lifecycle: {drain_seconds: 9}",
        "warning: callers.default_deadline_seconds: 10 exceeds"
        " lifecycle.drain_seconds (9); a shutdown would cut requests",
    ),
    ("platform: {log: {retention_seconds: 1800}}", ""),
    (
        "platform: {log: {retention_seconds: 1799}}",
        "run again",
    ),
    ("deferred: {result_keep_seconds: 3601}", ""),
    ("deferred: {max_result_bytes: 1048576}", ""),
    (
        "config: {snapshot_stagger_seconds: 1081}",
        "warning: config.snapshot_stagger_seconds: a snapshot could",
    ),
    ("config: {snapshot_stagger_seconds: 1080}", ""),
    ("measure: {bytes_per_second: 0}", "warning: measure.bytes_per_second"),
    ("measure: {bytes_per_second: 0, probes_per_second: 0}", ""),
    ("peers: {heartbeat_seconds: 2}", "taken for gone"),
    ("targets: {idle_proof_seconds: 30}", "targets.idle_close_seconds"),
    ("deferred: {max_body_bytes: 1048576}", "one record"),
    ("attempts: {hedge_quantile: 0}", "more than 0"),
    ("attempts: {hedge_ratio: 0.2}", "warning: "),
    ("callers: {listen: {port: 8081}}", "callers.listen has this port"),
    ("callers: {listen: {ip: 127.0.0.2, port: 8081}}", ""),
    ("callers: {listen: {ip: 0.0.0.0, port: 8081}}", "has this port"),
    ("callers: {listen: {port: 0}}\npeers: {listen: {port: 0}}", ""),
    ("platform: {log: {endpoint: {port: 0}}}", "cannot be reached at port 0"),
    ("peers: {advertise: {ip: '::', port: 1}}", "cannot be reached at ::"),
    ("peers: {listen: {ip: 10.0.0.1}}", "warning: peers.shared_key"),
    ("operators: {listen: {ip: 10.0.0.1}}", "warning: operators.tokens"),
    ("callers: {headers: {outcome: x-reason}}", "stands for two settings"),
    ("targets: {headers: {state: host}}", "another meaning"),
    ("targets: {load_path: load}", "must start with '/'"),
    ("callers: {ticket_path: t/}", "must start with '/'"),
]


@pytest.mark.parametrize(("text", "part"), MISFITS)
def test_settings_that_do_not_fit_together_are_found(text, part):
    checked = check_settings_text(text, "f")
    lines = [str(finding) for finding in checked.findings]
    assert [line for line in lines if part not in line] == []
    assert bool(lines) == bool(part)
    is_usable = not part or part.startswith("warning")
    assert (checked.settings is not None) == is_usable


def test_token_without_tls_and_repeated_token_are_found():
    token = "{name: a, team: b, sha256: '%s', roles: [read], services: ['*']}"
    token %= "0" * 64
    text = (
        f"operators:\n  listen: {{ip: 10.0.0.1}}\n  tokens: [{token}, {token}]"
    )
    lines = [str(found) for found in check_settings_text(text, "f").findings]
    assert any("in the clear without TLS" in line for line in lines)
    assert sum("an earlier token's" in line for line in lines) == 2


@pytest.mark.parametrize(
    "text", ["", "# nothing", "null", "claims:\n", "host: {id: gw-2}"]
)
def test_defaults_fill_what_a_file_leaves_out(text, tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    match load_settings(path):
        case Success(settings):
            assert settings.claims.max_batch == 500
        case _:
            pytest.fail("no settings")


def test_default_file_has_no_finding():
    assert check_settings(DEFAULT_FILE).findings == ()


def test_default_file_explains_each_option():
    lines = DEFAULT_FILE.read_text().splitlines()
    unexplained = [
        line
        for above, line in itertools.pairwise(lines)
        if re.match(r" *[a-z0-9_]+:", line)
        and not above.lstrip().startswith("#")
    ]
    assert unexplained == []


@pytest.mark.parametrize(
    ("content", "line"),
    [
        (None, ": cannot be read: No such file or directory"),
        (b"a: b\nhost: \xff", ":2:7: is not UTF-8 text"),
        (b"#" * 1_048_577, ": is larger than 1048576 bytes"),
    ],
)
def test_unreadable_file_is_a_finding(content, line, tmp_path):
    path = tmp_path / "settings.yaml"
    if content is not None:
        path.write_bytes(content)
    assert isinstance(load_settings(path), Failure)
    assert [str(f) for f in load_settings(path).failure()] == [f"{path}{line}"]


def test_nested_aliases_end_with_a_finding(monkeypatch):
    monkeypatch.setattr(yaml_file, "MAX_NODES", 1000)
    levels = [f"a{n}: &a{n} [{f'*a{n - 1},' * 9}]" for n in range(1, 10)]
    text = "\n".join(["a0: &a0 [1]", *levels])
    lines = [str(found) for found in check_settings_text(text, "f").findings]
    assert any("more than 1000 values" in line for line in lines)


@pytest.mark.parametrize(
    ("spoil", "used"),
    [
        (lambda content: content, True),
        (lambda content: b"{}", False),
        (lambda content: b"junk", False),
        (lambda content: content.replace(b'"digest":"', b'"digest":"0'), False),
        (None, False),
    ],
)
def test_compiled_defaults_are_used_only_if_they_are_of_the_file(
    tmp_path, monkeypatch, spoil, used
):
    file = tmp_path / "cache" / "defaults.json"
    monkeypatch.setattr(defaults, "COMPILED_FILE", file)
    if spoil is not None:
        defaults.compile_defaults()
        file.write_bytes(spoil(file.read_bytes()))
    read = []
    monkeypatch.setattr(
        defaults, "read_yaml", lambda path: read.append(path) or read_yaml(path)
    )
    defaults._default_values.cache_clear()
    try:
        assert defaults.default_layer()["claims"]["max_batch"] == 500
    finally:
        defaults._default_values.cache_clear()
    assert bool(read) is not used
