"""Describe the errors that end a process."""

import traceback
from collections.abc import Iterator

MAX_CAUSES = 5
"""Most causes named in one line."""


def find_causes(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors in a tree of exception groups, but not the groups."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for each in error.exceptions:
        yield from find_causes(each)


def describe_failure(error: BaseException) -> str:
    """Return one line with the type, text and place of each cause."""
    causes = list(find_causes(error))
    texts = [_describe(cause) for cause in causes[:MAX_CAUSES]]
    if len(causes) > MAX_CAUSES:
        texts.append(f"and {len(causes) - MAX_CAUSES} more")
    return "; ".join(texts)


def _describe(error: BaseException) -> str:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return text
    last = frames[-1]
    return f"{text} ({last.filename}:{last.lineno} in {last.name})"
