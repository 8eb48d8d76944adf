"""Witnesses: relays that know the most that a router can have spent.

Before a router sends a request it sends a statement of its spending, which includes
the request, to its witness and waits for the acknowledgement. After the router died,
its successor seals the statement. The witness acknowledges no further statement of a
sealed holder, so the tokens above the last one can't have been spent and can be
granted again.
"""

import logging

import msgspec

from lavenderfold.escrow._ledger import WitnessedSpending
from lavenderfold.http import CallFailedError, PeerClient
from lavenderfold.settings import Address

WITNESS_PREFIX = "/witness/"
STATEMENT_PATH = "/witness/state"
SEAL_PATH = "/witness/seal"
# As long as a request waits for its tokens: on a link that is full an answer takes half
# a second, and other relays are reached over the same link.
CALL_TIMEOUT_S = 0.7
CONNECT_TIMEOUT_S = 0.6
# A copy to which the store goes back is some seconds old, and a running router sends a
# statement each 0.5 s. The copy has all that a holder spent which sent none for longer.
RECENT_STATEMENT_S = 60.0

logger = logging.getLogger(__name__)


class WitnessError(Exception):
    """A witness couldn't be reached, or refused a statement or a seal."""


class Statement(msgspec.Struct, frozen=True):
    """The most that a holder can have spent, by organisation, in tokens.

    ``sequence`` orders the statements of one holder.
    """

    witness: str
    holder: str
    sequence: int
    tokens_by_organisation: dict[str, int]


class Seal(msgspec.Struct, frozen=True):
    """Asks for a holder's last statement and stops the holder from making more."""

    witness: str
    holder: str


class WitnessRecords:
    """The statements that one relay keeps in memory; ``incarnation`` is the relay's."""

    def __init__(self, *, incarnation: str):
        self._incarnation = incarnation
        self._statement_by_holder: dict[str, Statement] = {}
        self._recorded_at_by_holder: dict[str, float] = {}
        self._sealed_holders: set[str] = set()

    def record(self, statement: Statement, *, now: float = 0.0) -> bool:
        """Store a statement; return False if it must not be acknowledged."""
        if (
            statement.witness != self._incarnation
            or statement.holder in self._sealed_holders
        ):
            return False
        known = self._statement_by_holder.get(statement.holder)
        if known is not None and statement.sequence <= known.sequence:
            return False
        self._statement_by_holder[statement.holder] = statement
        self._recorded_at_by_holder[statement.holder] = now
        return True

    def recent_spending(self, *, now: float) -> list[WitnessedSpending]:
        """Return what holders stated recently, to be restated after a rollback."""
        return [
            WitnessedSpending(organisation, holder, tokens)
            for holder, statement in self._statement_by_holder.items()
            if now - self._recorded_at_by_holder[holder] <= RECENT_STATEMENT_S
            for organisation, tokens in statement.tokens_by_organisation.items()
            if tokens > 0
        ]

    def seal(self, seal: Seal) -> dict[str, int] | None:
        """Accept no more statements of a holder and return the tokens of its last one.

        Returns an empty mapping if there was none, and None if the seal is meant for
        another incarnation of this relay, whose statements are unknown.
        """
        if seal.witness != self._incarnation:
            return None
        self._sealed_holders.add(seal.holder)
        statement = self._statement_by_holder.get(seal.holder)
        return statement.tokens_by_organisation if statement else {}


def answer_call(
    records: WitnessRecords, path: str, body: bytes, *, now: float = 0.0
) -> tuple[int, bytes]:
    """Handle an HTTP call to a witness; return the status and body of the response."""
    try:
        if path == STATEMENT_PATH:
            statement = msgspec.json.decode(body, type=Statement)
            return (200 if records.record(statement, now=now) else 409), b""
        if path == SEAL_PATH:
            tokens = records.seal(msgspec.json.decode(body, type=Seal))
            return 200, msgspec.json.encode(tokens)
    except msgspec.DecodeError as error:
        logger.warning("witness_call_unreadable", extra={"cause": str(error)})
        return 400, b""
    return 404, b""


class WitnessClient:
    """Calls witnesses; all methods raise WitnessError."""

    def __init__(self):
        self._calls = PeerClient(connect_timeout_s=CONNECT_TIMEOUT_S)

    async def send_statement(self, address: Address, statement: Statement) -> None:
        """Return once the witness has acknowledged the statement."""
        await self._call(address, STATEMENT_PATH, msgspec.json.encode(statement))

    async def seal(self, address: Address, seal: Seal) -> dict[str, int] | None:
        """Return the most that the holder can have spent, by organisation.

        Returns None if the witness has restarted: its statements are lost for good.
        """
        answer = await self._call(address, SEAL_PATH, msgspec.json.encode(seal))
        try:
            return msgspec.json.decode(answer, type=dict[str, int] | None)
        except msgspec.DecodeError as error:
            raise WitnessError(str(error)) from error

    async def _call(self, address: Address, path: str, body: bytes) -> bytes:
        try:
            return await self._calls.post(address, path, body, timeout_s=CALL_TIMEOUT_S)
        except CallFailedError as error:
            raise WitnessError(str(error)) from error
