"""Reads and writes traces: recorded requests as one JSON object per line.

Long shared prompts are stored as parameters and generated again on replay,
because storing the text of every large morning request would make a trace
several megabytes long.
"""

import enum
import functools
from collections.abc import Iterable
from pathlib import Path

import msgspec
import xxhash
from result import Err, Ok, Result

VOCABULARY_TEXT = (
    "brightness station council night reading zenith filter lamp horizon sensor "
    "footfall entrance arcade counter weekday tenant report trend season total "
    "compare explain list state mean median change north south district open"
)
VOCABULARY = VOCABULARY_TEXT.split()


class TraceError(Exception):
    """A trace is invalid or can't be read.

    ``line`` counts from 1; 0 means that the fault concerns the whole file.
    """

    def __init__(self, *, path: Path | str, line: int, fault: str):
        super().__init__(f"{path}:{line}: {fault}")
        self.path = str(path)
        self.line = line
        self.fault = fault


class RequestKind(enum.StrEnum):
    """The kind of a request; results are reported separately for each kind."""

    LONG = "long"
    QUICK = "quick"
    SIGN_OFF = "sign_off"
    FETCH = "fetch"

    @property
    def is_model(self) -> bool:
        return self in (RequestKind.LONG, RequestKind.QUICK)


class Expected(enum.StrEnum):
    """The required outcome of a request if no fault occurs.

    ANY is for requests that compete for a budget that is too small for all of them.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    ANY = "any"


class PromptParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A generated prompt: a beginning shared with other prompts, then its own part.

    ``shared`` and ``own`` are the names from which ``make_words`` generates the two
    parts; equal names and word counts give equal text.
    """

    shared: str
    shared_words: int
    own: str
    own_words: int

    def text(self) -> str:
        """Return the text of the prompt."""
        shared = make_words(self.shared, self.shared_words)
        return f"{shared}\n{make_words(self.own, self.own_words)}"


class TraceRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """One request of a trace.

    ``offset_s`` counts from the start of the trace, ``size`` is the size of the
    prompt or body in bytes and ``region`` is the caller's region. ``method`` and
    ``path`` are used for application routes, ``prompt`` and ``max_tokens`` for
    model routes. The replayed answer must have the recorded ``answer_digest``
    (SHA-256) and contain ``answer_part``; either is not checked if it is empty.
    ``worst_case`` is the most tokens that the request may cost, 0 if unknown.
    """

    offset_s: float
    organisation: str
    route: str
    kind: RequestKind
    region: str
    size: int
    prompt: str | PromptParameters = ""
    max_tokens: int = 0
    stream: bool = False
    method: str = "POST"
    path: str = ""
    idempotent: bool = True
    expected: Expected = Expected.RAN
    worst_case: int = 0
    answer_digest: str = ""
    answer_part: str = ""

    def prompt_text(self) -> str:
        """Return the whole prompt."""
        return self.prompt if isinstance(self.prompt, str) else self.prompt.text()

    def body(self) -> bytes:
        """Return a generated body of ``size`` bytes for an application request."""
        text = make_words(f"{self.organisation}/{self.path}", self.size)
        return text.encode("utf-8")[: self.size]


@functools.lru_cache(maxsize=256)
def make_words(name: str, count: int) -> str:
    """Return ``count`` words; the same name always gives the same words."""
    hashes = (
        xxhash.xxh64_intdigest(f"{name}/{index}".encode()) for index in range(count)
    )
    return " ".join(VOCABULARY[value % len(VOCABULARY)] for value in hashes)


def decode_trace(
    text: str, *, path: Path | str = "trace"
) -> Result[list[TraceRequest], TraceError]:
    """Return the requests of a trace in the order of their offsets."""
    decoder = msgspec.json.Decoder(TraceRequest)
    requests = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            request = decoder.decode(line)
        except msgspec.DecodeError as error:
            return Err(TraceError(path=path, line=number, fault=str(error)))
        fault = _find_fault(request)
        if fault:
            return Err(TraceError(path=path, line=number, fault=fault))
        requests.append(request)
    requests.sort(key=lambda request: request.offset_s)
    return Ok(requests)


def encode_trace(requests: Iterable[TraceRequest]) -> str:
    """Return the trace file's text for ``requests``."""
    lines = [msgspec.json.encode(request).decode("utf-8") for request in requests]
    return "".join(f"{line}\n" for line in lines)


def load_trace(path: Path | str) -> Result[list[TraceRequest], TraceError]:
    """Return the requests of a trace file in the order of their offsets."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(TraceError(path=path, line=0, fault=f"can't read: {error}"))
    return decode_trace(text, path=path)


def _find_fault(request: TraceRequest) -> str:
    if request.offset_s < 0:
        return f"offset_s is {request.offset_s}, expected at least 0"
    if not request.kind.is_model:
        return ""
    # Without this check a changed vocabulary would silently replay other prompts
    # than the recorded ones.
    size = len(request.prompt_text().encode("utf-8"))
    if size != request.size:
        return f"size is {request.size}, but the prompt has {size} bytes"
    return ""
