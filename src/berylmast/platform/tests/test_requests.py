"""Guards against wrong statuses and headers, and mismatched responses."""

from dataclasses import replace

import pytest

from ...backends.interface import ResponseClass
from ...errors import RESPONSE_SPECS, ErrorKind, Outcome, Refusal
from ...model import BackendLoad, Headers
from ...tests.fake_parts import make_head
from ..requests import (
    classify_response,
    is_stray,
    make_backend_head,
    make_error_response,
    read_deadline_ms,
    read_load,
    set_caller_service,
)

SEALED_HEADERS = [(b"x-response-seal", b"s"), (b"x-attempt-id", b"r1")]


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_status_that_guarantees_not_run_matches_the_outcome(kind: ErrorKind) -> None:
    """429, 503, 408 and 421 guarantee that the request did not run and never will."""
    response = make_error_response(Refusal(kind, ""))
    guarantees_not_run = response.status in (408, 421, 429, 503)
    if guarantees_not_run:
        assert RESPONSE_SPECS[kind].outcome is Outcome.NOT_RUN
    names = {name for name, _ in response.headers}
    assert (b"retry-after" in names) == (response.status == 503)


def test_retry_after_may_be_a_fraction() -> None:
    refusal = Refusal(ErrorKind.OVERLOADED, "", 0.125)
    assert dict(make_error_response(refusal).headers)[b"retry-after"] == b"0.125"


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, SEALED_HEADERS, ResponseClass.VALID),
        (500, SEALED_HEADERS, ResponseClass.VALID),
        (200, [], ResponseClass.INVALID),
        (500, [], ResponseClass.INVALID),
        (200, [*SEALED_HEADERS, (b"content-encoding", b"gzip")], ResponseClass.INVALID),
        (503, [(b"x-not-executed", b"1")], ResponseClass.NOT_RUN),
        (429, [(b"x-not-executed", b"1")], ResponseClass.NOT_RUN),
        (421, [(b"x-instance-id", b"i-2")], ResponseClass.NOT_RUN),
        (503, SEALED_HEADERS, ResponseClass.VALID),
    ],
)
def test_backend_response_is_classified(
    status: int, headers: Headers, expected: ResponseClass
) -> None:
    assert classify_response(status, headers) is expected


@pytest.mark.parametrize(
    ("headers", "stray"),
    [
        ([(b"x-attempt-id", b"r1")], False),
        ([(b"x-attempt-id", b"r0")], True),
        ([], False),
    ],
)
def test_response_to_another_request_is_detected(headers: Headers, stray: bool) -> None:
    head = replace(make_head(), headers=[(b"x-attempt-id", b"r1")])
    assert is_stray(head, headers) == stray


def test_backend_head_has_remaining_deadline_and_target() -> None:
    headers = [(b"x-deadline-ms", b"2000"), (b"x-target-instance", b"forged")]
    head = replace(make_head(), headers=[*headers, (b"x-attempt-id", b"r1")])
    sent = make_backend_head(head, 1500, "i-1")
    assert sorted(sent.headers) == [
        (b"x-attempt-id", b"r1"),
        (b"x-deadline-ms", b"1500"),
        (b"x-target-instance", b"i-1"),
    ]


def test_caller_service_header_is_overwritten() -> None:
    headers = set_caller_service(
        [(b"x-caller-service", b"forged"), (b"a", b"1")], "orders"
    )
    assert headers == [(b"a", b"1"), (b"x-caller-service", b"orders")]


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"2000", 2000), (b"-5", 0), (b"soon", None), (b"inf", None), (b"1e3", 1000)],
)
def test_deadline_header_is_parsed(value: bytes, expected: int | None) -> None:
    assert read_deadline_ms([(b"x-deadline-ms", value)]) == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", BackendLoad(3, 0, 8, 1.0)),
        (b"3,1,8,500", BackendLoad(3, 1, 8, 5.0)),
        (b"3,1", None),
        (b"a,b,c", None),
    ],
)
def test_load_header_is_parsed(value: bytes, expected: BackendLoad | None) -> None:
    assert read_load([(b"x-server-load", value)]) == expected
