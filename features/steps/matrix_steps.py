"""Steps of the fault matrix: each scenario runs one cell and checks its invariants."""

from behave import given, then, when
from behave.runner import Context

from matrix.cell import run_cell

SEED = 1


@given("a running fleet with traffic, probes and an active document")
def use_fleet(context: Context) -> None:
    """Set the seed; the When step starts the fleet of the cell."""
    context.seed = SEED


@when('fault "{fault}" is injected at step "{step}"')
def strike(context: Context, fault: str, step: str) -> None:
    """Run a cell with one fault."""
    _run(context, fault, (fault,), step)


@when('fault "{first}" and then "{second}" are injected at step "{step}"')
def strike_pair(context: Context, first: str, second: str, step: str) -> None:
    """Run a cell whose second fault begins shortly after the first one."""
    _run(context, f"{first} + {second}", (first, second), step)


@when('fault "{fault}" is injected twice at step "{step}"')
def strike_twice(context: Context, fault: str, step: str) -> None:
    """Run a cell whose fault is injected again after it has ended."""
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
    """Fail if an invariant was violated.

    If KNOWN-RED.txt lists it for this cell, fail if it holds.
    """
    found = context.verdict[name]
    listed = (context.cell, name) in context.table_of_cells.known_red
    if listed:
        assert found, f"{context.cell}: {name} holds now; remove it from KNOWN-RED"
        context.table_of_cells.pass_over(context.cell, name, found)
        return
    assert not found, f"{context.cell}, seed {context.seed}: {name}: {found[:5]}"
