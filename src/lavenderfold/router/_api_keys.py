"""The check of callers' API keys."""

import hashlib
import hmac

from lavenderfold.config import FleetConfig
from lavenderfold.identifiers import BudgetKey

BEARER = "bearer"


def check_key(config: FleetConfig, authorization: str | None) -> BudgetKey | None:
    """Return the budget that the caller's key names, or None if it's wrong.

    All keys of the organisation are compared, each in constant time, so that
    the duration doesn't tell which one was nearly right.
    """
    scheme, _, text = (authorization or "").partition(" ")
    text = text.strip()
    organisation_name, separator, _ = text.partition(".")
    if scheme.lower() != BEARER or not separator:
        return None
    organisation = config.organisations.get(organisation_name)
    if organisation is None:
        return None
    digest = hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()
    found = None
    for key in organisation.keys.values():
        if hmac.compare_digest(key.sha256.lower().encode(), digest.encode()):
            found = key
    if found is None or found.budget not in organisation.budgets:
        return None
    return BudgetKey(organisation_name, found.budget)
