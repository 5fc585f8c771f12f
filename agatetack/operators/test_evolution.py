"""Test that no id or number of a released schema has changed.

After adding to the schema, write the list anew and look at its difference; no
line may change or go:
`python -m agatetack.operators.test_evolution > thrift/operators.ids`.
"""

import inspect
import pathlib

import pytest
from thrift.Thrift import TType

from agatetack.generated.common import ttypes as common
from agatetack.generated.operators import Operators, ttypes

IDS = pathlib.Path(__file__).parents[2] / "thrift/operators.ids"
MODULES = (common, ttypes, Operators)


def describe():
    """Return a line for each field of each struct and each enum number."""
    lines = []
    for module in MODULES:
        for name, cls in inspect.getmembers(module, inspect.isclass):
            if cls.__module__ != module.__name__:
                continue
            for number, member in getattr(cls, "_VALUES_TO_NAMES", {}).items():
                lines.append(f"{name}.{member} = {number}")
            for spec in getattr(cls, "thrift_spec", None) or ():
                if spec is not None:
                    kind = TType._VALUES_TO_NAMES[spec[1]]
                    lines.append(f"{name}.{spec[2]}: {spec[0]} {kind}")
    return sorted(lines)


def test_ids_and_numbers_stay():
    released = IDS.read_text().splitlines()
    assert set(released) - set(describe()) == set()


@pytest.mark.parametrize("line", ["Route.id: 1 STRING", "Role.CHANGE = 2"])
def test_the_list_is_whole(line):
    assert line in IDS.read_text().splitlines()
    assert IDS.read_text().splitlines() == describe()


if __name__ == "__main__":
    print("\n".join(describe()))
