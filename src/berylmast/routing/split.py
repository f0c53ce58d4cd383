"""Distributes the requests of a split route among its services."""

from random import Random

from ..routes import HostRoute

MAX_ROUTES = 4_096


class SplitChooser:
    """Distributes requests by smooth weighted round robin.

    The weights already hold over a few requests. The initial state is random, so that
    the entries of a fleet, which choose independently, do not all start with the same
    service.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._credits: dict[tuple[object, ...], list[float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        key = (route.path_prefix, route.parts)
        if len(self._credits) >= MAX_ROUTES:
            self._credits.clear()
        credits = self._credits.get(key)
        if credits is None:
            credits = [self._rng.uniform(0, total) for _ in route.parts]
            self._credits[key] = credits
        for index, part in enumerate(route.parts):
            credits[index] += part.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.parts[best].service
