"""Define what can go wrong at a fake target."""

import dataclasses
import enum

from agatetack.testing.export_content import FIRST_ETAG


class Silence(enum.Enum):
    """What a connection that went silent loses."""

    REQUEST_LOST = "request-lost"
    ANSWER_LOST = "answer-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessBytes:
    """What is sent in place of an answer until the connection closes.

    Attributes:
        first: Sent once.
        part: Sent again and again.
        pause_seconds: Time between two parts.
        at_load_path: Whether it is sent at the load path only; else at all
            others.
        answers: Whether the first lines of an answer to the request come
            before; without its length.
    """

    first: bytes
    part: bytes
    pause_seconds: float = 0.0
    at_load_path: bool = False
    answers: bool = False


class ConnectionEnd(enum.Enum):
    """How a connection ends after the bytes of a raw answer."""

    ORDERLY = "orderly"
    RESET = "reset"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """Bytes that are sent in place of an answer.

    Attributes:
        parts: Sent one after another, with a short pause after each.
        end: How the connection ends after them.
        to_ranges: Sent instead for requests for a range; None sends `parts`.
        at_load_path: Whether they are sent at the load path only; else at all
            others.
    """

    parts: tuple[bytes, ...]
    end: ConnectionEnd = ConnectionEnd.ORDERLY
    to_ranges: tuple[bytes, ...] | None = None
    at_load_path: bool = False


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Faults in force at one fake target; tests change them at any time.

    Attributes:
        draining: Whether it says that it is leaving; it still answers.
        refusing: Whether each request is shed with the not-run mark and its
            connection closed, as a target does late in its drain.
        cold_until: When the cold start ends, on trio's clock, in seconds.
        cold_factor: How many times longer a request takes while cold.
        slow_factor: How many times longer a request takes.
        shed_above: Requests running or waiting above which it sheds, or None.
        silent_above: Requests running or waiting above which it answers
            neither a request nor any later one on that connection, or None.
        shed_marked: Whether a shed answer carries the not-run mark.
        fail_status: Status that every request gets at once, or None.
        frozen: Whether it stands still; what was sent is handled afterwards.
        crash_mark: Bytes in a path, header or body that crash it, or None.
        restart_seconds: How long a crash lasts; None waits for `restart`.
        reported_in_flight: What load reports say instead of the truth.
        reported_state: State that reports say instead of the truth.
        report_lag_seconds: How old the in-flight figure of reports is.
        answer_delay_seconds: How late an answer is sent after its work.
        answer_lost: Whether connections close in place of an answer.
        stray_bytes: Sent after each answer, although nobody asked.
        extra_answer: Whether a whole answer to another request follows each.
        cut_after_bytes: Body bytes after which the connection closes.
        clean_cut: Whether a cut closes with FIN; otherwise with a reset.
        etag: Validator of exports, quoted; change it to change the content.
        ranges: Whether Range headers are honoured.
        wrong_range_bytes: How far a partial answer starts off its range.
        chunked: Whether answers are chunked and announce no length.
        bytes_per_second: Speed of exports, or 0 for no limit.
        turning_away: Whether each request is shed with the not-run mark, and
            its connection kept; load reports go on as if nothing were wrong.
        rejected_share: Share of the request ids that it sheds when they come
            first, with the not-run mark.
        copy_after_seconds: How much later it sends what it sheds once more;
            None for never.
        load_path_turned_away: Whether that holds for the load path, too.
        retry_after: Values of the header that says when to come back, one
            field for each, on answers to requests that it sheds.
        leaving: Whether each answer bears the header that says so.
        rate_limits: Values of the header that names the requests a second it
            takes, one field for each.
        rate_limit_on_load_path: Whether answers of the load path bear it too.
        endless: Sent in place of answers, or None.
        raw_answer: Sent in place of answers, or None.
    """

    draining: bool = False
    refusing: bool = False
    cold_until: float = 0.0
    cold_factor: float = 10.0
    slow_factor: float = 1.0
    shed_above: int | None = None
    silent_above: int | None = None
    shed_marked: bool = True
    fail_status: int | None = None
    frozen: bool = False
    crash_mark: bytes | None = None
    restart_seconds: float | None = None
    reported_in_flight: int | None = None
    reported_state: str | None = None
    report_lag_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    answer_lost: bool = False
    stray_bytes: bytes = b""
    extra_answer: bool = False
    cut_after_bytes: int | None = None
    clean_cut: bool = True
    etag: bytes = FIRST_ETAG
    ranges: bool = True
    wrong_range_bytes: int = 0
    chunked: bool = False
    bytes_per_second: float = 0.0
    turning_away: bool = False
    rejected_share: float = 0.0
    copy_after_seconds: float | None = None
    load_path_turned_away: bool = False
    retry_after: tuple[bytes, ...] = ()
    leaving: bool = False
    rate_limits: tuple[bytes, ...] = ()
    rate_limit_on_load_path: bool = False
    endless: EndlessBytes | None = None
    raw_answer: RawAnswer | None = None
