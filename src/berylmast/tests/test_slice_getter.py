"""Guards against an owner that fails because its service is not in the document."""

from ..backends.backend_state import BackendReport, BackendState
from ..membership import Directory
from ..wiring import make_slice_getter
from .fake_parts import make_slice


def test_last_slice_is_kept_after_the_document_drops_the_service() -> None:
    directory = Directory()
    backend_state = BackendState()
    get_slice = make_slice_getter(backend_state, directory)
    backend_state.apply_report(BackendReport("b1", "orders", "a:1", 0, False, 1, 1))
    assert get_slice() is None, "an owner without a slice refuses"
    for version, slots in ((3, 6), (4, 9)):
        directory.put_slice(make_slice(version=version, slots=slots))
        service_slice = get_slice()
        assert service_slice is not None
        assert service_slice.slots == slots
    directory.drop_service("orders", 5)
    assert get_slice() == service_slice


def test_reported_slots_replace_those_of_the_document() -> None:
    directory = Directory()
    directory.put_slice(make_slice(version=3, slots=6))
    backend_state = BackendState()
    get_slice = make_slice_getter(backend_state, directory)
    for sequence, slots in ((1, 9), (2, 4)):
        report = BackendReport("b1", "orders", "a:1", slots, False, 1, sequence)
        backend_state.apply_report(report)
        service_slice = get_slice()
        assert service_slice is not None
        assert service_slice.slots == slots
