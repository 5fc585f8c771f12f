"""Fill in the template of the settings as the platform does."""

import re
from collections.abc import Iterator, Mapping, Sequence

import orjson

TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")
"""A placeholder, or the start or end of a section."""

Fields = Mapping[str, object]

MISSING = (None, False, "", [], {})
"""Values for which `{{^name}}` sections are rendered."""


class TemplateError(ValueError):
    """The template is malformed."""


def fill_template(text: str, fields: Fields) -> str:
    """Return `text` with `fields` in place of its placeholders.

    Raises:
        TemplateError: A section is not closed.
    """
    return "".join(_render(text, [fields]))


def _render(text: str, scopes: Sequence[Fields]) -> Iterator[str]:
    position = 0
    while (tag := TAG.search(text, position)) is not None:
        yield text[position : tag.start()]
        sign, name = tag[1], tag[2].strip()
        position = tag.end()
        if sign not in ("#", "^"):
            yield _value(name, scopes)
            continue
        end = text.find("{{/" + name + "}}", position)
        if end < 0:
            raise TemplateError(f"the section {name} has no end")
        body = text[position:end]
        position = end + len("{{/" + name + "}}")
        if body.startswith("\n"):
            body = body[1:]
            position += text[position : position + 1] == "\n"
        yield from _render_section(sign, _look_up(name, scopes), body, scopes)
    yield text[position:]


def _render_section(
    sign: str, value: object, body: str, scopes: Sequence[Fields]
) -> Iterator[str]:
    if sign == "^":
        if value in MISSING:
            yield from _render(body, scopes)
        return
    if isinstance(value, Mapping):
        entries = list(value.items())
    elif isinstance(value, Sequence) and not isinstance(value, str):
        entries = list(enumerate(value))
    else:
        if value not in MISSING:
            yield from _render(body, scopes)
        return
    for number, (key, entry) in enumerate(entries):
        comma = "" if number == len(entries) - 1 else ","
        own = {"@": key, ".": entry, ",": comma}
        inner = entry if isinstance(entry, Mapping) else {}
        yield from _render(body, [*scopes, {**inner, **own}])


def _look_up(name: str, scopes: Sequence[Fields]) -> object:
    first, *rest = [name] if name in (".", "@", ",") else name.split(".")
    for scope in reversed(scopes):
        if first in scope:
            value = scope[first]
            break
    else:
        return scopes[0] if name == "." else None
    for step in rest:
        if isinstance(value, Mapping):
            value = value.get(step)
        elif isinstance(value, Sequence) and step.isdigit():
            value = value[int(step)] if int(step) < len(value) else None
        else:
            return None
    return value


def _value(name: str, scopes: Sequence[Fields]) -> str:
    name, _, form = name.partition("|")
    value = _look_up(name, scopes)
    if form == "json":
        return orjson.dumps(value).decode()
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, Mapping):
        return orjson.dumps(value).decode()
    if isinstance(value, Sequence) and not isinstance(value, str):
        return ",".join(map(str, value))
    return str(value)
