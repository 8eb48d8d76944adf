"""Stand-in for the platform's rate-limited store of model weights.

Run it with ``python -m standins.weight_store --port N``.
"""

import hashlib
from collections import Counter
from typing import Annotated

import msgspec
import trio
from absl import flags

from lavenderfold.http import HttpRequest, ResponseWriter, json_response
from standins.common import Count, Dispatcher, Faults, define_flags, run

CHUNK_BYTES = 16384
DEFAULT_RATE_BYTES_PER_S = 50_000_000.0
DEFAULT_WEIGHT_BYTES = 10_000_000
WEIGHTS_PATH = "/v1/weights/"


class WeightFaults(Faults, kw_only=True):
    """Fault switches of the store.

    ``rate_bytes_per_s``: rate that all readers share. ``cut_after_bytes``: if above
    0, a stream is closed as soon as that many bytes were sent.
    """

    rate_bytes_per_s: Annotated[float, msgspec.Meta(gt=0)] = DEFAULT_RATE_BYTES_PER_S
    cut_after_bytes: Count = 0


class SharedRate:
    """Divides a transfer rate among all readers, first come, first served."""

    def __init__(self):
        self._free_at = 0.0

    def reserve(self, size: int, *, rate: float, now: float) -> float:
        """Schedule ``size`` bytes and return the time at which they have been sent."""
        self._free_at = max(self._free_at, now) + size / rate
        return self._free_at


class WeightStore:
    """Streams model weights at a limited rate.

    ``handle`` is the handler for ``lavenderfold.http.serve``.
    """

    def __init__(
        self,
        *,
        rate_bytes_per_s: float = DEFAULT_RATE_BYTES_PER_S,
        weight_bytes: int = DEFAULT_WEIGHT_BYTES,
    ):
        self.faults = WeightFaults(rate_bytes_per_s=rate_bytes_per_s)
        self._weight_bytes = weight_bytes
        self._shared_rate = SharedRate()
        self._reads_by_model: Counter[str] = Counter()
        self._whole_reads_by_model: Counter[str] = Counter()
        self._bytes_sent = 0
        self._dispatcher = Dispatcher(faults=self.faults, stats=self.stats)

    async def handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        if request.method != "GET" or not request.path.startswith(WEIGHTS_PATH):
            await self._dispatcher.handle(request, writer)
            return
        await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            await writer.send(json_response(503, {"error": "switched off"}))
            return
        await self._send_weights(request.path.removeprefix(WEIGHTS_PATH), writer)

    def stats(self) -> dict:
        """Return started and complete reads by model, and the bytes sent."""
        return {
            "reads_by_model": self._reads_by_model,
            "whole_reads_by_model": self._whole_reads_by_model,
            "bytes_sent": self._bytes_sent,
        }

    async def _send_weights(self, model: str, writer: ResponseWriter) -> None:
        self._reads_by_model[model] += 1
        block = weight_block(model)
        await writer.start(200, [("x-weight-bytes", str(self._weight_bytes))])
        sent = 0
        while sent < self._weight_bytes:
            size = min(CHUNK_BYTES, self._weight_bytes - sent)
            await self._wait_for_rate(size)
            await writer.write(block[:size])
            sent += size
            self._bytes_sent += size
            if 0 < self.faults.cut_after_bytes <= sent:
                return
        await writer.finish()
        self._whole_reads_by_model[model] += 1

    async def _wait_for_rate(self, size: int) -> None:
        now = trio.current_time()
        rate = self.faults.rate_bytes_per_s
        await trio.sleep_until(self._shared_rate.reserve(size, rate=rate, now=now))


def weight_block(model: str) -> bytes:
    """Return the block of CHUNK_BYTES bytes that a model's weights repeat."""
    digest = hashlib.sha256(model.encode()).digest()
    return digest * (CHUNK_BYTES // len(digest))


if __name__ == "__main__":
    define_flags()
    flags.DEFINE_float(
        "rate_bytes_per_s", DEFAULT_RATE_BYTES_PER_S, "Rate that all readers share."
    )
    flags.DEFINE_integer("weight_bytes", DEFAULT_WEIGHT_BYTES, "Size of each model.")
    run(
        lambda: (
            WeightStore(
                rate_bytes_per_s=flags.FLAGS.rate_bytes_per_s,
                weight_bytes=flags.FLAGS.weight_bytes,
            ).handle
        )
    )
