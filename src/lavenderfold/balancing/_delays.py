"""Delays of targets, learnt from one router's own requests.

A target's delay is a factor of what its service usually needs for a request of that
size. It is kept as a logarithm, so that 0 is the service's mean.
"""

import math

# A target's delay has a lasting part, which is its speed, and a passing part. Without
# samples both return to the mean of the service, with these time constants.
LASTING_S = 30.0
PASSING_S = 2.5
# Weights of the newest sample. Some targets are slow for 100 ms at a time, so one
# sample moves the estimate by about a quarter.
LASTING_WEIGHT = 0.05
PASSING_WEIGHT = 0.2
# Single samples count as at most this factor, also after a freeze of seconds.
FACTOR_LIMIT = 5.0
LOG_FACTOR_LIMIT = math.log(FACTOR_LIMIT)
# Speeds differ by less than this factor from the mean, so a sample moves the lasting
# part by no more.
LOG_SPEED_LIMIT = math.log(2.0)
# Weight of the newest sample in the usual times of a service.
USUAL_WEIGHT = 0.05
# Costs and factors are relative to the usual time, so it is never 0, even if the clock
# shows no time between a request and its answer.
MIN_USUAL_S = 1e-6
# Assumed until the first answer of a service.
DEFAULT_USUAL_S = 0.1
# A wait counts as evidence of a delay beyond so many usual times, as a part of the
# requests needs longer than the mean.
OVERDUE_WAITS = 2.0
# Errors of a target are forgotten with this time constant; a success halves them.
ERRORS_S = 2.0


class _Average:
    """A moving average that starts as the plain mean of the first samples."""

    __slots__ = ("value", "count")

    def __init__(self):
        self.value = 0.0
        self.count = 0

    def add(self, sample: float) -> None:
        self.count += 1
        weight = max(USUAL_WEIGHT, 1 / self.count)
        self.value += weight * (sample - self.value)


class ServiceTimes:
    """Usual times of a service: to the first event by unread tokens, and of pauses."""

    __slots__ = ("_first", "_first_by_size", "_pause", "_tokens")

    def __init__(self):
        self._first = _Average()
        self._first_by_size: dict[int, _Average] = {}
        self._pause = _Average()
        self._tokens = _Average()

    @property
    def usual_s(self) -> float:
        """The usual time to the first event, or of the whole plain answer."""
        if not self._first.count:
            return DEFAULT_USUAL_S
        return max(MIN_USUAL_S, self._first.value)

    def first_factor(self, duration_s: float, unread_tokens: float) -> float:
        """Record a time to the first event; return it relative to the usual time."""
        size = int(unread_tokens).bit_length()
        average = self._first_by_size.setdefault(size, _Average())
        average.add(duration_s)
        self._first.add(duration_s)
        return duration_s / max(MIN_USUAL_S, average.value)

    def pause_factor(self, pause_s: float) -> float:
        """Record a pause between events; return it relative to the usual one."""
        self._pause.add(pause_s)
        return pause_s / max(MIN_USUAL_S, self._pause.value)

    def weight(self, tokens: int) -> float:
        """Return the load of a request relative to the usual one of the service."""
        if tokens <= 0 or self._tokens.count == 0:
            return 1.0
        return min(4.0, 0.5 + 0.5 * tokens / max(1.0, self._tokens.value))

    def record_tokens(self, tokens: int) -> None:
        """Add a request's tokens to the average."""
        self._tokens.add(tokens)


class TargetRecord:
    """What a router knows of one incarnation of a target.

    ``load`` is the weight of the router's own requests in progress there, ``sends`` a
    decaying count of those that it sent. ``read_at_by_waiting`` says when the prompts
    of those without a first event should have been read, in the order of sending.
    """

    __slots__ = (
        "load",
        "sampled_at",
        "read_at_by_waiting",
        "_lasting",
        "_passing",
        "_aged_at",
        "_errors",
        "_errors_at",
        "_sends",
        "_sent_at",
    )

    def __init__(self, *, now: float):
        self.load = 0.0
        self.sampled_at: float | None = None
        self.read_at_by_waiting: dict[object, float] = {}
        self._lasting = 0.0
        self._passing = 0.0
        self._aged_at = now
        self._errors = 0.0
        self._errors_at = now
        self._sends = 0.0
        self._sent_at = now

    def delay_factor(self, now: float) -> float:
        """Return the expected delay relative to the service's mean."""
        if self.sampled_at is None:
            return 1.0
        age_s = now - self._aged_at
        lasting = self._lasting * math.exp(-age_s / LASTING_S)
        return math.exp(lasting + self._passing * math.exp(-age_s / PASSING_S))

    def overdue_factor(self, usual_s: float, now: float) -> float:
        """Return the least delay that the oldest request without an event shows."""
        if not self.read_at_by_waiting:
            return 0.0
        waited_s = now - next(iter(self.read_at_by_waiting.values()))
        return min(FACTOR_LIMIT, waited_s / (OVERDUE_WAITS * usual_s))

    def record_factor(self, factor: float, *, now: float) -> None:
        """Record an observed time, as a multiple of the usual one."""
        age_s = now - self._aged_at
        self._lasting *= math.exp(-age_s / LASTING_S)
        self._passing *= math.exp(-age_s / PASSING_S)
        sample = math.log(max(factor, 1 / FACTOR_LIMIT))
        sample = min(sample, LOG_FACTOR_LIMIT)
        difference = sample - self._lasting - self._passing
        speed = max(-LOG_SPEED_LIMIT, min(LOG_SPEED_LIMIT, difference))
        self._lasting += LASTING_WEIGHT * speed
        self._passing += PASSING_WEIGHT * difference
        self._aged_at = self.sampled_at = now

    def errors(self, now: float) -> float:
        """Return the length of the latest run of errors, decayed by its age."""
        if not self._errors:
            return 0.0
        return self._errors * math.exp(-(now - self._errors_at) / ERRORS_S)

    def record_error(self, *, now: float) -> None:
        self._errors = self.errors(now) + 1.0
        self._errors_at = now

    def record_success(self, *, now: float) -> None:
        self._errors = self.errors(now) / 2
        self._errors_at = now

    def sends(self, now: float) -> float:
        return self._sends * math.exp(-(now - self._sent_at) / LASTING_S)

    def record_send(self, *, now: float) -> None:
        self._sends = self.sends(now) + 1.0
        self._sent_at = now
