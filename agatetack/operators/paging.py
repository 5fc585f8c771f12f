"""Cut lists into pages, so that no answer holds up callers' requests."""

import dataclasses
import heapq
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

import trio

from agatetack.operators.checks import invalid
from agatetack.operators.views import Finding

MAX_PAGE_SIZE = 200
"""Most items of a page; building so many takes about a millisecond."""

T = TypeVar("T")


class PageRequest(Protocol):
    """A request for one page.

    Attributes:
        page_size: Most items wanted.
        after: `next_after` of the page before, or None for the first.
    """

    page_size: int
    after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page(Generic[T]):
    """Items in the order of their ids, and where the next page starts."""

    items: tuple[T, ...]
    next_after: str | None


async def take_page(
    items: Iterable[T], id_of: Callable[[T], str], request: PageRequest
) -> Page[T]:
    """Return the page that `request` asks for.

    The event loop gets its turn before and after the work.

    An id of the last item leads to the next page, so that items which come
    or go between two pages shift no other.

    Args:
        items: All items, in any order.
        id_of: Returns an item's id, unique among them.
        request: Which page.

    Raises:
        InvalidRequest: The size is out of bounds.
    """
    size = request.page_size
    if not 1 <= size <= MAX_PAGE_SIZE:
        raise invalid(
            Finding("request.page_size", f"must be from 1 to {MAX_PAGE_SIZE}")
        )
    await trio.lowlevel.checkpoint()
    after = request.after or ""
    rest = [item for item in items if id_of(item) > after]
    await trio.lowlevel.checkpoint()
    taken = heapq.nsmallest(size + 1, rest, key=id_of)
    await trio.lowlevel.checkpoint()
    if len(taken) <= size:
        return Page(tuple(taken), None)
    return Page(tuple(taken[:size]), id_of(taken[size - 1]))
