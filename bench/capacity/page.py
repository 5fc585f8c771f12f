"""Put recomputed tables into the capacity page, between their marks."""

import pathlib
import re
from collections.abc import Iterable, Sequence

from bench.capacity.model import Figure, Line, Model, Role, load_model
from bench.capacity.slopes import Slope, load_slopes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"

MARKED = re.compile(
    r"(?P<mark><!-- table: (?P<name>[^>]+) -->\n).*?(?=<!-- end -->)", re.DOTALL
)

SCALES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))


def read_page() -> str:
    """Return the page as it stands."""
    return PAGE.read_text(encoding="utf-8")


def write_page(content: str) -> None:
    """Write the page."""
    PAGE.write_text(content, encoding="utf-8")


def page_with_tables(page: str) -> str:
    """Return `page` with its tables recomputed from the slopes.

    Raises:
        KeyError: It has a mark of a table that there is none of.
    """
    slopes = load_slopes()
    tables = make_tables(load_model(slopes), slopes.values())

    def fill(match: re.Match[str]) -> str:
        return match["mark"] + tables.pop(match["name"])

    filled = MARKED.sub(fill, page)
    if tables:
        raise KeyError(f"the page lacks the tables {sorted(tables)}")
    return filled


def make_tables(model: Model, slopes: Iterable[Slope]) -> dict[str, str]:
    """Return each table of the page by its name."""
    tables = {
        "sizes": figure_table(model.sizes),
        "choices": figure_table(model.choices),
        "derived": figure_table(model.derived, formulas=True),
        "slopes": slope_table(slopes),
        "sums": line_table(model.sums),
        "missed": missed_table(model),
    }
    for role in model.roles:
        tables[role.name] = role_table(role)
    return tables


def role_table(role: Role) -> str:
    """Return what a role holds, says and costs."""
    return (
        f"State: {role.state}\n\nMessages: {role.messages}\n\n"
        f"Mechanism: {role.mechanism}\n\n{line_table(role.lines)}"
    )


def missed_table(model: Model) -> str:
    """Return a table of all costs beyond their bound, by role."""
    named = [(role.name, role.lines) for role in model.roles]
    rows = [
        [name, line.says, line.state or "-", line.verdict]
        for name, lines in [*named, ("Every gateway", model.sums)]
        for line in lines
        if line.missed
    ]
    return _table(["Role", "Cost", "State", "Bound"], rows)


def line_table(lines: Sequence[Line]) -> str:
    """Return a table of costs."""
    rows = [
        [
            line.says,
            f"`{line.formula}`",
            show(line.value, line.unit),
            line.verdict,
            line.state or "-",
        ]
        for line in lines
    ]
    return _table(["Cost", "Formula", "Value", "Bound", "State"], rows)


def figure_table(figures: Sequence[Figure], formulas: bool = False) -> str:
    """Return a table of figures that formulas use."""
    rows = [
        [
            f"`{figure.name}`",
            show(figure.value, figure.unit),
            f"`{figure.source}`" if formulas else figure.source,
        ]
        for figure in figures
    ]
    return _table(["Name", "Value", "Formula" if formulas else "Source"], rows)


def slope_table(slopes: Iterable[Slope]) -> str:
    """Return a table of the slopes by the command that measures them."""
    rows = [
        [
            f"`{slope.name}`",
            f"{slope.value:.4g}",
            slope.says,
            f"`{slope.command}`",
            f"{slope.date}, {slope.cores} cores",
        ]
        for slope in sorted(slopes, key=lambda s: (s.command, s.name))
    ]
    return _table(["Name", "Value", "What it is", "Command", "Measured"], rows)


def show(value: float, unit: str) -> str:
    """Return a figure with its unit, for a reader."""
    if unit == "core":
        return f"{value * 100:.3g} % of a core"
    for scale, letter in SCALES:
        if value >= scale and unit in ("B", "B/s"):
            return f"{value / scale:.3g} {letter}{unit}"
    number = f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
    return f"{number} {unit}".rstrip()


def _table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [heads, ["---"] * len(heads), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
