"""The layout of revisions, by which they stay in order when the store goes back."""

# The store's own revision. The higher bits are its era, so that whatever was read in a
# later era is newer.
REVISION_BITS = 40


def era_of(revision: int) -> int:
    """Return the era of the store in which a revision was given out."""
    return revision >> REVISION_BITS
