"""Set-up of the matrix: one table per run, printed at its end."""

from behave.runner import Context

from matrix.table import Table, read_known_red


def before_all(context: Context) -> None:
    """Start the table."""
    context.table_of_cells = Table(read_known_red())


def after_all(context: Context) -> None:
    """Print the table."""
    print(f"\n{context.table_of_cells.render()}")
