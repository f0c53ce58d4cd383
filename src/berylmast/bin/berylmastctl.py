"""Operators' tool for documents, daemons and the fleet.

Exit codes: 0 success, 2 wrong usage or invalid input, 3 conflict, 4 outcome unknown,
5 platform or daemon unreachable, 6 not found, 7 a daemon uses an older document than
the accepted one.
"""

from cyclopts import App

from ._daemons import daemons_app
from ._documents import documents_app
from ._status import fleet_app

app = App(name="berylmastctl", help=__doc__)
app.command(documents_app, name="*")
app.command(daemons_app, name="*")
app.command(fleet_app, name="*")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
