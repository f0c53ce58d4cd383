"""Guards against wrong statuses and headers, and mismatched responses."""

from dataclasses import replace

import pytest

from ...backends.cold_state import ColdStatement
from ...backends.interface import ResponseClass
from ...errors import RESPONSE_SPECS, ErrorKind, Outcome, Refusal
from ...model import BackendLoad, BackendNotice, Headers
from ...tests.fake_parts import make_head
from ..requests import (
    MAX_DEADLINE_MS,
    classify_response,
    is_stray,
    make_backend_head,
    make_error_response,
    read_cold_statement,
    read_deadline_ms,
    read_health_notice,
    read_load,
    read_notice,
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
    assert (b"retry-after" in names) == (response.status in (429, 503))


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
    [
        (b"2000", 2000),
        (b"-5", 0),
        (b"soon", None),
        (b"inf", None),
        (b"nan", None),
        (b"1e3", 1000),
        (b"1e20", MAX_DEADLINE_MS),
        (b"-1e20", 0),
    ],
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
        # A slowdown of 0 ended the daemon with a division by zero.
        (b"3,0,8,0", None),
        (b"3,0,8,-100", None),
        (b"3,0,8,nan", None),
        (b"3,0,8,inf", None),
    ],
)
def test_load_header_is_parsed(value: bytes, expected: BackendLoad | None) -> None:
    assert read_load([(b"x-server-load", value)]) == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"9.2", BackendNotice(9.2)),
        (b" 3 ", BackendNotice(3.0)),
        (b"0", BackendNotice(0.0)),
        (b"-1", BackendNotice(invalid_limit=True)),
        (b"inf", BackendNotice(invalid_limit=True)),
        (b"nan", BackendNotice(invalid_limit=True)),
        (b"1e999", BackendNotice(invalid_limit=True)),
        (b"many", BackendNotice(invalid_limit=True)),
        (b"\xff", BackendNotice(invalid_limit=True)),
        (b"", BackendNotice()),
        (None, BackendNotice()),
    ],
)
def test_stated_rate_limit_is_read(
    value: bytes | None, expected: BackendNotice
) -> None:
    limit = [] if value is None else [(b"server-limit", value)]
    assert read_notice(200, [*SEALED_HEADERS, *limit]) == expected


@pytest.mark.parametrize(
    ("value", "leaving"),
    [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False), (b"yes", False)],
)
def test_stated_leaving_is_read(value: bytes, leaving: bool) -> None:
    notice = read_notice(200, [*SEALED_HEADERS, (b"server-leaving", value)])
    assert notice == BackendNotice(leaving=leaving)


@pytest.mark.parametrize(
    ("status", "headers", "known"),
    [
        (200, SEALED_HEADERS, True),
        (500, SEALED_HEADERS, True),
        (503, [(b"x-not-executed", b"1")], True),
        (421, [(b"x-instance-id", b"i-2")], False),
        (200, [], False),
    ],
)
def test_notice_of_another_or_untrusted_server_is_ignored(
    status: int, headers: Headers, known: bool
) -> None:
    notice = read_notice(status, [*headers, (b"server-limit", b"5")])
    assert (notice == BackendNotice(5.0)) == known
    assert (notice is None) == (not known)


@pytest.mark.parametrize(
    ("sender", "known"), [(b"i-1", True), (b"i-2", False), (b"", True)]
)
def test_health_notice_of_another_server_is_ignored(sender: bytes, known: bool) -> None:
    headers = [(b"x-instance-id", sender), (b"server-limit", b"5")]
    assert (read_health_notice("i-1", headers) is not None) == known


@pytest.mark.parametrize(
    ("status", "sender", "cold_ms", "statement"),
    [
        (200, b"i-1", b"2500", ColdStatement(2.5)),
        (200, b"i-1", b"0", ColdStatement(0.0)),
        (503, b"i-1", b"2500", ColdStatement(2.5)),
        (200, b"", b"2500", ColdStatement(2.5)),
        (200, b"i-1", None, ColdStatement(0.0, implied=True)),
        (503, b"i-1", None, ColdStatement()),
        (200, b"", None, ColdStatement()),
        (200, b"i-2", b"0", ColdStatement()),
        (200, b"i-2", b"2500", ColdStatement()),
        (200, b"i-1", b"-1", ColdStatement(invalid=True)),
        (200, b"i-1", b"inf", ColdStatement(invalid=True)),
        (200, b"i-1", b"nan", ColdStatement(invalid=True)),
        (200, b"i-1", b"1e999", ColdStatement(invalid=True)),
        (200, b"i-1", b"2500ms", ColdStatement(invalid=True)),
        (200, b"i-1", b"\xff", ColdStatement(invalid=True)),
    ],
)
def test_cold_statement_is_read_from_usable_responses_of_the_server(
    status: int, sender: bytes, cold_ms: bytes | None, statement: ColdStatement
) -> None:
    """A value that can't be used must not make a cold server look warm."""
    headers = [(b"x-instance-id", sender)]
    if cold_ms is not None:
        headers.append((b"x-cold-ms", cold_ms))
    assert read_cold_statement("i-1", status, headers) == statement
