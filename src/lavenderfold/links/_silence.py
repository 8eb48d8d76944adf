"""How long the peer of a link has been silent."""


def exclude_own_delay(
    last_message_at: float, *, check_due_at: float, now: float
) -> float:
    """Return the time from which a peer counts as silent, in seconds.

    ``last_message_at`` is moved by the time by which a check of the silence is late.
    While this process was suspended it couldn't read the peer's messages, and they
    may wait to be read when the check runs.
    """
    return min(now, last_message_at + max(0.0, now - check_due_at))
