"""The table of results: the state of each cell, and the known failures."""

from collections.abc import Iterable
from pathlib import Path

from .cell import DOCUMENT_STEPS, REQUEST_STEPS
from .invariants import CellViolations

COLUMNS = (*REQUEST_STEPS, *DOCUMENT_STEPS)
NOT_RUN = "not run"
REASON_PAIR = "the faults share no state at this step; see the cells of each fault"
REASON_STALE = "a peer is stale only if isolated before the change is stored"
REASON_REPEAT = "repeats run only at one step of a request and one of a change"
KNOWN_RED_FILE = Path(__file__).parents[2] / "KNOWN-RED.txt"
KNOWN_RED_FIELD_COUNT = 3
"""Fields read of an entry of KNOWN-RED.txt: ``matrix``, the cell, the invariant."""


class ResultTable:
    """Collects the results of all cells; rows are faults, columns are steps."""

    def __init__(self, known_red: frozenset[tuple[str, str]]) -> None:
        self.known_red = known_red
        self._rows: dict[str, dict[str, str]] = {}
        self._known_failures: list[str] = []

    def record(self, row: str, step: str, violations: CellViolations) -> None:
        """Record the state of one cell."""
        failed = [name for name, found in violations.items() if found]
        state = f"FAILED {' '.join(failed)}" if failed else "ok"
        self._rows.setdefault(row, {})[step] = state

    def record_known_failure(self, cell: str, name: str, found: Iterable[str]) -> None:
        """Record a violation that KNOWN-RED.txt lists."""
        self._known_failures.append(f"known red: {cell}, {name}: {'; '.join(found)}")

    def render(self) -> str:
        """Return the table, the known failures and the cells that were not run."""
        width = max(len(row) for row in (*self._rows, "faults")) + 2
        lines = ["faults".ljust(width) + "".join(c.ljust(18) for c in COLUMNS)]
        for row, states in self._rows.items():
            cells = (states.get(column, NOT_RUN).ljust(18) for column in COLUMNS)
            lines.append(row.ljust(width) + "".join(cells))
        return "\n".join([*lines, *self._known_failures, *self._list_not_run()])

    def _list_not_run(self) -> list[str]:
        """Return one line per row with the cells that were not run, and the reason."""
        found = []
        for row, states in self._rows.items():
            missing = [column for column in COLUMNS if column not in states]
            reason = REASON_REPEAT if row.endswith(", twice") else REASON_PAIR
            reason = REASON_STALE if row == "stale peer" else reason
            if missing:
                found.append(f"not run: {row} @ {', '.join(missing)}: {reason}")
        return found


def read_known_red(path: Path = KNOWN_RED_FILE) -> frozenset[tuple[str, str]]:
    """Return the cells and invariants listed as ``matrix | cell | invariant | ...``."""
    if not path.exists():
        return frozenset()
    found = set()
    for line in path.read_text().splitlines():
        fields = [field.strip() for field in line.split("|")]
        if len(fields) >= KNOWN_RED_FIELD_COUNT and fields[0] == "matrix":
            found.add((fields[1], fields[2]))
    return frozenset(found)
