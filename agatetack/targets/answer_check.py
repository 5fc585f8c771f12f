"""Check that a response comes from the target and is for the request."""

from agatetack.messages import CallerRequest, Header, find_header
from agatetack.settings.model import Settings
from agatetack.targets.parser import AnswerParser

OTHER_INSTANCE_STATUS = 421
"""Misdirected Request (RFC 9110, 15.5.20): another instance now has this
address."""

MIN_FAILURE_STATUS = 400
MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300


class AnswerCheck:
    """Checks responses by the headers that the settings name.

    Attributes:
        request_id_name: The header that echoes the request id, or None.
        signature_name: The header that all responses of targets have, or None.
        instance_name: The header that names an instance, or None.
        not_run_name: The header that says whether the request was run.
        not_run_value: Its value if not run; None if any value says so.
    """

    def __init__(self, settings: Settings):
        """Read the header names from `settings`."""
        names = settings.targets.headers
        self.request_id_name = encode_name(names.request_id)
        self.signature_name = encode_name(names.signature)
        self.instance_name = encode_name(names.instance)
        self.not_run_name = names.outcome.encode()
        self.not_run_value = encode_name(settings.targets.not_run_value)

    def echo(self, request: CallerRequest) -> Header | None:
        """Return the header that the response to `request` echoes, if any."""
        if self.request_id_name is None:
            return None
        return Header(self.request_id_name, request.request_id.encode())

    def is_not_run(self, parser: AnswerParser) -> bool:
        """Return whether the target reports that it did not run the request."""
        if parser.status < MIN_FAILURE_STATUS:
            return False
        if self.is_other_instance(parser):
            return True
        mark = find_header(parser.headers, self.not_run_name)
        if self.not_run_value is None:
            return mark is not None
        return mark == self.not_run_value

    def is_other_instance(self, parser: AnswerParser) -> bool:
        """Return whether another instance now has the target's address."""
        named = self.instance_name is not None
        return named and parser.status == OTHER_INSTANCE_STATUS

    def is_valid(self, parser: AnswerParser) -> bool:
        """Return whether this can be the response to the request.

        A success must carry the target's signature header. A response without
        a request id is accepted only if it reports that nothing was run.
        """
        if parser.lacks_echo and not self.is_not_run(parser):
            return False
        if self.signature_name is None:
            return True
        if not MIN_SUCCESS_STATUS <= parser.status < MIN_REDIRECT_STATUS:
            return True
        return find_header(parser.headers, self.signature_name) is not None


def encode_name(name: str | None) -> bytes | None:
    """Return the encoded header name, or None if it is not configured."""
    return None if name is None else name.encode()
