"""Authentication of callers by API key."""

import hashlib
import hmac

from lavenderfold.config import FleetConfig
from lavenderfold.identifiers import BudgetKey

BEARER_SCHEME = "bearer"


def authenticate(config: FleetConfig, authorization: str | None) -> BudgetKey | None:
    """Return the budget that the caller's API key gives access to, or None.

    The key is compared with all keys of the organisation, each in constant time,
    so that the duration reveals nothing about how close a wrong key is.
    """
    scheme, _, api_key = (authorization or "").partition(" ")
    api_key = api_key.strip()
    organisation_name, separator, _ = api_key.partition(".")
    if scheme.lower() != BEARER_SCHEME or not separator:
        return None
    organisation = config.organisations.get(organisation_name)
    if organisation is None:
        return None
    digest = hashlib.sha256(api_key.encode("utf-8", "surrogateescape")).hexdigest()
    found = None
    for key in organisation.keys.values():
        if hmac.compare_digest(key.sha256.lower().encode(), digest.encode()):
            found = key
    if found is None or found.budget not in organisation.budgets:
        return None
    return BudgetKey(organisation_name, found.budget)
