"""Test that each copy of a request asks for what the caller asked for."""

import dataclasses

import httptools
import hypothesis
import trio
from hypothesis import strategies as st
from returns.result import Failure

from agatetack.clock import SystemClock
from agatetack.deferred.records import (
    decode_batch,
    encode_batch,
    load_request,
    make_submission,
)
from agatetack.download.resume import ResumingBody
from agatetack.download.test_resume import Piece
from agatetack.forwarding.messages import encode_request, to_request
from agatetack.generated.deferred.ttypes import Entry
from agatetack.generated.forwarding.ttypes import ForwardedRequest
from agatetack.ids import AttemptId, TicketId
from agatetack.messages import Answer, AnswerCut, BytesBody, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason, refuse
from agatetack.settings.defaults import default_settings
from agatetack.targets.client import Attempt
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState
from agatetack.testing.targets import make_request, make_route
from agatetack.thrift_codec import decode

TOKEN = st.text("abcXYZ019-_", min_size=1, max_size=12).map(str.encode)
PATH = st.text("abz09-._~%/?&=+;,:@!$'()*", max_size=40).map(
    lambda text: b"/" + text.encode()
)
METHOD = st.sampled_from([b"GET", b"HEAD", b"POST", b"PUT", b"DELETE"])
HEADERS = st.lists(st.builds(Header, TOKEN.map(b"x-".__add__), TOKEN))

SETTINGS = hypothesis.settings(
    max_examples=100, derandomize=True, deadline=None
)


class ParsedRequest:
    """What a target reads; the methods are called by httptools."""

    def __init__(self, data):
        self.url, self.headers, self.body = b"", [], b""
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(data)

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers.append(Header(name, value))

    def on_body(self, body):
        self.body += body


class Sent:
    """Keeps the requests that a download makes, and refuses them."""

    def __init__(self):
        self.requests = []

    async def run(self, route, request, hedged):
        self.requests.append(request)
        return Failure(refuse(RefusalReason.NO_TARGET, "none"))


def forwarded(request, content):
    message = encode_request(1, request, content)
    return to_request(decode(ForwardedRequest, message))


def deferred(request, content):
    clock = SystemClock()
    submission = make_submission(
        TicketId("0-t"), b"i", make_route(), request, content, clock
    )
    [entry] = decode_batch(encode_batch([Entry(submission=submission)]))
    return load_request(entry.submission, request.deadline, clock)


async def resumed(request):
    """Return the requests for the rest of a download that was cut."""
    sent = Sent()
    headers = [Header(b"etag", b'"a"')]
    answer = Answer(200, headers, Piece(b"x" * 100, 10, 100))
    body = ResumingBody(make_route(), request, answer, sent, Metrics())
    try:
        while await body.receive():
            pass
    except AnswerCut:
        return sent.requests
    raise AssertionError("the download was not cut")


# Guards against targets that run what nobody sent.
@SETTINGS
@hypothesis.given(METHOD, PATH, TOKEN, HEADERS, st.binary(max_size=50))
def test_each_copy_has_method_path_query_headers_and_body(
    method, path, host, headers, content
):
    async def check():
        request = dataclasses.replace(
            make_request(),
            method=method,
            path=path,
            host=host,
            headers=headers,
            body=BytesBody(content),
        )
        copies = [forwarded(request, content), deferred(request, content)]
        for copy in copies:
            assert (copy.method, copy.path, copy.host) == (method, path, host)
            assert copy.headers == headers
            assert copy.body.content == content
        for copy in await resumed(request):
            assert (copy.method, content) == (b"GET", b"")
            assert (copy.path, copy.host) == (path, host)
            added = [h for h in copy.headers if h not in headers]
            assert {h.name for h in added} == {b"range", b"if-range"}
            assert [h for h in copy.headers if h in headers] == headers
            copies.append(copy)
        settings = default_settings()
        client = HttpTargetClient(settings, TargetRegistry(settings, Metrics()))
        target = TargetState("t", "s", "127.0.0.1", 1, "d")
        # A second send and a hedge pass on the same request once more.
        for number, copy in enumerate([request, request, *copies]):
            attempt = Attempt(
                AttemptId(f"a{number}"), copy, target, copy.deadline
            )
            head = client._request_head(attempt)
            read = ParsedRequest(head + copy.body.content)
            assert read.parser.get_method() == method
            assert (read.url, read.body) == (path, content)
            assert [h for h in read.headers if h in headers] == headers

    trio.run(check)
