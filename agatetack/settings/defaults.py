"""Build settings from the defaults and what is laid over them."""

import copy
import functools
import pathlib
from collections.abc import Mapping

import orjson
import xxhash

from agatetack.settings.building import build
from agatetack.settings.model import Settings
from agatetack.settings.yaml_file import read_yaml

DEFAULT_FILE = pathlib.Path(__file__).parents[1] / "default_settings.yaml"


COMPILED_FILE = DEFAULT_FILE.parent / "__pycache__" / "default_settings.json"
"""What `compile_defaults` makes of the defaults, as Python does of modules:
reading it takes 1 ms of processor time at each start, the YAML 50 ms."""


@functools.cache
def _default_values() -> dict:
    text = DEFAULT_FILE.read_bytes()
    compiled = _read_compiled(_digest(text))
    return _read_defaults() if compiled is None else compiled


def _read_defaults() -> dict:
    file = read_yaml(DEFAULT_FILE)
    if file.findings:
        raise AssertionError(str(file.findings[0]))
    return file.value


def _digest(text: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(text)


def _read_compiled(digest: str) -> dict | None:
    """Return the compiled defaults; None if they are not of this text."""
    try:
        compiled = orjson.loads(COMPILED_FILE.read_bytes())
        is_same = compiled["digest"] == digest
        return compiled["values"] if is_same else None
    except (OSError, ValueError, KeyError, TypeError):
        # As with compiled modules, what is not there or spoiled is made anew
        # of the source.
        return None


def compile_defaults() -> None:
    """Write the defaults in the form that a start reads fastest."""
    digest = _digest(DEFAULT_FILE.read_bytes())
    compiled = {"digest": digest, "values": _read_defaults()}
    COMPILED_FILE.parent.mkdir(exist_ok=True)
    COMPILED_FILE.write_bytes(orjson.dumps(compiled))


def default_layer() -> dict:
    """Return the default settings as plain nested maps, a fresh copy."""
    return copy.deepcopy(_default_values())


def merge_layers(base: dict, over: Mapping) -> dict:
    """Lay `over` over `base` key by key; `base` is changed and returned.

    A null over a map changes nothing: it is a section whose keys are all
    commented out.
    """
    for key, value in over.items():
        is_section = isinstance(base.get(key), dict)
        if is_section and isinstance(value, Mapping):
            merge_layers(base[key], value)
        elif not is_section or value is not None:
            base[key] = value
    return base


def default_settings(**overrides: Mapping) -> Settings:
    """Return checked settings: the defaults with `overrides` laid over them.

    Args:
        **overrides: One nested map per section, such as `host={"id": "a"}`.

    Raises:
        BadSettings: A value is out of bounds.
    """
    return build(Settings, merge_layers(default_layer(), overrides))
