"""Least-squares fits of cost against size, and the process counters they use."""

import resource
import time
from collections.abc import Callable

import msgspec

MICROSECONDS_PER_SECOND = 1e6
PAGE_BYTES = resource.getpagesize()


class Fit(msgspec.Struct, frozen=True):
    """A straight line fitted to measured points.

    ``residual`` is the largest vertical distance of a point from the line,
    divided by the range of the measured values.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through (size, cost) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / variance
    intercept = mean_y - slope * mean_x
    largest_deviation = max(abs(y - (intercept + slope * x)) for x, y in points)
    value_range = max(y for _, y in points) - min(y for _, y in points)
    return Fit(
        slope=slope,
        intercept=intercept,
        residual=largest_deviation / value_range if value_range else 0,
    )


def cpu_seconds(work: Callable[[], object]) -> float:
    """Return the processor time that this process spends in ``work``, in seconds."""
    start = time.process_time()
    work()
    return time.process_time() - start


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
