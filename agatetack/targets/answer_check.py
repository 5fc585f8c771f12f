"""Tell a target's own answer to a request from anything else."""

from agatetack.messages import CallerRequest, Header, find_header
from agatetack.settings.model import Settings
from agatetack.targets.parser import AnswerParser

OTHER_INSTANCE_STATUS = 421
"""The address belongs to another instance now (RFC 9110, 15.5.20)."""

LEAST_FAILURE = 400
LEAST_SUCCESS = 200
LEAST_REDIRECT = 300


class AnswerCheck:
    """What the settings say of targets' answers.

    Attributes:
        request_id_name: The header with the request's id, or None.
        signature_name: The header of each answer of a target, or None.
        instance_name: The header that names an instance, or None.
    """

    def __init__(self, settings: Settings):
        """Read the names of headers."""
        names = settings.targets.headers
        self.request_id_name = encode_name(names.request_id)
        self.signature_name = encode_name(names.signature)
        self.instance_name = encode_name(names.instance)
        self.not_run_name = names.outcome.encode()
        self.not_run_value = encode_name(settings.targets.not_run_value)

    def echo(self, request: CallerRequest) -> Header | None:
        """Return the header that the answer to `request` bears, if any."""
        if self.request_id_name is None:
            return None
        return Header(self.request_id_name, request.request_id.encode())

    def is_not_run(self, parser: AnswerParser) -> bool:
        """Return whether the target says that it did not run the request."""
        if parser.status < LEAST_FAILURE:
            return False
        if self.is_other_instance(parser):
            return True
        mark = find_header(parser.headers, self.not_run_name)
        if self.not_run_value is None:
            return mark is not None
        return mark == self.not_run_value

    def is_other_instance(self, parser: AnswerParser) -> bool:
        """Return whether the address belongs to another instance now."""
        named = self.instance_name is not None
        return named and parser.status == OTHER_INSTANCE_STATUS

    def is_sound(self, parser: AnswerParser) -> bool:
        """Return whether this can be the answer to the request.

        A success needs the target's signature. A failure that says nothing
        of a request is taken only if it says that none was run.
        """
        if parser.unnamed and not self.is_not_run(parser):
            return False
        if self.signature_name is None:
            return True
        if not LEAST_SUCCESS <= parser.status < LEAST_REDIRECT:
            return True
        return find_header(parser.headers, self.signature_name) is not None


def encode_name(name: str | None) -> bytes | None:
    """Return a header's name, or None where the settings give none."""
    return None if name is None else name.encode()
