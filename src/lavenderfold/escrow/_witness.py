"""Witnesses of spending: relays that know the most a router can have spent.

A router states its spending to its witness before it sends a request. When the
router died, its successor seals the statement: a sealed holder gets no further
acknowledgement, so that what lies above the statement was never spent and can be
granted again.
"""

import logging

import msgspec

from lavenderfold.http import CallFailedError, PeerClient
from lavenderfold.settings import Address

WITNESS_PREFIX = "/witness/"
STATE_PATH = "/witness/state"
SEAL_PATH = "/witness/seal"
CALL_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 0.2

logger = logging.getLogger(__name__)


class WitnessError(Exception):
    """A witness didn't acknowledge a statement."""


class Statement(msgspec.Struct, frozen=True):
    """The most that a holder can have spent, by organisation, in tokens.

    ``sequence`` orders the statements of one holder.
    """

    witness: str
    holder: str
    sequence: int
    tokens_by_organisation: dict[str, int]


class Seal(msgspec.Struct, frozen=True):
    """Asks for a holder's last statement and ends its statements."""

    witness: str
    holder: str


class WitnessBook:
    """The statements that one relay keeps in memory. ``incarnation`` is its own."""

    def __init__(self, *, incarnation: str):
        self._incarnation = incarnation
        self._statement_by_holder: dict[str, Statement] = {}
        self._sealed: set[str] = set()

    def state(self, statement: Statement) -> bool:
        """Keep a statement; returns False if it isn't acknowledged."""
        if statement.witness != self._incarnation or statement.holder in self._sealed:
            return False
        known = self._statement_by_holder.get(statement.holder)
        if known is not None and statement.sequence <= known.sequence:
            return False
        self._statement_by_holder[statement.holder] = statement
        return True

    def seal(self, seal: Seal) -> dict[str, int] | None:
        """Return the holder's last statement, or None if it may be unknown."""
        if seal.witness != self._incarnation:
            return None
        self._sealed.add(seal.holder)
        statement = self._statement_by_holder.get(seal.holder)
        return statement.tokens_by_organisation if statement else {}


def answer_call(book: WitnessBook, path: str, body: bytes) -> tuple[int, bytes]:
    """Return the status and body of a call to a witness."""
    try:
        if path == STATE_PATH:
            statement = msgspec.json.decode(body, type=Statement)
            return (200 if book.state(statement) else 409), b""
        if path == SEAL_PATH:
            tokens = book.seal(msgspec.json.decode(body, type=Seal))
            if tokens is None:
                return 409, b""
            return 200, msgspec.json.encode(tokens)
    except msgspec.DecodeError as error:
        logger.warning("witness_call_unreadable", extra={"cause": str(error)})
        return 400, b""
    return 404, b""


class WitnessClient:
    """Calls witnesses; raises WitnessError."""

    def __init__(self):
        self._calls = PeerClient(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def state(self, address: Address, statement: Statement) -> None:
        """Return once the witness has acknowledged the statement."""
        await self._call(address, STATE_PATH, msgspec.json.encode(statement))

    async def seal(self, address: Address, seal: Seal) -> dict[str, int]:
        """Return the most that the holder can have spent, by organisation."""
        answer = await self._call(address, SEAL_PATH, msgspec.json.encode(seal))
        try:
            return msgspec.json.decode(answer, type=dict[str, int])
        except msgspec.DecodeError as error:
            raise WitnessError(str(error)) from error

    async def _call(self, address: Address, path: str, body: bytes) -> bytes:
        try:
            return await self._calls.post(address, path, body, timeout_s=CALL_TIMEOUT_S)
        except CallFailedError as error:
            raise WitnessError(str(error)) from error
