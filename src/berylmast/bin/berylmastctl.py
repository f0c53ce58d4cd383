"""Operators' tool for documents, daemons and the fleet.

Exit codes: 0 success, 2 wrong usage or invalid input, 3 conflict, 4 outcome unknown,
5 platform or daemon unreachable, 6 not found, 7 a daemon uses an older document than
the accepted one.
"""

from cyclopts import App

from ._daemons import daemons
from ._documents import documents
from ._status import fleet

app = App(name="berylmastctl", help=__doc__)
app.command(documents, name="*")
app.command(daemons, name="*")
app.command(fleet, name="*")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
