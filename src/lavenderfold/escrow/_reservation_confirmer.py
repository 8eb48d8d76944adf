"""Confirms reservations with the router's witness before requests are sent."""

import itertools
import logging
import math

import trio

from lavenderfold.escrow._local_balances import LocalBalances
from lavenderfold.escrow._witness import Statement, WitnessClient, WitnessError
from lavenderfold.shared import Relay, RelayDirectory

# A statement is sent at least this often, so that the witness learns of tokens that
# requests reserved but didn't use.
STATEMENT_PERIOD_S = 0.5
# After this many witnesses failed in a row, the router continues without one.
MAX_WITNESS_FAILURES = 3
# It looks for one again after this time, doubled up to the limit while none answers.
# Requests wait meanwhile.
WITNESS_RETRY_S = 5.0
WITNESS_RETRY_LIMIT_S = 60.0

logger = logging.getLogger(__name__)


class ReservationConfirmer:
    """Sends statements of the router's spending to one witness.

    ``relay`` is the witness that the grants in the ledger are to name; it is None if
    no relay is usable. Once a grant names it, each acknowledged statement confirms the
    reservations made from that grant before.
    """

    def __init__(
        self, *, balances: LocalBalances, holder: str, directory: RelayDirectory | None
    ):
        self.relay: Relay | None = None
        self._balances = balances
        self._holder = holder
        self._directory = directory
        self._client = WitnessClient()
        self._sequence = itertools.count(1)
        self._last_sent = 0
        self._last_acknowledged = 0
        self._consecutive_failures = 0
        self._without_until = -math.inf
        self._retry_s = WITNESS_RETRY_S
        self._statement_due = trio.Event()
        self._state_changed = trio.Event()

    @property
    def witness(self) -> str:
        return self.relay.incarnation if self.relay else ""

    @property
    def witness_address(self) -> str:
        return str(self.relay.address) if self.relay else ""

    def choose_witness(self) -> None:
        """Choose a witness if there is none, or a near one instead of a distant one.

        Relays that register after the first listing may be nearer than those in it.
        After several have failed there is none for a while.
        """
        if not self._directory or not self._directory.relays:
            return
        if trio.current_time() < self._without_until:
            return
        first = self._directory.relays[0]
        if self.relay is None or self._is_nearer(first):
            self._use_witness(first)

    def _is_nearer(self, relay: Relay) -> bool:
        directory = self._directory
        return directory.is_near(relay) and not directory.is_near(self.relay)

    async def confirm(self, organisation: str) -> None:
        """Wait until the witness knows the reservations made so far.

        The caller limits the wait with a cancel scope. Without a witness this waits
        only until the ledger names none for the grant.
        """
        balance = self._balances.by_organisation[organisation]
        required_sequence = self._last_sent + 1
        while True:
            if balance.is_witnessed_only_by(self.witness) and (
                self.relay is None or self._last_acknowledged >= required_sequence
            ):
                return
            self._statement_due.set()
            state_changed = self._state_changed
            await state_changed.wait()

    def balances_updated(self) -> None:
        """Check waiting reservations again; the ledger may name another witness now."""
        self._notify_waiting()

    async def run(self) -> None:
        """Send statements of the router's spending until cancelled."""
        while True:
            with trio.move_on_after(STATEMENT_PERIOD_S):
                await self._statement_due.wait()
            self._statement_due = trio.Event()
            if self.relay is None:
                self._notify_waiting()
                await trio.sleep(STATEMENT_PERIOD_S)
                continue
            await self._send_statement(self.relay)

    async def _send_statement(self, relay: Relay) -> None:
        self._last_sent = next(self._sequence)
        statement = Statement(
            witness=relay.incarnation,
            holder=self._holder,
            sequence=self._last_sent,
            tokens_by_organisation={
                organisation: balance.spent + balance.reserved
                for organisation, balance in self._balances.by_organisation.items()
            },
        )
        try:
            await self._client.send_statement(relay.address, statement)
        except WitnessError as error:
            logger.warning("witness_lost", extra={"cause": str(error)})
            self._replace_witness(relay)
            return
        self._consecutive_failures = 0
        self._retry_s = WITNESS_RETRY_S
        self._last_acknowledged = statement.sequence
        self._notify_waiting()

    def _replace_witness(self, failed: Relay) -> None:
        self._consecutive_failures += 1
        self._directory.move_to_end(failed.address)
        # The relay may have restarted, and others with it.
        self._directory.request_refresh()
        others = [each for each in self._directory.relays if each != failed]
        if self._consecutive_failures >= MAX_WITNESS_FAILURES or not others:
            self._consecutive_failures = 0
            self._without_until = trio.current_time() + self._retry_s
            self._retry_s = min(WITNESS_RETRY_LIMIT_S, 2 * self._retry_s)
            self._use_witness(None)
            return
        self._use_witness(others[0])

    def _use_witness(self, relay: Relay | None) -> None:
        self.relay = relay
        # Acknowledgements of the previous witness don't count for this one.
        self._last_acknowledged = 0
        fields = {"witness": self.witness, "address": self.witness_address}
        logger.info("witness_chosen", extra=fields)
        self._notify_waiting()

    def _notify_waiting(self) -> None:
        self._state_changed.set()
        self._state_changed = trio.Event()
