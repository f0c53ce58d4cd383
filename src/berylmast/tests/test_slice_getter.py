"""Guards against an owner that fails because its document slice is missing."""

from ..membership import Directory
from ..wiring import make_slice_getter
from .fake_parts import make_slice


def test_last_slice_is_kept_after_the_document_drops_the_service() -> None:
    directory = Directory()
    get_slice = make_slice_getter(directory, "orders")
    assert get_slice() is None, "an owner without a slice refuses"
    for version, slots in ((3, 6), (4, 9)):
        directory.put_slice(make_slice(version=version, slots=slots))
        found = get_slice()
        assert found is not None
        assert found.slots == slots
    directory.drop_service("orders", 5)
    assert get_slice() == found
