"""behave hooks of the fault matrix: collect the results and print them at the end."""

from behave.runner import Context

from matrix.result_table import ResultTable, read_known_red


def before_all(context: Context) -> None:
    """Create the table of results."""
    context.result_table = ResultTable(read_known_red())


def after_all(context: Context) -> None:
    """Print the table of results."""
    print(f"\n{context.result_table.render()}")
