"""Regions in which requests may be served."""

from collections.abc import Mapping

from lavenderfold.fleet import Organisation, Route, Target


def allowed_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[str] | None:
    """Return the regions that route and organisation both allow, None for all.

    The set is empty if they allow different regions.
    """
    named = [route.allowed_regions]
    if organisation is not None:
        named.append(organisation.allowed_regions)
    restrictions = [each for each in named if each]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


def in_regions(
    targets: list[Target],
    regions: frozenset[str] | None,
    region_by_domain: Mapping[str, str],
) -> list[Target]:
    """Return the targets in these regions, or all targets if ``regions`` is None.

    A target whose failure domain has no known region is in none of them.
    """
    if regions is None:
        return targets
    return [each for each in targets if region_by_domain.get(each.domain) in regions]
