"""Shows which objects only the garbage collector frees."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def nothing_is_kept(*types: type) -> Iterator[None]:
    """Check that no new object of these types is left without the collector."""
    gc.collect()
    before = known_objects(types)
    gc.disable()
    try:
        yield
        after = known_objects(types)
        kept = [type(each).__name__ for key, each in after.items() if key not in before]
        assert not kept, kept
    finally:
        gc.enable()


def known_objects(types: tuple[type, ...]) -> dict[int, object]:
    return {id(each): each for each in gc.get_objects() if isinstance(each, types)}
