"""Generates a morning's trace of an example user.

Run it with ``python -m standins.trace_generator --user NAME --output FILE``. The
same seed gives the same trace. A morning is compressed into 20 seconds. The
answers' digests hold for the fake model engine with its usual texts.
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

SPAN_S = 20.0
CONTEST_SPAN_S = 4.0
OFFSET_DIGITS = 3
SIGN_OFF_BYTES = 180
SHARED_WORDS = 480
OWN_WORDS = 40
UNKNOWN_ROUTE = "no-such-route"


class UserProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What a user's callers do in a morning.

    ``share_by_organisation`` weighs the organisations; a few are large.
    ``subjects`` are what questions and sign-offs are about.
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
    """Makes the requests of one morning."""

    def __init__(self, *, user: str, seed: int):
        self._profile = PROFILE_BY_USER[user]
        self._random = random.Random(f"{user}/{seed}")

    def make(self) -> list[TraceRequest]:
        """Return the requests in the order of their offsets."""
        profile = self._profile
        requests = [
            *self._repeat(profile.long_count, self._long),
            *self._repeat(profile.quick_count, self._quick),
            *self._repeat(profile.sign_off_count, self._sign_off),
            *self._repeat(profile.fetch_count, self._fetch),
            *self._repeat(profile.refused_count, self._refused),
        ]
        return sorted(requests, key=lambda request: request.offset_s)

    def make_contest(self, *, organisation: str, count: int) -> list[TraceRequest]:
        """Return quick questions that compete for a budget too small for all."""
        requests = [
            msgspec.structs.replace(
                self._quick(number),
                organisation=organisation,
                offset_s=self._offset(self._random.uniform(0.0, CONTEST_SPAN_S)),
                expected=Expected.ANY,
            )
            for number in range(count)
        ]
        return sorted(requests, key=lambda request: request.offset_s)

    def _repeat(
        self, count: int, make: Callable[[int], TraceRequest]
    ) -> Iterator[TraceRequest]:
        return (make(number) for number in range(count))

    def _long(self, number: int) -> TraceRequest:
        """A large request, sent by a timer at the start of the morning."""
        organisation = self._organisation()
        prompt = PromptParameters(
            shared=f"{self._profile.long_route}/{organisation}",
            shared_words=SHARED_WORDS,
            own=f"{organisation}/{number}",
            own_words=OWN_WORDS,
        )
        return self._completion(
            organisation=organisation,
            route=self._profile.long_route,
            kind=RequestKind.LONG,
            offset_s=self._random.triangular(0.0, SPAN_S * 0.5, SPAN_S * 0.1),
            prompt=prompt,
            max_tokens=self._profile.long_max_tokens,
            stream=True,
        )

    def _quick(self, number: int) -> TraceRequest:
        subject = self._random.choice(self._profile.subjects)
        return self._completion(
            organisation=self._organisation(),
            route=self._profile.quick_route,
            kind=RequestKind.QUICK,
            offset_s=self._random.uniform(0.0, SPAN_S),
            prompt=f"Question {number}: what changed at {subject} since yesterday?",
            max_tokens=self._profile.quick_max_tokens,
            stream=self._random.random() < 0.8,
        )

    def _sign_off(self, number: int) -> TraceRequest:
        subject = self._random.choice(self._profile.subjects)
        path = f"{subject}/{number}"
        return TraceRequest(
            offset_s=self._offset(self._random.uniform(SPAN_S * 0.1, SPAN_S)),
            organisation=self._organisation(),
            route=self._profile.sign_off_route,
            kind=RequestKind.SIGN_OFF,
            region=self._region(),
            size=SIGN_OFF_BYTES,
            path=path,
            idempotent=False,
            worst_case=self._profile.sign_off_cost,
            answer_part=path,
        )

    def _fetch(self, number: int) -> TraceRequest:
        path = f"{self._random.choice(self._profile.subjects)}/latest"
        return TraceRequest(
            offset_s=self._offset(self._random.uniform(0.0, SPAN_S)),
            organisation=self._organisation(),
            route=self._profile.fetch_route,
            kind=RequestKind.FETCH,
            region=self._region(),
            size=0,
            method="GET",
            worst_case=self._profile.fetch_cost,
            path=path,
            answer_part=path,
        )

    def _refused(self, number: int) -> TraceRequest:
        """A request to a route that doesn't exist."""
        return msgspec.structs.replace(
            self._quick(number),
            route=UNKNOWN_ROUTE,
            expected=Expected.NOT_RUN,
            answer_digest="",
        )

    def _completion(
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
            offset_s=self._offset(offset_s),
            region=self._region(),
            size=len(text.encode("utf-8")),
            prompt=prompt,
            max_tokens=max_tokens,
            worst_case=count_tokens(text) + max_tokens,
            answer_digest=hashlib.sha256(answer).hexdigest(),
            **fields,
        )

    def _organisation(self) -> str:
        shares = self._profile.share_by_organisation
        return self._random.choices(list(shares), weights=shares.values())[0]

    def _region(self) -> str:
        return self._random.choice(self._profile.regions)

    def _offset(self, offset_s: float) -> float:
        return round(offset_s, OFFSET_DIGITS)


def main(_: Sequence[str]) -> None:
    """Write the trace."""
    requests = TraceGenerator(user=flags.FLAGS.user, seed=flags.FLAGS.seed).make()
    Path(flags.FLAGS.output).write_text(encode_trace(requests), encoding="utf-8")


if __name__ == "__main__":
    flags.DEFINE_enum("user", None, list(PROFILE_BY_USER), "The example user.")
    flags.DEFINE_string("output", None, "The file to write.")
    flags.DEFINE_integer("seed", 1, "Seed of the generator.")
    flags.mark_flags_as_required(["user", "output"])
    app.run(main)
