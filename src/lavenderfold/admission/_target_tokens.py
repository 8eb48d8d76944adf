"""Tokens that a router has in progress at each target."""

from collections.abc import Hashable

# A target crashes if its requests exceed its memory. Only a router that sends many of
# them to one target reaches this part of its capacity.
CAPACITY_SHARE = 0.5


class TargetTokens:
    """Tokens of the requests in progress, by the key of a target's incarnation."""

    __slots__ = ("_tokens_by_target",)

    def __init__(self):
        self._tokens_by_target: dict[Hashable, int] = {}

    def add(self, target: Hashable, tokens: int) -> None:
        """Count a request that is being sent to a target."""
        held = self._tokens_by_target.get(target, 0) + tokens
        if held:
            self._tokens_by_target[target] = held

    def remove(self, target: Hashable, tokens: int) -> None:
        """Stop counting a request that has ended."""
        held = self._tokens_by_target.get(target, 0) - tokens
        if held > 0:
            self._tokens_by_target[target] = held
        else:
            self._tokens_by_target.pop(target, None)

    def full(self, *, tokens: int, capacity: int) -> set[Hashable]:
        """Return the targets that have no room for a request of ``tokens``.

        A target without a request of this router has room for one of any size.
        """
        bound = CAPACITY_SHARE * capacity
        return {
            target
            for target, held in self._tokens_by_target.items()
            if held + tokens > bound
        }
