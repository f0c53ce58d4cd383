"""Guards against accepted invalid documents and unclear validation errors."""

from pathlib import Path
from typing import Any

import pyjson5
import pytest

from ..changes import diff_documents
from ..document import DocumentError, make_slice, parse_document
from ..shift_step import ShiftError, set_shift_step

EXAMPLES = sorted((Path(__file__).parents[4] / "examples").glob("*.json5"))

ROUTE = {"idempotent": True, "priority": "urgent", "deadline_ms": 1000}
STEPS = [{"weights": {"old": 1}}, {"weights": {"old": 0.5, "new": 0.5}}]


def make_document(**service: Any) -> dict[str, Any]:
    orders = {
        "hosts": ["orders"],
        "policy": "random",
        "slots": 6,
        "regions": {"old": {"backends": 4}, "new": {"backends": 4}},
        "routes": [ROUTE],
        **service,
    }
    return {"priorities": [{"name": "urgent"}], "services": {"orders": orders}}


def encode(document: object) -> str:
    return pyjson5.encode(document)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_examples_are_valid(path: Path) -> None:
    document = parse_document(path.read_text())
    for service in document.services:
        assert make_slice(document, service, 1).service == service


@pytest.mark.parametrize(
    ("service", "fault"),
    [
        ({"slot": 6}, "services.orders.slot: unknown key; did you mean 'slots'?"),
        ({"slots": 0}, "services.orders.slots: input should be greater than or equal"),
        ({"slots": "six"}, "got 'six'"),
        ({"slots": 7, "connections": 6}, "7 slots exceed the limit of 6 connections"),
        ({"connections": 2000}, "services.orders.connections: input should be less"),
        ({"hosts": []}, "services.orders.hosts"),
        ({"hosts": ["Orders"]}, "'Orders' must be lowercase"),
        ({"policy": "randon"}, "policy: 'randon' is not declared; did you mean"),
        ({"routes": [{**ROUTE, "priority": "urgnt"}]}, "did you mean 'urgent'?"),
        ({"routes": [{**ROUTE, "methods": ["get"]}]}, "'get' must be uppercase"),
        (
            {"routes": [ROUTE, ROUTE]},
            "routes.1: * / is declared in more than one route",
        ),
        ({"routes": [{**ROUTE, "path": "x"}]}, "routes.0.path"),
        ({"routes": [{"priority": "urgent"}]}, "idempotent: required key is missing"),
        ({"shift": {"steps": STEPS, "current": 2}}, "the last step is 1"),
        ({"shift": {"steps": [{"weights": {"old": 0}}]}}, "no region has a weight"),
        ({"shift": {"steps": [{"weights": {"od": 1}}]}}, "did you mean 'old'?"),
        ({"shift": {"steps": [{"weights": {"old": -1}}]}}, "-1.0 is negative"),
        (
            {"regions": {"old": {"backends": 0}}, "shift": {"steps": STEPS[:1]}},
            "steps.0.weights.old: the region has no backend server",
        ),
        (
            {
                "shift": {
                    "steps": [{"weights": {"old": 1}, "starts_at": "2026-12-05T08:00"}]
                }
            },
            "needs a time zone",
        ),
    ],
)
def test_error_names_path_and_allowed_values(
    service: dict[str, Any], fault: str
) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_document(encode(make_document(**service)))
    assert fault in str(caught.value)


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"priorities": [{"name": "urgent", "floor": 1.1}]}, "priorities.0.floor"),
        (
            {
                "priorities": [
                    {"name": "urgent", "floor": 0.6},
                    {"name": "rest", "floor": 0.6},
                ]
            },
            "the floors add up to 120%, at most 100% is allowed",
        ),
        (
            {"priorities": [{"name": "urgent"}, {"name": "rest"}]},
            "priorities.1: no route uses the priority 'rest'",
        ),
        ({"service": {}}, "service: unknown key; did you mean 'services'?"),
        ({"budgets": {"probe_bytes_per_s": -1}}, "budgets.probe_bytes_per_s"),
    ],
)
def test_error_outside_the_services(change: dict[str, Any], fault: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_document(encode({**make_document(), **change}))
    assert fault in str(caught.value)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('{\n  "priorities": [,\n}', "line 2, column"),
        ("", "No JSON data"),
        ("[]", "document: input should be"),
        ("{" + " " * 1_000_000, "at most 1000000 are allowed"),
    ],
)
def test_text_that_is_not_a_document(text: str, fault: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_document(text)
    assert fault in str(caught.value)


@pytest.mark.parametrize(
    ("current", "now_s", "weights"),
    [
        (0, 0, {"old": 1}),
        (1, 0, {"old": 0.5, "new": 0.5}),
        (0, 86_400, {"new": 1}),
        (3, 86_400, {"old": 1}),
    ],
)
def test_active_shift_step_by_index_and_by_start_time(
    current: int, now_s: float, weights: dict[str, float]
) -> None:
    steps = [
        *STEPS,
        {"weights": {"new": 1}, "starts_at": "1970-01-02T00:00:00Z"},
        {"weights": {"old": 1}},
    ]
    shift = {"steps": steps, "current": current}
    document = parse_document(encode(make_document(shift=shift)))
    assert make_slice(document, "orders", 1).get_region_weights(now_s) == weights


SHIFTED_TEXT = """{
  // The catalogue comes first in this text.
  "priorities": [{"name": "urgent"}],
  "services": {
    "orders": {
      "hosts": ["orders"], "policy": "random", "slots": 6,
      "regions": {"old": {"backends": 4}, "new": {"backends": 4}},
      "shift": {"current": 0, "steps": [{"weights": {"old": 1}}, {"weights": {"new": 1}}]},
      "routes": [{"idempotent": true, "priority": "urgent", "deadline_ms": 1}],
    },
    "fittings": {
      "hosts": ["fittings"], "policy": "random", "slots": 6,
      "regions": {"old": {"backends": 4}, "new": {"backends": 4}},
      "shift": {"current": 0, "steps": [{"weights": {"old": 1}}, {"weights": {"new": 1}}]},
      "routes": [{"idempotent": true, "priority": "urgent", "deadline_ms": 1}],
    },
  },
}
"""  # noqa: E501


@pytest.mark.parametrize("service", ["orders", "fittings"])
def test_shift_changes_one_number_and_keeps_comments(service: str) -> None:
    text = set_shift_step(SHIFTED_TEXT, service, 1)
    changes = diff_documents(parse_document(SHIFTED_TEXT), parse_document(text))
    assert [str(c) for c in changes] == [f"services.{service}.shift.current: 0 -> 1"]
    assert "// The catalogue comes first" in text
    assert set_shift_step(text, service, 0) == SHIFTED_TEXT


@pytest.mark.parametrize(("service", "step"), [("orders", 2), ("order", 1)])
def test_shift_of_an_unknown_service_or_step(service: str, step: int) -> None:
    with pytest.raises(ShiftError):
        set_shift_step(SHIFTED_TEXT, service, step)


def test_diff_of_a_new_shift_lists_only_present_values() -> None:
    # An absent "starts_at" must not be listed as "starts_at: None -> None".
    before = parse_document(encode(make_document()))
    after = parse_document(encode(make_document(shift={"steps": STEPS[:1]})))
    assert [str(change) for change in diff_documents(before, after)] == [
        "services.orders.shift.current: None -> 0",
        "services.orders.shift.steps.0.weights.old: None -> 1.0",
    ]
