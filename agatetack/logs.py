"""Write log lines: short sentences with a fixed prefix for each part."""

import logging as std_logging
import time

import orjson
from absl import flags, logging

from agatetack.ids import RequestId
from agatetack.settings.model import LogsSettings


class PartLog:
    """The log of one part; every line starts with its prefix."""

    def __init__(self, prefix: str):
        """Name the part; lines read `prefix: sentence`."""
        self.prefix = prefix

    def debug(self, text: str, *args: object) -> None:
        """Write a line for debugging."""
        logging.debug(f"{self.prefix}: {text}", *args)

    def info(self, text: str, *args: object) -> None:
        """Write a line that operators may want to see."""
        logging.info(f"{self.prefix}: {text}", *args)

    def warning(self, text: str, *args: object) -> None:
        """Write a line about something that an operator should look at."""
        logging.warning(f"{self.prefix}: {text}", *args)

    def error(self, text: str, *args: object) -> None:
        """Write a line about something that went wrong in this host."""
        logging.error(f"{self.prefix}: {text}", *args)

    def request(self, request: RequestId, text: str, *args: object) -> None:
        """Write a line about one request; its id stands first."""
        logging.info(f"{self.prefix}: [%s] {text}", request, *args)


class JsonFormatter(std_logging.Formatter):
    """Write each line as one JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line with its time, level, part and text."""
        prefix, _, text = record.getMessage().partition(": ")
        line = {
            "time": time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
            )
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "part": prefix,
            "text": text,
        }
        return orjson.dumps(line).decode()


def set_up_logs(settings: LogsSettings) -> None:
    """Send log lines to standard error, as `settings` say."""
    # Without this absl warns on each start that its flags are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.level.value)
    if settings.json_lines:
        logging.get_absl_handler().setFormatter(JsonFormatter())
