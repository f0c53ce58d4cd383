"""Distributes the requests of a split route among its services."""

from random import Random

from ..routes import HostRoute

MAX_TRACKED_ROUTES = 4_096


class SplitChooser:
    """Distributes requests by smooth weighted round robin.

    The weights already hold over a few requests. The initial state is random, so that
    the entries of a fleet, which choose independently, do not all start with the same
    service.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._current_weights: dict[tuple[object, ...], list[float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        key = (route.path_prefix, route.parts)
        if len(self._current_weights) >= MAX_TRACKED_ROUTES:
            self._current_weights.clear()
        current_weights = self._current_weights.get(key)
        if current_weights is None:
            current_weights = [self._rng.uniform(0, total) for _ in route.parts]
            self._current_weights[key] = current_weights
        for index, part in enumerate(route.parts):
            current_weights[index] += part.weight
        best = max(range(len(current_weights)), key=current_weights.__getitem__)
        current_weights[best] -= total
        return route.parts[best].service
