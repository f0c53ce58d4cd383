"""Guards against documents and records that revert, in any order of messages."""

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ...model import Endpoint, EndpointState
from ...tests.fake_parts import make_slice
from ..directory import Directory
from .test_records import make_record

SERVICES = ("orders", "drawings", "catalogue")
HOSTS = ("a.example", "b.example", "c.example")

READY, DRAINING, GONE = EndpointState

Document = dict[str, str]
"""The host of each service of a version, other than that named after the service."""

documents = st.lists(
    st.dictionaries(st.sampled_from(HOSTS), st.sampled_from(SERVICES)).map(
        lambda owners: {service: host for host, service in owners.items()}
    ),
    min_size=1,
    max_size=5,
)


def send(directory: Directory, document: Document, version: int, service: str) -> None:
    """Deliver what a carrier says of one service in one version."""
    if service not in document:
        directory.drop_service(service, version)
        return
    hosts = frozenset({document[service]})
    directory.put_slice(
        make_slice(service=service, version=version, hosts=hosts, slots=version)
    )


def read_version(directory: Directory, service: str) -> int:
    found = directory.service(service)
    return 0 if found is None else found.version


@given(documents, st.lists(st.integers(0, 100), max_size=10), st.randoms())
def test_versions_never_go_back_and_carriers_agree(
    history: list[Document], doubled: list[int], rng: Random
) -> None:
    """Each message arrives at least once, in an order of its own at each daemon."""
    messages = [
        (version, service)
        for version in range(1, len(history) + 1)
        for service in SERVICES
    ]
    messages += [messages[number % len(messages)] for number in doubled]
    newest = history[-1]
    for _ in range(2):
        directory = Directory()
        rng.shuffle(messages)
        highest = dict.fromkeys(SERVICES, 0)
        for version, service in messages:
            send(directory, history[version - 1], version, service)
            highest[service] = max(highest[service], version)
            for name in SERVICES:
                in_force = read_version(directory, name)
                assert in_force in (0, highest[name]), "an older version came back"
                assert in_force == 0 or name in history[in_force - 1]
        for service in SERVICES:
            wanted = len(history) if service in newest else 0
            assert read_version(directory, service) == wanted
        owners = {host: service for service, host in newest.items()}
        for host in HOSTS:
            found = directory.find_service(host)
            assert (found and found.service) == owners.get(host)


def make_history(backend: str, incarnation: int, seq: int, gone: bool) -> Endpoint:
    """Return a record; a daemon gives one state to a seq, registrars set GONE."""
    state = DRAINING if (incarnation + seq) % 3 == 0 else READY
    return make_record(backend, incarnation, seq, GONE if gone else state)


records = st.builds(
    make_history,
    st.sampled_from(["a0", "a1"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.booleans(),
)


@given(st.lists(records, min_size=4), st.lists(st.integers(0, 100)), st.randoms())
def test_directories_agree_on_the_highest_records(
    sent: list[Endpoint], doubled: list[int], rng: Random
) -> None:
    def rank(record: Endpoint) -> tuple[tuple[int, int], bool]:
        return (record.order, record.state is GONE)

    messages = sent + [sent[number % len(sent)] for number in doubled]
    newest = {record.backend: record for record in sorted(sent, key=rank)}
    for _ in range(2):
        directory = Directory()
        rng.shuffle(messages)
        for record in messages:
            known = directory._endpoints.get("orders", {}).get(record.backend)
            adopted = directory.put_endpoint(record)
            assert adopted == (known is None or rank(record) > rank(known))
        assert directory._endpoints["orders"] == newest
        ready = {e.backend for e in newest.values() if e.state is READY}
        assert {e.backend for e in directory.endpoints("orders")} == ready


def test_host_that_moves_between_services_survives_a_stale_slice() -> None:
    """A slice of the old owner that arrives late must not take the host away."""
    directory = Directory()
    host, other = frozenset({"a.example"}), frozenset({"b.example"})
    new = make_slice(service="drawings", version=2, hosts=host)
    old = make_slice(service="orders", version=1, hosts=host)
    for part in (new, old, replace(old, version=2, hosts=other)):
        directory.put_slice(part)
        found = directory.find_service("a.example")
        assert found is not None
        assert found.service == "drawings"
