"""What commands print and how they exit."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Literal, NoReturn

Output = Literal["text", "json"]


class Exit(IntEnum):
    """Exit codes of berylmastctl; wrong usage of the command line is INVALID too."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    LAGGING = 7


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command as text and as data for JSON."""

    code: Exit
    text: str
    data: object


def finish(report: Report, output: Output) -> NoReturn:
    """Print a report and exit with its code; text of a failure goes to stderr."""
    if output == "json":
        print(json.dumps(report.data, indent=2))
    else:
        stream = sys.stdout if report.code is Exit.OK else sys.stderr
        print(report.text, file=stream)
    sys.exit(report.code)


def make_error(code: Exit, message: str) -> Report:
    """Return the report of a failure."""
    return Report(code, message, {"error": code.name.lower(), "message": message})


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows in columns as wide as their longest cell."""
    cells = [list(header), *([_format(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format(cell: object) -> str:
    if cell is None:
        return "-"
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)
