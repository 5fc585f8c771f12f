"""Test filling in the template of the settings."""

import pathlib

import pytest

from agatetack.settings.loader import check_settings_text
from bench.soak.deploy_file import read_role
from bench.soak.machines import make_hosts
from bench.soak.site import small_site
from bench.soak.template import TemplateError, fill_template

ROOT = pathlib.Path(__file__).parents[2]

FIELDS = {
    "ip": "127.0.0.1",
    "on": True,
    "off": False,
    "ports": [7620, 7635],
    "zones": {"a": "east", "b": "west"},
    "seeds": [],
    "listen": {"front": "127.0.0.1:80"},
}


@pytest.mark.parametrize(
    ("text", "filled"),
    [
        ("{{ip}}", "127.0.0.1"),
        ("{{listen.front}}", "127.0.0.1:80"),
        ("{{ports.1}}", "7635"),
        ("{{ports.7}}{{none}}{{listen.none}}", ""),
        ("{{ports}}", "7620,7635"),
        (
            "{{on}} {{ports|json}} {{zones|json}}",
            'true [7620,7635] {"a":"east","b":"west"}',
        ),
        ("{{#ports}}{{@}}={{.}}{{,}}{{/ports}}", "0=7620,1=7635"),
        ("{{#zones}}{{@}}:{{.}};{{/zones}}", "a:east;b:west;"),
        ("{{#listen}}x{{/listen}}{{#on}}y{{/on}}{{#off}}z{{/off}}", "xy"),
        ("{{^seeds}}none{{/seeds}}{{^on}}x{{/on}}", "none"),
        ("{{#ports}}\n- {{.}}\n{{/ports}}\nend", "- 7620\n- 7635\nend"),
        ("{{#zones}}{{ip}} {{/zones}}", "127.0.0.1 127.0.0.1 "),
    ],
)
def test_placeholders_and_sections_are_filled(text, filled):
    assert fill_template(text, FIELDS) == filled


def test_a_section_without_an_end_is_refused():
    with pytest.raises(TemplateError, match="ports"):
        fill_template("{{#ports}}x", FIELDS)


# Guards against hosts that refuse their settings on a platform that gives no
# entry for a list.
@pytest.mark.parametrize(
    "empty",
    [
        {},
        {"bounds": {}},
        {"seeds": []},
        {"zones": {}},
        {"bounds": {}, "seeds": [], "zones": {}},
    ],
)
def test_the_deployed_template_is_valid_with_empty_lists(empty, tmp_path):
    role = read_role(ROOT)
    (host,) = make_hosts(small_site(1), role, "127.0.0.1:8642", tmp_path)
    text = role.settings({**host.fields, **empty})
    assert check_settings_text(text, "settings").findings == ()
