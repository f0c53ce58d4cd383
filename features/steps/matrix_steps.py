"""Steps of the fault matrix: each scenario runs one cell and checks its invariants."""

from behave import given, then, when
from behave.runner import Context

from matrix.cell import run_cell

SEED = 1


@given("a running fleet with traffic, probes and an active document")
def set_seed(context: Context) -> None:
    """Set the seed; the When step starts the fleet of the cell."""
    context.seed = SEED


@when('fault "{fault}" is injected at step "{step}"')
def inject(context: Context, fault: str, step: str) -> None:
    """Run a cell with one fault."""
    _run(context, fault, (fault,), step)


@when('fault "{first}" and then "{second}" are injected at step "{step}"')
def inject_pair(context: Context, first: str, second: str, step: str) -> None:
    """Run a cell whose second fault begins shortly after the first one."""
    _run(context, f"{first} + {second}", (first, second), step)


@when('fault "{fault}" is injected twice at step "{step}"')
def inject_twice(context: Context, fault: str, step: str) -> None:
    """Run a cell whose fault is injected again after it has ended."""
    _run(context, f"{fault}, twice", (fault, fault), step)


def _run(context: Context, row: str, faults: tuple[str, ...], step: str) -> None:
    context.cell = f"{row} @ {step}"
    context.violations = {"cell": ["ended with an exception"]}
    try:
        context.violations = run_cell(faults, step, context.seed)
    finally:
        context.result_table.record(row, step, context.violations)


@then("{name} holds: {description}")
def check_invariant(context: Context, name: str, description: str) -> None:
    """Fail if an invariant was violated.

    If KNOWN-RED.txt lists it for this cell, fail if it holds.
    """
    found = context.violations[name]
    listed = (context.cell, name) in context.result_table.known_red
    if listed:
        assert found, f"{context.cell}: {name} holds now; remove it from KNOWN-RED"
        context.result_table.record_known_failure(context.cell, name, found)
        return
    assert not found, f"{context.cell}, seed {context.seed}: {name}: {found[:5]}"
