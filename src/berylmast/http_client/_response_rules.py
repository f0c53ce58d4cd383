"""Decides what counts as a response (RFC 9110, RFC 9112).

Fault: a server in trouble sends bytes that resemble a response, or resets a connection
whose end also ends the body. A caller must not get either as an answer. The checks of
the parser depend on its version, so every rule that callers rely on is applied here:

- version 1.0 or 1.1 (RFC 9112, 2.3), status from 100 to 599 (RFC 9110, 15), a reason
  without control characters (RFC 9112, 4);
- field names are tokens, field values have no control characters but the tab (RFC 9110,
  5.1 and 5.5), in the head as in the trailers;
- the body is delimited in one way: ``chunked`` once and alone, or one length, or the
  end of the connection (RFC 9112, 6.1 to 6.3);
- the end of the connection ends a body only if the connection did not fail before,
  neither while receiving nor while sending (RFC 9112, 8).
"""

import re

from ..model import Headers

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599

MAX_SKIPPED_RESPONSES = 32
"""Limit on the informational and stray responses before the expected one."""

_VERSIONS = frozenset({"1.0", "1.1"})
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TEXT = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_DIGITS = re.compile(rb"[0-9]+")


def find_status_line_error(version: str, status: int, reason: bytes) -> str | None:
    """Return what is wrong with a status line, None if it is valid."""
    if version not in _VERSIONS:
        return f"HTTP version {version}"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status:03d}"
    if not _TEXT.fullmatch(reason):
        return "control character in the reason"
    return None


def find_field_error(name: bytes, value: bytes) -> str | None:
    """Return what is wrong with a header or trailer field, None if it is valid."""
    if not _TOKEN.fullmatch(name):
        return f"field name {name[:40]!r}"
    if not _TEXT.fullmatch(value):
        return f"control character in the field {name[:40]!r}"
    return None


def find_framing_error(version: str, headers: Headers) -> str | None:
    """Return why the length of a body is ambiguous, None if it is not.

    Names are in lower case.
    """
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    lengths = [value for name, value in headers if name == b"content-length"]
    if codings and (lengths or version == "1.0"):
        return "transfer coding beside a length or in HTTP/1.0"
    if codings and [coding.lower() for coding in codings] != [b"chunked"]:
        return f"transfer coding {codings[0][:40]!r}"
    if len(lengths) > 1 or not all(map(_DIGITS.fullmatch, lengths)):
        return "not exactly one length"
    return None
