"""Recent usage of a service by organisation."""

import math

# Usage decays with this time constant, so that an organisation that was the only user
# of the service isn't held back for long after others return.
DECAY_S = 5.0
# The organisations that were served longest ago are forgotten.
ORGANISATIONS_LIMIT = 1024


class OrganisationShares:
    """Decaying counts of admitted tokens. Times are in seconds of one clock."""

    __slots__ = ("_tokens_by_name", "_charged_at_by_name")

    def __init__(self):
        self._tokens_by_name: dict[str, float] = {}
        self._charged_at_by_name: dict[str, float] = {}

    def tokens(self, name: str, *, now: float) -> float:
        """Return the decayed count of an organisation."""
        charged_at = self._charged_at_by_name.get(name)
        if charged_at is None:
            return 0.0
        age_s = max(0.0, now - charged_at)
        return self._tokens_by_name[name] * math.exp(-age_s / DECAY_S)

    def charge(self, name: str, tokens: float, *, now: float) -> None:
        """Record that a request of this size of an organisation was admitted."""
        total = self.tokens(name, now=now) + tokens
        self._tokens_by_name.pop(name, None)
        self._tokens_by_name[name] = total
        self._charged_at_by_name[name] = now
        if len(self._tokens_by_name) > ORGANISATIONS_LIMIT:
            oldest = next(iter(self._tokens_by_name))
            del self._tokens_by_name[oldest]
            del self._charged_at_by_name[oldest]
