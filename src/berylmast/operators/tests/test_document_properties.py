"""Guards against documents that crash the parser or lose services in conversion."""

import copy
import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..._jsonc import decode_jsonc
from ...own_interface import parse_revision
from ..document import DocumentError, make_slice, parse_document
from .test_document import EXAMPLES, STEPS, make_document

SHIFTED = make_document(shift={"steps": STEPS, "current": 1})
VALID = [SHIFTED, *(decode_jsonc(path.read_text()) for path in EXAMPLES)]

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([0, 1, -1, 0.5, 10**30, math.inf, math.nan])
    | st.text(max_size=8)
    | st.sampled_from(["\ud800", "urgent", "old", "orders", "1970-01-02T00:00:00Z"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def check(text: str) -> None:
    """Check that a text converts completely, or is rejected with a message."""
    found = parse_revision({"version": 7, "text": text})
    try:
        document = parse_document(text)
    except DocumentError as exc:
        assert str(exc).strip()
        assert found.is_err()
        return
    parts = found.unwrap().services
    assert set(parts) == set(document.services)
    for service, part in parts.items():
        assert part == make_slice(document, service, 7)
        for step in part.shift:
            assert math.isfinite(sum(step.weights.values())), (
                "the weights do not allow a region to be chosen"
            )


@given(VALUES)
def test_any_value_is_a_document_or_a_fault(value: Any) -> None:
    check(json.dumps(value))


@given(st.text(st.characters(codec=None)) | st.text(alphabet='{}[]":,\\/*1e+ \n'))
def test_any_text_is_a_document_or_a_fault(text: str) -> None:
    check(text)


@given(st.sampled_from(VALID), st.data())
def test_mutated_document_is_a_document_or_a_fault(valid: Any, data: Any) -> None:
    document = copy.deepcopy(valid)
    for _ in range(data.draw(st.integers(0, 2))):
        mutate(document, data)
    check(json.dumps(document))


def mutate(document: Any, data: Any) -> None:
    """Replace, remove or add one randomly chosen value of a document."""
    place = document
    while True:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        if not keys:
            return
        key = data.draw(st.sampled_from(keys))
        inner = place[key]
        if not isinstance(inner, dict | list) or data.draw(st.integers(0, 5)) == 0:
            break
        place = inner
    match data.draw(st.sampled_from(["replace", "remove", "add"])):
        case "replace":
            place[key] = data.draw(VALUES)
        case "remove":
            del place[key]
        case _ if isinstance(place, dict):
            place[data.draw(st.text(max_size=8))] = copy.deepcopy(inner)
        case _:
            place.append(copy.deepcopy(inner))


@pytest.mark.parametrize(
    ("service", "fault"),
    [
        ({"slots": 10**30}, "services.orders.slots"),
        ({"shift": {"steps": [{"weights": {"old": math.inf}}]}}, "finite number"),
        ({"shift": {"steps": [{"weights": {"old": math.nan}}]}}, "finite number"),
        (
            {"shift": {"steps": [{"weights": {"old": 1e308, "new": 1e308}}]}},
            "the sum of the weights is too large",
        ),
    ],
)
def test_number_that_no_daemon_can_use_is_a_fault(
    service: dict[str, Any], fault: str
) -> None:
    """If accepted, such a number makes every request of the service fail."""
    with pytest.raises(DocumentError) as caught:
        parse_document(json.dumps(make_document(**service)))
    assert fault in str(caught.value)


@pytest.mark.parametrize("valid", VALID, ids=["shifted", *(p.stem for p in EXAMPLES)])
def test_valid_document_reaches_every_service(valid: Any) -> None:
    text = json.dumps(valid)
    parse_document(text)
    check(text)


def list_places(value: Any) -> list[tuple[Any, Any]]:
    """Return all (container, key) pairs inside a value, at any depth."""
    keys = list(value) if isinstance(value, dict) else range(len(value))
    found = [(value, key) for key in keys]
    inner = [value[key] for key in keys if isinstance(value[key], dict | list)]
    return found + [place for item in inner for place in list_places(item)]


@pytest.mark.parametrize("value", [None, -1, 9, 0.5, "", "x", [], {}, [[]], math.inf])
def test_each_value_replaced_is_a_document_or_a_fault(value: Any) -> None:
    for number in range(len(list_places(SHIFTED))):
        document = copy.deepcopy(SHIFTED)
        place, key = list_places(document)[number]
        place[key] = value
        check(json.dumps(document))
