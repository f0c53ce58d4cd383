"""Guards against an owner that fails because its document slice is missing."""

from dataclasses import replace

from ..daemon import make_slice_getter
from ..membership import Directory


def test_slice_is_there_before_and_after_the_document_has_the_service() -> None:
    directory = Directory()
    get_slice = make_slice_getter(directory, "orders")
    first = get_slice()
    assert first.slots == 1
    directory.put_slice(replace(first, version=3, slots=6))
    assert get_slice().slots == 6
    directory.drop_service("orders", 4)
    assert get_slice().slots == 6
