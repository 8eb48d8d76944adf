"""Messages of the run table to links, until they are taken to be sent."""

from lavenderfold.agent._deliveries import (
    Delivery,
    make_end_messages,
    take_new_frames,
)
from lavenderfold.agent._runs import RunRecord
from lavenderfold.messages import RunAccepted, RunEnded, RunUnknown


class Outbox:
    """Replies to send immediately, and running runs whose answers have new parts."""

    __slots__ = ("_replies", "_updated_by_id")

    def __init__(self) -> None:
        self._replies: list[Delivery] = []
        self._updated_by_id: dict[str, RunRecord] = {}

    def add_reply(
        self, link_number: int, message: RunAccepted | RunEnded | RunUnknown
    ) -> None:
        """Add a message to send to one link."""
        self._replies.append(Delivery(link_number, message))

    def add_end(self, record: RunRecord) -> None:
        """Add ``RunEnded`` for each subscription of an ended run."""
        self._replies += make_end_messages(record)

    def add_remainder(self, record: RunRecord) -> None:
        """Add the unsent part of an ended run's answer and ``RunEnded``.

        This ends the run's subscriptions.
        """
        for subscription in record.subscriptions:
            self._replies += take_new_frames(record, subscription)
        self.add_end(record)
        record.subscriptions = []

    def mark_updated(self, record: RunRecord) -> None:
        """Record that a running run has a part of its answer to send."""
        self._updated_by_id[record.run_id] = record

    def clear_updated(self, record: RunRecord) -> None:
        """Send no more frames of a run that is no longer running."""
        self._updated_by_id.pop(record.run_id, None)

    def remove_link(self, link_number: int) -> None:
        """Remove a closed link's replies."""
        self._replies = [reply for reply in self._replies if reply.link != link_number]

    def take_replies(self) -> list[Delivery]:
        """Return and remove the replies."""
        replies, self._replies = self._replies, []
        return replies

    def take_frames(self) -> list[Delivery]:
        """Return the frames with new parts of answers.

        The parts since the last call are joined for each subscription.
        """
        updated, self._updated_by_id = self._updated_by_id, {}
        return [
            frame
            for record in updated.values()
            for subscription in record.subscriptions
            for frame in take_new_frames(record, subscription)
        ]
