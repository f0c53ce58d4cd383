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

SHIFTED_DOCUMENT = make_document(shift={"steps": STEPS, "current": 1})
VALID_DOCUMENTS = [
    SHIFTED_DOCUMENT,
    *(decode_jsonc(path.read_text()) for path in EXAMPLES),
]

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


def check_text(text: str) -> None:
    """Check that a text converts completely, or is rejected with a message."""
    found = parse_revision({"version": 7, "text": text})
    try:
        document = parse_document(text)
    except DocumentError as exc:
        assert str(exc).strip()
        assert found.is_err()
        return
    slices = found.unwrap().services
    assert set(slices) == set(document.services)
    for service, service_slice in slices.items():
        assert service_slice == make_slice(document, service, 7)
        for step in service_slice.shift:
            assert math.isfinite(sum(step.weights.values())), (
                "the weights do not allow a region to be chosen"
            )


@given(VALUES)
def test_any_value_is_converted_or_rejected(value: Any) -> None:
    check_text(json.dumps(value))


@given(st.text(st.characters(codec=None)) | st.text(alphabet='{}[]":,\\/*1e+ \n'))
def test_any_text_is_converted_or_rejected(text: str) -> None:
    check_text(text)


@given(st.sampled_from(VALID_DOCUMENTS), st.data())
def test_mutated_document_is_converted_or_rejected(valid: Any, data: Any) -> None:
    document = copy.deepcopy(valid)
    for _ in range(data.draw(st.integers(0, 2))):
        mutate(document, data)
    check_text(json.dumps(document))


def mutate(document: Any, data: Any) -> None:
    """Replace, remove or add one randomly chosen value of a document."""
    container = document
    while True:
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        if not keys:
            return
        key = data.draw(st.sampled_from(keys))
        inner = container[key]
        if not isinstance(inner, dict | list) or data.draw(st.integers(0, 5)) == 0:
            break
        container = inner
    match data.draw(st.sampled_from(["replace", "remove", "add"])):
        case "replace":
            container[key] = data.draw(VALUES)
        case "remove":
            del container[key]
        case _ if isinstance(container, dict):
            container[data.draw(st.text(max_size=8))] = copy.deepcopy(inner)
        case _:
            container.append(copy.deepcopy(inner))


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
def test_unusable_number_is_rejected(service: dict[str, Any], fault: str) -> None:
    """If accepted, such a number makes every request of the service fail."""
    with pytest.raises(DocumentError) as caught:
        parse_document(json.dumps(make_document(**service)))
    assert fault in str(caught.value)


@pytest.mark.parametrize(
    "valid", VALID_DOCUMENTS, ids=["shifted", *(p.stem for p in EXAMPLES)]
)
def test_valid_document_is_converted_for_every_service(valid: Any) -> None:
    text = json.dumps(valid)
    parse_document(text)
    check_text(text)


def list_container_keys(value: Any) -> list[tuple[Any, Any]]:
    """Return all (container, key) pairs inside a value, at any depth."""
    keys = list(value) if isinstance(value, dict) else range(len(value))
    found = [(value, key) for key in keys]
    inner = [value[key] for key in keys if isinstance(value[key], dict | list)]
    return found + [pair for item in inner for pair in list_container_keys(item)]


@pytest.mark.parametrize("value", [None, -1, 9, 0.5, "", "x", [], {}, [[]], math.inf])
def test_document_with_one_replaced_value_is_converted_or_rejected(value: Any) -> None:
    for number in range(len(list_container_keys(SHIFTED_DOCUMENT))):
        document = copy.deepcopy(SHIFTED_DOCUMENT)
        container, key = list_container_keys(document)[number]
        container[key] = value
        check_text(json.dumps(document))
