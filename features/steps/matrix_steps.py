"""Steps of the fault matrix: one cell per scenario, then its invariants by name."""

from behave import given, then, when
from behave.runner import Context

from matrix.cell import run_cell

SEED = 1


@given("a fleet with traffic, a document in force and probes")
def use_fleet(context: Context) -> None:
    """Fix the seed; each cell starts a fleet of its own."""
    context.seed = SEED


@when('"{fault}" strikes "{step}"')
def strike(context: Context, fault: str, step: str) -> None:
    """Run a cell with one fault."""
    _run(context, fault, (fault,), step)


@when('"{first}" then "{second}" strike "{step}"')
def strike_pair(context: Context, first: str, second: str, step: str) -> None:
    """Run a cell whose second fault follows while the first one lasts."""
    _run(context, f"{first} + {second}", (first, second), step)


@when('"{fault}" strikes "{step}" twice')
def strike_twice(context: Context, fault: str, step: str) -> None:
    """Run a cell whose fault strikes again after its end."""
    _run(context, f"{fault}, twice", (fault, fault), step)


def _run(context: Context, row: str, faults: tuple[str, ...], step: str) -> None:
    context.cell = f"{row} @ {step}"
    context.verdict = {"cell": ["ended with an exception"]}
    try:
        context.verdict = run_cell(faults, step, context.seed)
    finally:
        context.table_of_cells.record(row, step, context.verdict)


@then("{name} holds: {promise}")
def check_invariant(context: Context, name: str, promise: str) -> None:
    """Fail on a violation, except where KNOWN-RED.txt lists cell and invariant."""
    found = context.verdict[name]
    listed = (context.cell, name) in context.table_of_cells.known_red
    if listed:
        assert found, f"{context.cell}: {name} holds again; remove it from KNOWN-RED"
        context.table_of_cells.pass_over(context.cell, name, found)
        return
    assert not found, f"{context.cell}, seed {context.seed}: {name}: {found[:5]}"
