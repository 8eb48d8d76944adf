"""Returns of loans, repeated until they must have arrived at the lender."""

from collections.abc import Callable

from lavenderfold.messages import LoanReturn
from lavenderfold.router._link_timing import peer_silence_limit_s
from lavenderfold.router._peer import Peer


class _SentReturn:
    """A loan return that was posted at ``sent_at`` and may be lost with its link."""

    __slots__ = ("message", "peer", "sent_at")

    def __init__(self, *, message: LoanReturn, peer: Peer, sent_at: float):
        self.message = message
        self.peer = peer
        self.sent_at = sent_at

    def has_arrived(self, now: float, *, own_heartbeat_s: float) -> bool:
        """Return whether the lender must have received it if the link is open.

        A lender that receives nothing closes the link after the silence limit that
        follows from this router's heartbeats, and its silence is noticed here after
        that of its own heartbeats.
        """
        return now - self.sent_at > (
            peer_silence_limit_s(own_heartbeat_s)
            + peer_silence_limit_s(self.peer.heartbeat_s)
        )


class LoanReturns:
    """The returns that were not sent yet or may have been lost with their link.

    ``lender_by_loan_id`` names the incarnation that gave each loan. A return that
    arrives a second time changes nothing, and the lender doesn't confirm it.
    """

    def __init__(self):
        self.lender_by_loan_id: dict[str, int] = {}
        self._pending: list[LoanReturn] = []
        self._sent: list[_SentReturn] = []

    def send(
        self,
        returned: list[LoanReturn],
        *,
        connected: Callable[[], list[Peer]],
        own_heartbeat_s: float,
        now: float,
    ) -> None:
        """Send these returns, and those that weren't sent or may have been lost.

        A return whose lender isn't among the ``connected`` ones is kept.
        ``own_heartbeat_s`` is the heartbeat period of this router's links.
        """
        self._pending += self._take_lost(now, own_heartbeat_s) + returned
        if not self._pending:
            return
        peer_by_incarnation = {peer.hello.incarnation: peer for peer in connected()}
        still_pending = []
        for each in self._pending:
            peer = peer_by_incarnation.get(self.lender_by_loan_id.get(each.loan_id))
            if peer is None or not peer.post(each):
                still_pending.append(each)
            else:
                self._sent.append(_SentReturn(message=each, peer=peer, sent_at=now))
        self._pending = still_pending

    def _take_lost(self, now: float, own_heartbeat_s: float) -> list[LoanReturn]:
        """Remove the returns whose link has closed, and forget those that arrived."""
        lost = []
        still_sent = []
        for sent in self._sent:
            if sent.peer.link.closed:
                lost.append(sent.message)
            elif sent.has_arrived(now, own_heartbeat_s=own_heartbeat_s):
                self.lender_by_loan_id.pop(sent.message.loan_id, None)
            else:
                still_sent.append(sent)
        self._sent = still_sent
        return lost
