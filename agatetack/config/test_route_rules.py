"""Test which routes are valid."""

import dataclasses
import math

import pytest

from agatetack.config.route import RequestClass, Route
from agatetack.config.route_rules import (
    MAX_BODY_BYTES,
    MAX_QUEUE,
    check_route,
    check_unique_match,
)
from agatetack.ids import RouteId, ServiceId, TeamId

VALID = Route(
    id=RouteId("profiles"),
    team=TeamId("panel"),
    service=ServiceId("profiles"),
    request_class=RequestClass.FAST,
    path_prefix="/profiles",
)

GOOD = [
    {},
    {"path_prefix": "/"},
    {"path_prefix": "/a/b%20c/"},
    {"host": "api.example.org"},
    {"host": "[::1]"},
    {"host": "10.0.0.7"},
    {"deadline_seconds": 0.001},
    {"deadline_seconds": 3600},
    {"max_body_bytes": 0},
    {"max_body_bytes": MAX_BODY_BYTES},
    {"requests_per_second": 0.5},
    {"regions": ("north", "south")},
]

BAD = [
    ("id", ""),
    ("id", "a b"),
    ("regions", "north"),
    ("regions", ("a b",)),
    ("regions", (1,)),
    ("regions", ("north",) * 101),
    ("id", "profiles\n"),
    ("id", "-a"),
    ("id", "ä"),
    ("team", "a" * 101),
    ("service", None),
    ("request_class", "fast"),
    ("path_prefix", "profiles"),
    ("path_prefix", ""),
    ("path_prefix", None),
    ("path_prefix", "/a?b"),
    ("path_prefix", "/a b"),
    ("path_prefix", "/a%2"),
    ("path_prefix", "/a//b"),
    ("path_prefix", "/a/../b"),
    ("path_prefix", "/a\n"),
    ("path_prefix", "/" + "a" * 512),
    ("host", "API.example.org"),
    ("host", "example.org:80"),
    ("host", "a b"),
    ("host", "example.org\n"),
    ("host", None),
    ("host", "a" * 254),
    ("deadline_seconds", 0),
    ("deadline_seconds", math.nan),
    ("deadline_seconds", math.inf),
    ("deadline_seconds", 10**400),
    ("deadline_seconds", True),
    ("deadline_seconds", "1"),
    ("max_body_bytes", -1),
    ("max_body_bytes", 1.5),
    ("max_body_bytes", MAX_BODY_BYTES + 1),
    ("requests_per_second", -0.1),
    ("requests_per_second", math.nan),
    ("max_queue", -1),
    ("max_queue", MAX_QUEUE + 1),
    ("max_queue", True),
]


@pytest.mark.parametrize("changes", GOOD)
def test_valid_route_has_no_finding(changes):
    assert check_route(dataclasses.replace(VALID, **changes)) == ()


@pytest.mark.parametrize(("field", "value"), BAD)
def test_invalid_field_is_the_one_finding(field, value):
    findings = check_route(dataclasses.replace(VALID, **{field: value}))
    assert [finding.field.value for finding in findings] == [field]


def test_all_findings_are_collected():
    route = dataclasses.replace(VALID, id="", host="A", max_queue=-1)
    found = [finding.field.value for finding in check_route(route)]
    assert found == ["id", "host", "max_queue"]


@pytest.mark.parametrize(
    ("changes", "clashes"),
    [
        ({"path_prefix": "/profiles/"}, True),
        ({"path_prefix": "/profiles/a"}, False),
        ({"host": "a.example"}, False),
        ({"id": "profiles"}, False),
    ],
)
def test_two_routes_clash_when_they_take_the_same_requests(changes, clashes):
    other = dataclasses.replace(VALID, **{"id": "other", **changes})
    assert bool(check_unique_match(VALID, [other])) is clashes
