"""Test that the example files of both firms are valid without changes."""

import pathlib

import pytest

from agatetack.config.route import RequestClass
from agatetack.config.route_file import load_routes
from agatetack.settings.loader import check_settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

FAST, ONCE, WHOLE, DEFERRED = RequestClass

FIRMS = [
    (
        "trinacria",
        [
            ("profiles", FAST),
            ("quotas", FAST),
            ("payouts", ONCE),
            ("exports", WHOLE),
            ("waves", DEFERRED),
        ],
    ),
    (
        "stakeline",
        [
            ("parcels", FAST),
            ("offers", ONCE),
            ("plats", WHOLE),
            ("titles", DEFERRED),
        ],
    ),
]


@pytest.mark.parametrize(("firm", "wanted"), FIRMS)
def test_example_files_have_no_finding_and_fit_together(firm, wanted):
    checked = check_settings(EXAMPLES / firm / "settings.yaml")
    assert [str(finding) for finding in checked.findings] == []
    routes = load_routes(EXAMPLES / firm / "routes.yaml").unwrap()
    assert [(r.id, r.request_class) for r in routes] == wanted
    settings = checked.settings
    longest = {
        FAST: settings.callers.max_deadline_seconds,
        ONCE: settings.claims.key_window_seconds,
        WHOLE: settings.lifecycle.drain_seconds,
        DEFERRED: settings.callers.max_deadline_seconds,
    }
    for route in routes:
        assert route.deadline_seconds <= longest[route.request_class]
        assert route.max_body_bytes <= settings.callers.max_body_bytes
        if route.request_class is DEFERRED:
            assert route.max_body_bytes <= settings.deferred.max_body_bytes
    teams = {token.team for token in settings.operators.tokens}
    assert {route.team for route in routes} == teams
