"""Guards the start of a fleet, which fails if two processes get the same port."""

import socket
from random import Random

import pytest

from .. import fleet


class SequenceRandom(Random):
    """Returns the given numbers from ``randrange``, in order."""

    def __init__(self, numbers: list[int]) -> None:
        super().__init__()
        self._numbers = numbers

    def randrange(self, *args: object) -> int:
        return self._numbers.pop(0)


@pytest.mark.parametrize("overlap", [0, 1, 9])
def test_ports_are_reserved_once(overlap: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against giving the store the port of a daemon that is not running yet."""
    first_reserved = fleet.reserve_ports(10)
    with socket.socket() as sock:
        sock.bind((fleet.HOST, 0))
        free_port = sock.getsockname()[1]
    numbers = [first_reserved + overlap, free_port]
    monkeypatch.setattr(fleet, "Random", lambda: SequenceRandom(numbers))
    assert fleet.reserve_ports(1) == free_port
