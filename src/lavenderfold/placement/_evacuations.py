"""Failure domains that operators evacuate, and their gradual return."""

# A key that is missing after an outage of the store may have been lost with it, as
# for targets.
REMOVAL_GRACE_S = 2.0
# Targets of a domain that returns hold no prompt parts. The share of requests that may
# go there rises to all within this time, from the first share.
RETURN_S = 10.0
FIRST_SHARE = 0.1


class _Evacuation:
    __slots__ = ("revision", "expires_at")

    def __init__(self, *, revision: int):
        self.revision = revision
        self.expires_at: float | None = None


class Evacuations:
    """Evacuated failure domains. Times are seconds of the router's monotonic clock."""

    __slots__ = ("_evacuation_by_domain", "_returned_at_by_domain")

    def __init__(self):
        self._evacuation_by_domain: dict[str, _Evacuation] = {}
        self._returned_at_by_domain: dict[str, float] = {}

    def put(self, domain: str, *, revision: int) -> bool:
        """Evacuate a domain; return False if it is evacuated already."""
        begins = domain not in self._evacuation_by_domain
        self._evacuation_by_domain[domain] = _Evacuation(revision=revision)
        self._returned_at_by_domain.pop(domain, None)
        return begins

    def remove(
        self, domain: str, *, revision: int, is_certain: bool, now: float
    ) -> bool:
        """End an evacuation; return whether it has ended at once.

        A removal that isn't certain takes effect after REMOVAL_GRACE_S, unless the
        evacuation is put again. One that is older than the evacuation has no effect.
        """
        evacuation = self._evacuation_by_domain.get(domain)
        if evacuation is None or revision < evacuation.revision:
            return False
        if is_certain:
            self._end(domain, now)
        elif evacuation.expires_at is None:
            evacuation.expires_at = now + REMOVAL_GRACE_S
        return is_certain

    def expire(self, *, now: float) -> list[str]:
        """End the evacuations whose grace period is over and return their domains."""
        expired = [
            domain
            for domain, evacuation in self._evacuation_by_domain.items()
            if evacuation.expires_at is not None and evacuation.expires_at <= now
        ]
        for domain in expired:
            self._end(domain, now)
        for domain, returned_at in list(self._returned_at_by_domain.items()):
            if now - returned_at >= RETURN_S:
                del self._returned_at_by_domain[domain]
        return expired

    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return frozenset(self._evacuation_by_domain)

    @property
    def has_evacuated(self) -> bool:
        """Whether any domain is evacuated."""
        return bool(self._evacuation_by_domain)

    def share_by_returning_domain(self, *, now: float) -> dict[str, float]:
        """Return the share of requests that may go to each domain that returns."""
        return {
            domain: min(1.0, max(FIRST_SHARE, (now - returned_at) / RETURN_S))
            for domain, returned_at in self._returned_at_by_domain.items()
        }

    @property
    def has_returning(self) -> bool:
        """Whether a domain has ended its evacuation within RETURN_S."""
        return bool(self._returned_at_by_domain)

    def _end(self, domain: str, now: float) -> None:
        del self._evacuation_by_domain[domain]
        self._returned_at_by_domain[domain] = now
