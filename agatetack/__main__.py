"""Run the command line with `python -m agatetack`."""

from agatetack.commands import main

main()
