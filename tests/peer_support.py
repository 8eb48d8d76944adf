"""Links to peers of a router, without sockets."""

from types import SimpleNamespace

import trio

from lavenderfold.messages import PeerHello
from lavenderfold.router._peers import Peer, PeerHandlers, PeerLinks
from lavenderfold.timers import TimerService

HAND_BACK_WAIT_S = 2.0


class FakeLink:
    """The router's end of a link to a peer; keeps what was posted."""

    closed = False

    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)

    def close(self):
        self.closed = True


def hello(incarnation):
    return PeerHello(
        router=f"r{incarnation}",
        incarnation=incarnation,
        region="s",
        failure_domain="f",
        revision=0,
    )


def make_peers(*incarnations, returned=None):
    """Return peer links of router 1 to these other incarnations, and the peers."""
    ignored = dict.fromkeys(
        (
            "lend",
            "accept_loan_return",
            "hand_back_for_peer",
            "snapshot",
            "take_snapshot",
            "commit",
            "handle_answer",
            "link_lost",
        ),
        lambda *_: None,
    )
    handlers = PeerHandlers(tokens_returned=lambda _: None, **ignored)
    settings = SimpleNamespace(
        region="s",
        failure_domain="f",
        limits=SimpleNamespace(hand_back_wait_s=HAND_BACK_WAIT_S),
    )
    links = PeerLinks(
        settings=settings,
        timers=TimerService(clock=trio.current_time),
        hello=lambda: hello(1),
        handlers=handlers,
    )
    peers = []
    for incarnation in incarnations:
        peer = Peer(link=FakeLink(), now=0.0)
        peer.hello = hello(incarnation)
        links._peers.append(peer)
        peers.append(peer)
    return links, peers
