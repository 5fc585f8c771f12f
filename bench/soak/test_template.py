"""Test filling in the template of the settings."""

import pytest

from bench.soak.template import TemplateError, fill_template

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
