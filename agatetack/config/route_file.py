"""Load routes from a YAML file and report all findings at once."""

import dataclasses
import pathlib

from returns.result import Failure, Result, Success

from agatetack.config.route import RequestClass, Route, SplitPart
from agatetack.config.route_rules import (
    RouteField,
    RouteMatch,
    check_route,
    route_match,
)
from agatetack.ids import RouteId
from agatetack.settings.findings import Finding, KeyPath
from agatetack.settings.hints import near_word, plain_number
from agatetack.settings.yaml_file import YamlFile, parse_yaml, read_yaml

KNOWN_FIELDS = tuple(field.value for field in RouteField)
"""Fields that a route file may set; a route's version comes from the log."""

REQUIRED_FIELDS = tuple(
    field.name
    for field in dataclasses.fields(Route)
    if field.default is dataclasses.MISSING
)


def load_routes(
    path: str | pathlib.Path,
) -> Result[tuple[Route, ...], tuple[Finding, ...]]:
    """Return the routes that a file lists, or all its findings."""
    return _check_file(read_yaml(path))


def load_routes_text(
    text: str, name: str
) -> Result[tuple[Route, ...], tuple[Finding, ...]]:
    """Return the routes that `text` lists; findings use `name` as its file."""
    return _check_file(parse_yaml(text, name))


def _check_file(
    file: YamlFile,
) -> Result[tuple[Route, ...], tuple[Finding, ...]]:
    entries = file.value
    if entries is None:
        entries = []
    if not isinstance(entries, list):
        file.add((), file.place(()), "must be a list of routes")
        entries = []
    reader = _RouteReader(file)
    for index, entry in enumerate(entries):
        reader.read(index, entry)
    if file.findings:
        found = sorted(file.findings, key=lambda f: (f.line, f.column))
        return Failure(tuple(found))
    return Success(tuple(reader.routes.values()))


def _read_split(value: object) -> object:
    """Return the parts of a split, or `value` itself if it is malformed."""
    if not isinstance(value, list):
        return value
    parts = []
    for entry in value:
        if not isinstance(entry, dict) or set(entry) != {"service", "weight"}:
            return value
        parts.append(SplitPart(entry["service"], entry["weight"]))
    return tuple(parts)


class _RouteReader:
    """Converts the entries of a file to routes.

    Attributes:
        routes: The routes read so far, including those with findings.
        indexes: The index of each route's entry in the file.
        matches: The first route read for each host and path prefix.
    """

    def __init__(self, file: YamlFile):
        self.file = file
        self.routes: dict[RouteId, Route] = {}
        self.indexes: dict[RouteId, int] = {}
        self.matches: dict[RouteMatch, RouteId] = {}

    def read(self, index: int, entry: object) -> None:
        """Read one entry and add a finding for each error in it."""
        if (index,) in self.file.unread:
            return
        if not isinstance(entry, dict):
            self._add((index,), "must be a map of keys")
            return
        self._check_keys(index, entry)
        route = self._to_route(index, entry)
        self._check_rules(index, entry, route)
        self._check_others(index, entry, route)

    def _check_keys(self, index: int, entry: dict) -> None:
        for key in entry:
            if key not in KNOWN_FIELDS:
                keys = (index, key)
                place = self.file.key_place(keys)
                hint = near_word(key, KNOWN_FIELDS)
                self.file.add(keys, place, "is not a known key", hint)
        for key in REQUIRED_FIELDS:
            if key not in entry:
                self._add((index, key), "is missing")

    def _to_route(self, index: int, entry: dict) -> Route:
        values = dict.fromkeys(REQUIRED_FIELDS)
        values.update(
            (key, value) for key, value in entry.items() if key in KNOWN_FIELDS
        )
        name = values["request_class"]
        try:
            values["request_class"] = RequestClass(name)
        except ValueError:
            values["request_class"] = name
        if "split" in values:
            values["split"] = _read_split(values["split"])
        if isinstance(values.get("regions"), list):
            values["regions"] = tuple(values["regions"])
        return Route(**values)

    def _check_rules(self, index: int, entry: dict, route: Route) -> None:
        for finding in check_route(route):
            key = finding.field.value
            if key not in entry or (index, key) in self.file.unread:
                continue
            hint = self._hint(finding.field, entry[key])
            self._add((index, key), finding.message, hint)

    def _hint(self, field: RouteField, value: object) -> str:
        if field is RouteField.REQUEST_CLASS and isinstance(value, str):
            return near_word(value, [known.value for known in RequestClass])
        if field is RouteField.HOST and isinstance(value, str):
            lower = value.lower()
            return lower if lower != value else ""
        return plain_number(field.value, value)

    def _check_others(self, index: int, entry: dict, route: Route) -> None:
        if not isinstance(route.id, str):
            return
        if route.id in self.routes:
            line = self._line(route.id)
            self._add((index, "id"), f"is the same as in line {line}")
            return
        if isinstance(route.path_prefix, str) and isinstance(route.host, str):
            self.routes[route.id] = route
            self.indexes[route.id] = index
            first_id = self.matches.setdefault(route_match(route), route.id)
            if first_id != route.id:
                self._add(
                    (index, "path_prefix"),
                    f"route {first_id} in line {self._line(first_id)}"
                    " takes the same host and path prefix",
                )

    def _line(self, route_id: RouteId) -> int:
        return self.file.place((self.indexes[route_id], "id")).line

    def _add(self, keys: KeyPath, message: str, hint: str = "") -> None:
        self.file.add(keys, self.file.place(keys), message, hint)
