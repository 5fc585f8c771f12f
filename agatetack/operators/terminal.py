"""Reach a daemon from the command line, and print.

The daemon to call, the token and the authority's certificate come from the
environment, so that no token stands in a list of processes.
"""

import os
import sys
from collections.abc import Awaitable, Callable

import trio

from agatetack.errors import UserError
from agatetack.operators.client import OperatorsClient

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

ADDRESS_VARIABLE = "AGATETACK_ADDRESS"
TOKEN_VARIABLE = "AGATETACK_TOKEN"
AUTHORITY_VARIABLE = "AGATETACK_AUTHORITY"
DEFAULT_ADDRESS = "http://127.0.0.1:8081"


class UsageError(UserError):
    """The options do not go together."""


def with_client(
    address: str, work: Callable[[OperatorsClient], Awaitable[int]]
) -> int:
    """Run `work` with a client of the daemon at `address`."""

    async def open_and_work() -> int:
        url = address or os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS
        client = OperatorsClient(
            url if "://" in url else f"http://{url}",
            os.environ.get(TOKEN_VARIABLE, ""),
            os.environ.get(AUTHORITY_VARIABLE),
        )
        async with client:
            return await work(client)

    return trio.run(open_and_work)


def show(value: object, text: str, json: bool) -> None:
    """Print `value` as JSON, or `text`."""
    if json:
        print_json(value)
    else:
        print(text)


def print_json(value: object) -> None:
    """Print dataclasses and enums as JSON."""
    import orjson

    sys.stdout.write(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    sys.stdout.write("\n")


def complain(text: str) -> None:
    """Print an error as one line."""
    print(f"agatetack: {text}", file=sys.stderr)


def be_silent(text: str) -> None:
    """Print nothing, as JSON follows at the end."""
