"""Test that the capacity page shows what the measured slopes give."""

import re

import pytest

from bench.capacity.model import Line, load_model
from bench.capacity.page import page_with_tables, read_page
from bench.capacity.slopes import (
    Slope,
    load_slopes,
    new_slope,
    save_slopes,
)

HINT = "run `python -m bench.capacity table --write` and read the page again"


def test_page_shows_recomputed_tables():
    page = read_page()
    assert page_with_tables(page) == page, HINT


def test_every_slope_counts():
    """A slope that no formula uses would stand in the page for nothing."""
    slopes = load_slopes()
    model = load_model(slopes)
    formulas = [each.source for each in model.derived]
    formulas += [line.formula for role in model.roles for line in role.lines]
    formulas += [line.formula for line in model.sums]
    used = {name for each in formulas for name in re.findall(r"\w+", each)}
    assert slopes.keys() - used == set()


def test_unmeasured_slope_is_an_error():
    slopes = load_slopes()
    del slopes["call_cpu_us"]
    with pytest.raises(NameError, match="call_cpu_us"):
        load_model(slopes)


@pytest.mark.parametrize("change", ["lost mark", "unknown table"])
def test_page_and_tables_have_the_same_names(change):
    page = read_page()
    if change == "lost mark":
        page = page.replace("<!-- table: Peers -->", "")
    else:
        page += "<!-- table: nothing -->\n<!-- end -->\n"
    with pytest.raises(KeyError):
        page_with_tables(page)


@pytest.mark.parametrize(
    ("value", "bound", "verdict"),
    [
        (0.015, 0.03, "met (50 %)"),
        (0.0003, 0.03, "met (1.00 %)"),
        (0.03, 0.03, "met (100 %)"),
        (0.09, 0.03, "missed, 3.00 times"),
        (1.0, None, "-"),
    ],
)
def test_verdict(value, bound, verdict):
    line = Line("CPU", "a", value, "core", "built", bound)
    assert line.verdict == verdict


def test_slopes_of_one_command_are_replaced_together(tmp_path):
    path = tmp_path / "slopes.json"
    save_slopes([slope("a", "one"), slope("b", "one")], path)
    save_slopes([slope("c", "two")], path)
    save_slopes([slope("a", "one")], path)
    assert sorted(load_slopes(path)) == ["a", "c"]


def slope(name: str, command: str) -> Slope:
    return new_slope(name, 1.0, "a figure", command)
