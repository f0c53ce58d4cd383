"""Virtual times of tenants for start-time fair queueing.

Load pattern: one tenant sends many times its usual load, in requests that take longer
or shorter than those of others. Each tenant has a tag, the virtual time up to which it
has been served; of the tenants with waiting requests the one with the lowest tag is
next. The cost of a request is its slot time, so that long requests count for more than
short ones. Deficit round robin, the alternative, needs a quantum that suits every
service time.
"""

from collections.abc import Container

MAX_TENANTS = 256
"""Number of tracked tenants from which on idle ones are evicted for new ones."""

MAX_TAG_LEAD_S = 1.0
"""Largest lead of a tenant's tag after a correction, in seconds of slot time, so that
one very long request does not block its tenant for equally long."""

MAX_TAG_LAG_S = 1.0
"""Largest lag of a tenant's tag, in seconds of slot time, that the tenant may catch up
with after its waiting requests were passed over for another reason than fairness."""


class FairTags:
    """The tags of the tenants that share one server, in seconds of slot time."""

    def __init__(self) -> None:
        self._tags: dict[str, float] = {}
        self._virtual_time_s = 0.0

    def __len__(self) -> int:
        return len(self._tags)

    def activate(self, tenant: str, backlogged: Container[str]) -> None:
        """Begin to count a tenant that had no waiting requests.

        A tenant gets no credit for time in which it did not wait. ``backlogged`` are
        the tenants with waiting requests, whose tags are kept.
        """
        if tenant not in self._tags:
            self._evict_idle(backlogged)
        self._tags[tenant] = self.get(tenant)

    def get(self, tenant: str) -> float:
        """Return the tag that a tenant has, or would have if it began to wait now."""
        return max(self._tags.get(tenant, 0.0), self._virtual_time_s)

    def get_backlogged(self, tenant: str) -> float:
        """Return the tag of a tenant with waiting requests."""
        return self._tags[tenant]

    def get_limited(self, tenant: str) -> float:
        """Return the tag of a tenant that may be passed over while it waits."""
        lowest_s = self._virtual_time_s - MAX_TAG_LAG_S
        return max(self._tags.get(tenant, self._virtual_time_s), lowest_s)

    def charge(self, tenant: str, cost_s: float) -> None:
        """Charge a tenant for a request that starts, with its expected slot time."""
        tag = self._tags.get(tenant, self._virtual_time_s)
        self._virtual_time_s = max(self._virtual_time_s, tag)
        self._tags[tenant] = tag + cost_s

    def correct(self, tenant: str, correction_s: float) -> None:
        """Correct a charge once the actual slot time is known."""
        tag = self._tags.get(tenant)
        if tag is not None:
            limit_s = self._virtual_time_s + MAX_TAG_LEAD_S
            self._tags[tenant] = min(tag + correction_s, limit_s)

    def _evict_idle(self, backlogged: Container[str]) -> None:
        """Make room for a tenant by evicting idle ones with the lowest tags.

        Tags restart at the virtual time, so the lowest tags change least.
        """
        if len(self._tags) < MAX_TENANTS:
            return
        idle = [name for name in self._tags if name not in backlogged]
        idle.sort(key=lambda name: self._tags[name])
        for name in idle[: max(1, len(idle) // 2)]:
            del self._tags[name]
