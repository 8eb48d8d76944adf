"""Confirms reservations with the router's witness before requests are sent."""

import itertools
import logging

import trio

from lavenderfold.escrow._wallet import Wallet
from lavenderfold.escrow._witness import Statement, WitnessClient, WitnessError
from lavenderfold.shared import Relay, RelayDirectory

# What requests left unused is stated again this often.
STATE_PERIOD_S = 0.5
# After this many witnesses in a row failed, the router goes on without one.
WITNESS_ATTEMPTS = 3

logger = logging.getLogger(__name__)


class Confirmer:
    """Keeps one witness informed; a router without relays has none.

    ``relay`` is the witness that the grants in the ledger shall name. A purse
    whose grant names it is confirmed by each acknowledged statement.
    """

    def __init__(
        self, *, wallet: Wallet, holder: str, directory: RelayDirectory | None
    ):
        self.relay: Relay | None = None
        self._wallet = wallet
        self._holder = holder
        self._directory = directory
        self._client = WitnessClient()
        self._sequence = itertools.count(1)
        self._stated = 0
        self._acknowledged = 0
        self._failures = 0
        self._dirty = trio.Event()
        self._changed = trio.Event()

    @property
    def witness(self) -> str:
        return self.relay.incarnation if self.relay else ""

    @property
    def witness_address(self) -> str:
        return str(self.relay.address) if self.relay else ""

    def choose(self) -> None:
        """Choose a witness if there is none and a relay is known."""
        if self.relay is None and self._directory and self._directory.relays:
            self._use(self._directory.relays[0])

    async def confirm(self, organisation: str) -> None:
        """Wait until the witness knows the reservations made so far.

        The caller bounds the wait with a cancel scope.
        """
        purse = self._wallet.purse_by_organisation[organisation]
        target = self._stated + 1
        while True:
            if purse.names_only(self.witness) and (
                self.relay is None or self._acknowledged >= target
            ):
                return
            self._dirty.set()
            changed = self._changed
            await changed.wait()

    def purse_changed(self) -> None:
        """Note that the ledger names another witness for a purse."""
        self._wake()

    async def run(self) -> None:
        """State the router's spending until cancelled."""
        while True:
            with trio.move_on_after(STATE_PERIOD_S):
                await self._dirty.wait()
            self._dirty = trio.Event()
            if self.relay is None:
                self._wake()
                await trio.sleep(STATE_PERIOD_S)
                continue
            await self._state(self.relay)

    async def _state(self, relay: Relay) -> None:
        self._stated = next(self._sequence)
        statement = Statement(
            witness=relay.incarnation,
            holder=self._holder,
            sequence=self._stated,
            tokens_by_organisation={
                organisation: purse.spent + purse.reserved
                for organisation, purse in self._wallet.purse_by_organisation.items()
            },
        )
        try:
            await self._client.state(relay.address, statement)
        except WitnessError as error:
            logger.warning("witness_lost", extra={"cause": str(error)})
            self._replace(relay)
            return
        self._failures = 0
        self._acknowledged = statement.sequence
        self._wake()

    def _replace(self, failed: Relay) -> None:
        self._failures += 1
        self._directory.move_to_end(failed.address)
        others = [each for each in self._directory.relays if each != failed]
        if self._failures >= WITNESS_ATTEMPTS or not others:
            self._failures = 0
            self._use(None)
            return
        self._use(others[0])

    def _use(self, relay: Relay | None) -> None:
        self.relay = relay
        # Statements to the former witness confirm nothing here.
        self._acknowledged = 0
        fields = {"witness": self.witness, "address": self.witness_address}
        logger.info("witness_chosen", extra=fields)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
