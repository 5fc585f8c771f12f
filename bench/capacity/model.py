"""Work out what each role costs, from slopes and the formulas of a file."""

import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any

import ruamel.yaml

from agatetack.settings.defaults import default_settings
from bench.capacity.slopes import Slope

MODEL_FILE = pathlib.Path(__file__).with_name("model.yaml")


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A figure that formulas use, and where it comes from."""

    name: str
    value: float
    unit: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One cost of a role.

    Attributes:
        says: What it is.
        formula: How it is worked out.
        value: What comes out, in `unit`.
        unit: Its unit.
        state: Whether what causes it is built.
        bound: What it should stay within, or None.
    """

    says: str
    formula: str
    value: float
    unit: str
    state: str
    bound: float | None

    @property
    def missed(self) -> bool:
        """Return whether the cost is beyond its bound."""
        return self.bound is not None and self.value > self.bound

    @property
    def verdict(self) -> str:
        """Return whether the bound is met, or by what factor missed."""
        if self.bound is None:
            return "-"
        ratio = self.value / self.bound
        if self.missed:
            return f"missed, {ratio:.{2 if ratio < 10 else 0}f} times"
        digits = 0 if ratio >= 0.1 else 2
        return f"met ({ratio * 100:.{digits}f} %)"


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """One duty of a gateway and what it costs."""

    name: str
    state: str
    messages: str
    mechanism: str
    lines: list[Line]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Everything that the page shows.

    Attributes:
        sizes: What the letter asks for.
        choices: Assumptions and figures of the design.
        derived: Figures worked out from these and the slopes.
        roles: The roles.
        sums: Costs that every gateway bears, together.
    """

    sizes: list[Figure]
    choices: list[Figure]
    derived: list[Figure]
    roles: list[Role]
    sums: list[Line]


class Reckoning:
    """Evaluates the formulas of one model file.

    Attributes:
        names: What formulas may use.
    """

    def __init__(self, content: Mapping[str, Any], slopes: Mapping[str, Slope]):
        """Work with the entries of a model file and with slopes."""
        self.content = content
        self.names: dict[str, Any] = {
            name: slope.value for name, slope in slopes.items()
        }
        self.names["settings"] = default_settings()
        self.controls: dict[str, float] = {}

    def evaluate(self, formula: str) -> float:
        """Return what a formula gives.

        Raises:
            NameError: It uses a slope that is not measured.
        """
        # The formulas are our own; they get no functions.
        return float(eval(formula, {"__builtins__": {}}, self.names))

    def model(self) -> Model:
        """Return the model with all values."""
        sizes = self._given("sizes")
        choices = self._given("choices")
        derived = self._derived()
        roles = [self._role(entry) for entry in self.content["roles"]]
        self.names.update(self.controls)
        sums = [self._line(entry) for entry in self.content["sums"]]
        return Model(sizes, choices, derived, roles, sums)

    def _given(self, section: str) -> list[Figure]:
        figures = [
            Figure(name, float(e["value"]), e["unit"], e["source"])
            for name, e in self.content[section].items()
        ]
        self.names.update({each.name: each.value for each in figures})
        return figures

    def _derived(self) -> list[Figure]:
        figures = []
        for name, entry in self.content["derived"].items():
            value = self.evaluate(entry["formula"])
            self.names[name] = value
            figures.append(Figure(name, value, entry["unit"], entry["formula"]))
        return figures

    def _role(self, entry: Mapping[str, Any]) -> Role:
        lines = [self._line(line) for line in entry["lines"]]
        return Role(
            entry["name"],
            entry["state"],
            entry["messages"],
            entry["mechanism"],
            lines,
        )

    def _line(self, entry: Mapping[str, Any]) -> Line:
        value = self.evaluate(entry["formula"])
        for control in entry.get("control", ()):
            self.controls[control] = self.controls.get(control, 0.0) + value
        bound = self.content["bounds"].get(entry.get("bound"))
        if bound is not None and bound["unit"] != entry["unit"]:
            raise ValueError(f"{entry['says']}: bound in another unit")
        return Line(
            entry["says"],
            entry["formula"],
            value,
            entry["unit"],
            entry.get("state", ""),
            None if bound is None else float(bound["value"]),
        )


def load_model(slopes: Mapping[str, Slope]) -> Model:
    """Return the model of the page, worked out from `slopes`."""
    yaml = ruamel.yaml.YAML(typ="safe")
    return Reckoning(yaml.load(MODEL_FILE), slopes).model()
