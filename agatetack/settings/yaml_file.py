"""Read a YAML file into plain values that remember their places.

The file's nodes are composed but not constructed by ruamel.yaml, because a
node still has its place, and because two equal keys of a map are both there.
"""

import dataclasses
import hashlib
import os
import pathlib

import ruamel.yaml
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode
from ruamel.yaml.reader import ReaderError

from agatetack.settings.findings import (
    NO_PLACE,
    Finding,
    KeyPath,
    Place,
    key_text,
)

MAX_FILE_BYTES = 1_048_576
"""Largest file that is read."""

MAX_NODES = 200_000
"""Most values of one file; an alias counts as often as it is used."""

MAX_DEPTH = 40
"""Most maps and lists within each other."""

TOP = Place(1, 1)

TAG = "tag:yaml.org,2002:"

SCALAR_TAGS = frozenset(
    TAG + name for name in ("str", "int", "float", "bool", "null")
)

# Dates and merge keys are not values of settings; they are read as text, so
# that the checks can say what should stand there.
TEXT_TAGS = frozenset(TAG + name for name in ("timestamp", "merge", "value"))

MAP_TAG = TAG + "map"
LIST_TAG = TAG + "seq"


@dataclasses.dataclass(slots=True)
class YamlFile:
    """A file's values, their places, and what was wrong with its YAML.

    Attributes:
        file: Its path, as the user gave it.
        value: Maps, lists and scalars; None for an empty file.
        places: Where each value stands.
        key_places: Where the key of each value of a map stands.
        findings: What was wrong; `value` holds what could be read.
        unread: The paths of values that could not be read.
        digest: SHA-256 of its bytes in hexadecimal digits; empty if it could
            not be read.
    """

    file: str
    value: object = None
    places: dict[KeyPath, Place] = dataclasses.field(default_factory=dict)
    key_places: dict[KeyPath, Place] = dataclasses.field(default_factory=dict)
    findings: list[Finding] = dataclasses.field(default_factory=list)
    unread: set[KeyPath] = dataclasses.field(default_factory=set)
    digest: str = ""

    def has(self, path: KeyPath) -> bool:
        """Return whether the file itself gives a value for `path`."""
        return path in self.places

    def key_place(self, path: KeyPath) -> Place:
        """Return where the key stands, or the nearest key above it."""
        if path in self.key_places:
            return self.key_places[path]
        return self.place(path)

    def place(self, path: KeyPath) -> Place:
        """Return where the value stands, or the nearest value above it."""
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, TOP)

    def add(
        self, path: KeyPath, place: Place, message: str, hint: str = ""
    ) -> None:
        """Note a finding."""
        self.findings.append(
            Finding(
                file=self.file,
                line=place.line,
                column=place.column,
                key=key_text(path),
                message=message,
                hint=hint,
            )
        )


def is_empty_file(path: str) -> bool:
    """Return whether a file has no byte, as while it is being written.

    By the defaults alone it would be a host that nobody meant. What can't be
    read at all is left to `read_yaml`.
    """
    try:
        return os.path.isfile(path) and os.stat(path).st_size == 0
    except OSError:
        return False


def read_yaml(path: str | pathlib.Path) -> YamlFile:
    """Return the file's values; all that is wrong becomes findings."""
    file = YamlFile(str(path))
    text = _read_text(pathlib.Path(path), file)
    if text is not None:
        _read_values(text, file)
    return file


def parse_yaml(text: str, name: str) -> YamlFile:
    """Return the values of `text`, with `name` as its file in findings."""
    file = YamlFile(name)
    _read_values(text, file)
    return file


def _read_text(path: pathlib.Path, file: YamlFile) -> str | None:
    try:
        with path.open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        file.add((), Place(NO_PLACE, NO_PLACE), f"cannot be read: {reason}")
        return None
    if len(content) > MAX_FILE_BYTES:
        message = f"is larger than {MAX_FILE_BYTES} bytes"
        file.add((), Place(NO_PLACE, NO_PLACE), message)
        return None
    file.digest = hashlib.sha256(content).hexdigest()
    try:
        return content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        place = _place_of_index(
            content[: error.start].decode("utf-8"), error.start
        )
        file.add((), place, "is not UTF-8 text")
        return None


def _read_values(text: str, file: YamlFile) -> None:
    yaml = ruamel.yaml.YAML(typ="safe", pure=True)
    yaml.composer.warn_double_anchors = False
    root = _compose(yaml, text, file)
    if root is not None:
        reader = _ValueReader(yaml, file)
        file.value = reader.read(root, ())


def _compose(yaml: ruamel.yaml.YAML, text: str, file: YamlFile) -> Node | None:
    try:
        return yaml.compose(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = error.problem or error.context or "is not valid"
        place = TOP if mark is None else Place(mark.line + 1, mark.column + 1)
        file.add((), place, f"YAML: {problem}")
    except ReaderError as error:
        place = _place_of_index(text, error.position)
        file.add((), place, f"YAML: {error.reason}")
    except YAMLError as error:
        file.add((), TOP, f"YAML: {error}")
    except RecursionError:
        file.add((), TOP, "YAML: is nested too deeply")
    return None


def _place_of_index(text: str, index: int) -> Place:
    before = text[:index]
    return Place(before.count("\n") + 1, len(before.rpartition("\n")[2]) + 1)


class _ValueReader:
    """Turns nodes into plain values."""

    def __init__(self, yaml: ruamel.yaml.YAML, file: YamlFile):
        self.yaml = yaml
        self.file = file
        self.nodes_left = MAX_NODES
        self.open_nodes: set[int] = set()

    def read(self, node: Node, path: KeyPath) -> object:
        """Return the value of `node` and note its place."""
        place = _place_of(node)
        self.file.places[path] = place
        if id(node) in self.open_nodes:
            return self._leave_out(node, path, "refers to itself")
        if len(path) > MAX_DEPTH:
            return self._leave_out(node, path[:1], "is nested too deeply")
        if self.nodes_left <= 0:
            return None
        self.nodes_left -= 1
        if self.nodes_left == 0:
            message = f"the file has more than {MAX_NODES} values"
            self.file.add((), place, message)
        self.open_nodes.add(id(node))
        value = self._read_by_kind(node, path)
        self.open_nodes.discard(id(node))
        return value

    def _read_by_kind(self, node: Node, path: KeyPath) -> object:
        if isinstance(node, MappingNode) and node.tag == MAP_TAG:
            return self._read_map(node, path)
        if isinstance(node, SequenceNode) and node.tag == LIST_TAG:
            return [
                self.read(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        if isinstance(node, ScalarNode):
            return self._read_scalar(node, path)
        return self._refuse_tag(node, path)

    def _read_map(self, node: MappingNode, path: KeyPath) -> dict:
        values: dict[str, object] = {}
        for key_node, value_node in node.value:
            key = self._read_key(key_node, path)
            if key is None:
                continue
            key_path = (*path, key)
            if key in values:
                first = self.file.key_places[key_path]
                message = f"is given twice, first in line {first.line}"
                self.file.add(key_path, _place_of(key_node), message)
                continue
            self.file.key_places[key_path] = _place_of(key_node)
            values[key] = self.read(value_node, key_path)
        return values

    def _read_key(self, node: Node, path: KeyPath) -> str | None:
        if isinstance(node, ScalarNode):
            key = self._read_scalar(node, path)
            if isinstance(key, str):
                return key
        self.file.add(path, _place_of(node), "a key must be text")
        return None

    def _read_scalar(self, node: ScalarNode, path: KeyPath) -> object:
        if node.tag in TEXT_TAGS:
            return node.value
        if node.tag not in SCALAR_TAGS:
            return self._refuse_tag(node, path)
        try:
            value = self.yaml.constructor.construct_object(node)
            return _join_surrogates(value) if isinstance(value, str) else value
        except (LookupError, ValueError):
            kind = node.tag.removeprefix(TAG)
            return self._leave_out(node, path, f"is not a valid {kind}")

    def _refuse_tag(self, node: Node, path: KeyPath) -> None:
        tag = node.tag.replace(TAG, "!!")
        return self._leave_out(node, path, f"the tag {tag} is not supported")

    def _leave_out(self, node: Node, path: KeyPath, message: str) -> None:
        self.file.add(path, _place_of(node), message)
        self.file.unread.add(path)


def _join_surrogates(text: str) -> str:
    """Return `text` with the pairs joined that JSON's escapes leave.

    Raises:
        UnicodeDecodeError: One stands alone, so that this is no text.
    """
    if text.isascii():
        return text
    return text.encode("utf-16", "surrogatepass").decode("utf-16")


def _place_of(node: Node) -> Place:
    mark = node.start_mark
    return Place(mark.line + 1, mark.column + 1)
