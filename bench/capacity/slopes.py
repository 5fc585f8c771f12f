"""Keep measured slopes in a file, each with the command that gave it."""

import dataclasses
import datetime
import os
import pathlib

import orjson

SLOPES_FILE = pathlib.Path(__file__).with_name("slopes.json")


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured figure.

    Attributes:
        name: How formulas call it; the unit stands at its end.
        value: The figure.
        says: What it is, for a reader.
        command: What measures it.
        date: When it was measured, as YYYY-MM-DD.
        cores: Cores of the machine, which others may have used as well.
    """

    name: str
    value: float
    says: str
    command: str
    date: str
    cores: int


def new_slope(name: str, value: float, says: str, command: str) -> Slope:
    """Return a slope that was measured now, on this machine."""
    return Slope(
        name,
        float(f"{value:.4g}"),
        says,
        command,
        datetime.datetime.now(datetime.UTC).date().isoformat(),
        os.cpu_count() or 1,
    )


def load_slopes(path: pathlib.Path = SLOPES_FILE) -> dict[str, Slope]:
    """Return the slopes in `path` by name."""
    entries = orjson.loads(path.read_bytes())
    return {entry["name"]: Slope(**entry) for entry in entries}


def save_slopes(
    measured: list[Slope], path: pathlib.Path = SLOPES_FILE
) -> None:
    """Put `measured` into `path`; slopes of other commands stay."""
    slopes = load_slopes(path) if path.exists() else {}
    commands = {slope.command for slope in measured}
    kept = [s for s in slopes.values() if s.command not in commands]
    entries = sorted([*kept, *measured], key=lambda slope: slope.name)
    content = orjson.dumps(
        [dataclasses.asdict(entry) for entry in entries],
        option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
    )
    path.write_bytes(content)
