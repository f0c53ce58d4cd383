"""Checked types of the names and numbers that other programs send.

They go on into headers, paths, frames and records. A value that passes here can be
encoded in each of them.
"""

from typing import Annotated

from pydantic import Field, StringConstraints

MAX_ID_LENGTH = 128
"""Maximum number of characters of an id."""

MAX_EXACT_INT = 2**53 - 1
"""The largest whole number that JSON carries exactly in every implementation."""

MAX_FRAME_INT = 2**63 - 1
"""The largest whole number that frames between daemons carry with a sign."""

Identifier = Annotated[
    str, StringConstraints(min_length=1, max_length=MAX_ID_LENGTH, pattern=r"^[!-~]+$")
]
"""An id of printable ASCII characters without spaces."""

ExactInt = Annotated[int, Field(ge=0, le=MAX_EXACT_INT)]
"""A whole number from 0 on that JSON carries exactly."""

FrameInt = Annotated[int, Field(ge=0, le=MAX_FRAME_INT)]
"""A whole number from 0 on that a frame carries, such as a daemon's incarnation."""

Name = Annotated[str, StringConstraints(min_length=1, max_length=MAX_ID_LENGTH)]
"""A name in settings and records. Lone surrogates, which can't be encoded, are none."""

TokenCount = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False)]
"""A number of tokens, or tokens per second. An infinite one would lift a limit."""

FinalStatus = Annotated[int, Field(ge=200, le=599)]
"""The status of a response that a caller may get (RFC 9110, section 15)."""

Host = Annotated[
    str, StringConstraints(min_length=1, max_length=253, pattern=r"^[0-9A-Za-z._:-]+$")
]
"""A host name or IP address to connect to."""

Port = Annotated[int, Field(ge=1, le=65_535)]
"""A TCP port to connect to."""
