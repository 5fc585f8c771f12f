"""Run the Python client of docs/operators/clients.md as it stands there."""

import pathlib
import re

import pytest
import trio

from agatetack.ids import ChangeId, RouteId
from agatetack.operators.refusals import ChangeInDoubt

PAGE = pathlib.Path(__file__).parents[2] / "docs/operators/clients.md"


@pytest.fixture
def page_client():
    """Return the names that the page's Python code defines."""
    (code,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    names = {"__name__": "page_client"}
    exec(compile(code, str(PAGE), "exec"), names)
    return names


async def run_main(page_client, served, token="ann-token"):
    return await trio.to_thread.run_sync(page_client["main"], served.url, token)


async def test_the_pages_client_applies_a_route(page_client, served):
    doubt = ChangeInDoubt("reply lost", ChangeId("c"), 1)
    served.backend.failures = [doubt]
    assert await run_main(page_client, served) == 2
    assert served.backend.records[RouteId("quota-status")].author == "ann"
    assert await run_main(page_client, served) == 3


async def test_the_pages_client_is_told_that_it_may_not(page_client, served):
    denied = page_client["Operators"].AccessDenied
    with pytest.raises(denied):
        await run_main(page_client, served, "reader-token")
