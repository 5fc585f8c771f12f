"""Put pydantic's errors into one user's words."""

from collections.abc import Callable, Mapping

from pydantic_core import ErrorDetails

Context = Mapping[str, object]

WORDING: dict[str, Callable[[Context], str]] = {
    "extra_forbidden": lambda _: "is not a known key",
    "finite_number": lambda _: "must be a finite number",
    "float_type": lambda _: "must be a number",
    "greater_than": lambda context: f"must be more than {context['gt']:g}",
    "greater_than_equal": lambda context: f"must be at least {context['ge']:g}",
    "int_from_float": lambda _: "must be a whole number",
    "int_type": lambda _: "must be a whole number",
    "less_than": lambda context: f"must be less than {context['lt']:g}",
    "less_than_equal": lambda context: f"must be at most {context['le']:g}",
    "missing": lambda _: "is missing",
    "model_type": lambda _: "must be a map of keys",
    "string_too_long": lambda context: (
        f"must have at most {context['max_length']} characters"
    ),
    "string_too_short": lambda context: (
        f"must have at least {context['min_length']} characters"
    ),
    "string_type": lambda _: "must be text, in quotes if it is a number",
    "tuple_type": lambda _: "must be a list",
}

PATTERN_WORDING = {
    r"^[A-Za-z0-9][A-Za-z0-9._-]*$": (
        "must be letters, digits, '.', '_' or '-',"
        " and start with a letter or digit"
    ),
    r"^[a-z0-9-]+$": "must be a header's name in lower case",
    r"^[0-9a-f]{64}$": "must be 64 hexadecimal digits in lower case",
}


def word_error(error: ErrorDetails) -> str:
    """Return the message of one error, without a full stop."""
    context = error.get("ctx", {})
    kind = error["type"]
    if kind in WORDING:
        return WORDING[kind](context)
    if kind in ("enum", "literal_error"):
        return f"must be {context['expected']}"
    if kind == "string_pattern_mismatch":
        pattern = str(context["pattern"])
        return PATTERN_WORDING.get(pattern, f"must match {pattern}")
    message = error["msg"]
    return message[:1].lower() + message[1:]
