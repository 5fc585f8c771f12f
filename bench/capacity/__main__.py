"""Measure slopes and recompute the tables of docs/CAPACITY.md.

`python -m bench.capacity measure [NAME ...]` runs the benches, one after the
other, and writes `bench/capacity/slopes.json`; without names it runs all,
which takes some eight minutes. `python -m bench.capacity table` prints the
page's tables as recomputed from that file; `--write` puts them into the page.
"""

from collections.abc import Callable

import defopt

from bench.capacity import (
    choices,
    gateways,
    held,
    measuring,
    series,
    tasks,
)
from bench.capacity.page import page_with_tables, read_page, write_page
from bench.capacity.printed import BENCHES
from bench.capacity.slopes import Slope, save_slopes

MEASURES: dict[str, Callable[[], list[Slope]]] = {
    **{bench.name: bench.measure for bench in BENCHES},
    "choices": choices.measure,
    "measuring": measuring.measure,
    "held": held.measure,
    "series": series.measure,
    "gateways": gateways.measure,
    "tasks": tasks.measure,
}


def measure(*names: str) -> None:
    """Measure slopes and keep them in slopes.json.

    Args:
        names: What to measure; everything if none is given.
    """
    for name in names or MEASURES:
        slopes = MEASURES[name]()
        save_slopes(slopes)
        for slope in slopes:
            print(f"{slope.name:32} {slope.value:12g}  {slope.says}")


def table(*, write: bool = False) -> None:
    """Print the page with its tables recomputed from slopes.json.

    Args:
        write: Put it into docs/CAPACITY.md instead.
    """
    page = page_with_tables(read_page())
    if write:
        write_page(page)
    else:
        print(page, end="")


if __name__ == "__main__":
    defopt.run([measure, table])
