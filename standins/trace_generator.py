"""Generates a trace of one morning's requests of an example user.

Run it with ``python -m standins.trace_generator --user NAME --output FILE``. The
same seed gives the same trace. A morning is compressed into 20 seconds. The
answer digests are those of the fake model engine's answers (``standins.texts``).
"""

import hashlib
import random
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec
from absl import app, flags

from lavenderfold.replay import (
    Expected,
    PromptParameters,
    RequestKind,
    TraceRequest,
    encode_trace,
)
from standins.texts import answer_text, count_tokens

TRACE_SPAN_S = 20.0
CONTEST_SPAN_S = 4.0
OFFSET_DIGITS = 3
SIGN_OFF_BYTES = 180
SHARED_PROMPT_WORDS = 480
OWN_PROMPT_WORDS = 40
UNKNOWN_ROUTE = "no-such-route"


class UserProfile(msgspec.Struct, frozen=True, kw_only=True):
    """The requests that a user's callers send in a morning.

    ``share_by_organisation`` holds each organisation's relative share of the
    requests; a few organisations are large. ``subjects`` are the stations or
    entrances that questions, sign-offs and fetches refer to.
    """

    regions: tuple[str, str]
    share_by_organisation: dict[str, int]
    long_route: str
    quick_route: str
    sign_off_route: str
    fetch_route: str
    subjects: tuple[str, ...]
    long_count: int = 60
    quick_count: int = 120
    sign_off_count: int = 40
    fetch_count: int = 76
    refused_count: int = 4
    sign_off_cost: int = 50
    fetch_cost: int = 5
    long_max_tokens: int = 200
    quick_max_tokens: int = 48


PROFILE_BY_USER = {
    "prairie-dark-sky": UserProfile(
        regions=("saskatchewan", "manitoba"),
        share_by_organisation={
            "city-of-wheatland-junction": 12,
            "city-of-sandhill": 9,
            "big-coulee-park": 6,
            "town-of-willow-bend": 2,
            "town-of-poplar-creek": 2,
            "village-of-long-meadow": 1,
            "tamarack-lake-park": 2,
            "silver-marsh-park": 1,
            "kestrel-ridge-observatory": 2,
            "lone-elm-observatory": 1,
        },
        long_route="nightly-summary",
        quick_route="quick-answer",
        sign_off_route="sign-off",
        fetch_route="readings",
        subjects=tuple(f"station-{number}" for number in range(1, 25)),
    ),
    "derwent-arcade": UserProfile(
        regions=("hobart", "launceston"),
        share_by_organisation={
            "derwent-head-office": 12,
            "south-area-office": 9,
            "north-area-office": 6,
            "silver-token-arcade": 2,
            "wattle-street-games": 2,
            "pier-light-amusements": 2,
            "old-mill-pinball": 1,
            "cascade-corner-arcade": 1,
            "tin-rocket-games": 1,
            "lighthouse-lane-arcade": 1,
        },
        long_route="weekly-report",
        quick_route="trend-question",
        sign_off_route="sign-off",
        fetch_route="counters",
        subjects=tuple(f"entrance-{number}" for number in range(1, 25)),
    ),
}


class TraceGenerator:
    """Generates the requests of one morning."""

    def __init__(self, *, user: str, seed: int):
        self._profile = PROFILE_BY_USER[user]
        self._random = random.Random(f"{user}/{seed}")

    def make(self) -> list[TraceRequest]:
        """Return the requests in order of their offsets."""
        profile = self._profile
        requests = [
            *self._repeat(profile.long_count, self._long_request),
            *self._repeat(profile.quick_count, self._quick_request),
            *self._repeat(profile.sign_off_count, self._sign_off_request),
            *self._repeat(profile.fetch_count, self._fetch_request),
            *self._repeat(profile.refused_count, self._refused_request),
        ]
        return sorted(requests, key=lambda request: request.offset_s)

    def make_contest(self, *, organisation: str, count: int) -> list[TraceRequest]:
        """Return quick requests that together exceed the budget they compete for."""
        requests = [
            msgspec.structs.replace(
                self._quick_request(number),
                organisation=organisation,
                offset_s=self._round_offset(self._random.uniform(0.0, CONTEST_SPAN_S)),
                expected=Expected.ANY,
            )
            for number in range(count)
        ]
        return sorted(requests, key=lambda request: request.offset_s)

    def _repeat(
        self, count: int, make_request: Callable[[int], TraceRequest]
    ) -> Iterator[TraceRequest]:
        return (make_request(number) for number in range(count))

    def _long_request(self, number: int) -> TraceRequest:
        """Return a large request, as a timer sends it early in the morning."""
        organisation = self._choose_organisation()
        prompt = PromptParameters(
            shared=f"{self._profile.long_route}/{organisation}",
            shared_words=SHARED_PROMPT_WORDS,
            own=f"{organisation}/{number}",
            own_words=OWN_PROMPT_WORDS,
        )
        return self._completion_request(
            organisation=organisation,
            route=self._profile.long_route,
            kind=RequestKind.LONG,
            offset_s=self._random.triangular(
                0.0, TRACE_SPAN_S * 0.5, TRACE_SPAN_S * 0.1
            ),
            prompt=prompt,
            max_tokens=self._profile.long_max_tokens,
            stream=True,
        )

    def _quick_request(self, number: int) -> TraceRequest:
        subject = self._random.choice(self._profile.subjects)
        return self._completion_request(
            organisation=self._choose_organisation(),
            route=self._profile.quick_route,
            kind=RequestKind.QUICK,
            offset_s=self._random.uniform(0.0, TRACE_SPAN_S),
            prompt=f"Question {number}: what changed at {subject} since yesterday?",
            max_tokens=self._profile.quick_max_tokens,
            stream=self._random.random() < 0.8,
        )

    def _sign_off_request(self, number: int) -> TraceRequest:
        subject = self._random.choice(self._profile.subjects)
        path = f"{subject}/{number}"
        return TraceRequest(
            offset_s=self._round_offset(
                self._random.uniform(TRACE_SPAN_S * 0.1, TRACE_SPAN_S)
            ),
            organisation=self._choose_organisation(),
            route=self._profile.sign_off_route,
            kind=RequestKind.SIGN_OFF,
            region=self._choose_region(),
            size=SIGN_OFF_BYTES,
            path=path,
            idempotent=False,
            worst_case=self._profile.sign_off_cost,
            answer_part=path,
        )

    def _fetch_request(self, number: int) -> TraceRequest:
        path = f"{self._random.choice(self._profile.subjects)}/latest"
        return TraceRequest(
            offset_s=self._round_offset(self._random.uniform(0.0, TRACE_SPAN_S)),
            organisation=self._choose_organisation(),
            route=self._profile.fetch_route,
            kind=RequestKind.FETCH,
            region=self._choose_region(),
            size=0,
            method="GET",
            worst_case=self._profile.fetch_cost,
            path=path,
            answer_part=path,
        )

    def _refused_request(self, number: int) -> TraceRequest:
        """Return a request for a route that doesn't exist."""
        return msgspec.structs.replace(
            self._quick_request(number),
            route=UNKNOWN_ROUTE,
            expected=Expected.NOT_RUN,
            answer_digest="",
        )

    def _completion_request(
        self,
        *,
        offset_s: float,
        prompt: str | PromptParameters,
        max_tokens: int,
        **fields: object,
    ) -> TraceRequest:
        text = prompt if isinstance(prompt, str) else prompt.text()
        answer = answer_text(text, max_tokens).encode("utf-8")
        return TraceRequest(
            offset_s=self._round_offset(offset_s),
            region=self._choose_region(),
            size=len(text.encode("utf-8")),
            prompt=prompt,
            max_tokens=max_tokens,
            worst_case=count_tokens(text) + max_tokens,
            answer_digest=hashlib.sha256(answer).hexdigest(),
            **fields,
        )

    def _choose_organisation(self) -> str:
        shares = self._profile.share_by_organisation
        return self._random.choices(list(shares), weights=shares.values())[0]

    def _choose_region(self) -> str:
        return self._random.choice(self._profile.regions)

    def _round_offset(self, offset_s: float) -> float:
        return round(offset_s, OFFSET_DIGITS)


def main(_: Sequence[str]) -> None:
    """Generate the trace and write it to the output file."""
    requests = TraceGenerator(user=flags.FLAGS.user, seed=flags.FLAGS.seed).make()
    Path(flags.FLAGS.output).write_text(encode_trace(requests), encoding="utf-8")


if __name__ == "__main__":
    flags.DEFINE_enum(
        "user", None, list(PROFILE_BY_USER), "Example user whose trace to generate."
    )
    flags.DEFINE_string("output", None, "File to write the trace to.")
    flags.DEFINE_integer("seed", 1, "Seed of the random numbers.")
    flags.mark_flags_as_required(["user", "output"])
    app.run(main)
