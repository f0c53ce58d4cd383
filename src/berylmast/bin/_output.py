"""Output formats and exit codes of the commands."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Literal, NoReturn

OutputFormat = Literal["text", "json"]


class ExitCode(IntEnum):
    """Exit codes of berylmastctl; INVALID includes wrong usage of the command line."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    LAGGING = 7


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Result of a command: exit code, text output and data for JSON output."""

    code: ExitCode
    text: str
    data: object


def print_and_exit(result: CommandResult, output: OutputFormat) -> NoReturn:
    """Print a result and exit with its code.

    Text goes to stderr unless the code is OK; JSON always goes to stdout.
    """
    if output == "json":
        print(json.dumps(result.data, indent=2))
    else:
        stream = sys.stdout if result.code is ExitCode.OK else sys.stderr
        print(result.text, file=stream)
    sys.exit(result.code)


def make_error_result(code: ExitCode, message: str) -> CommandResult:
    """Return the result of a failed command."""
    return CommandResult(
        code, message, {"error": code.name.lower(), "message": message}
    )


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a text table whose columns are as wide as their longest cell."""
    cells = [list(header), *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(cell: object) -> str:
    if cell is None:
        return "-"
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)
