"""News that entries tell each other, and learn when they start.

What an entry hears of only at the moment that it happens is unknown to one
that starts later, and to one that was cut off. So an entry asks others when
it starts, and tells a peer again that it did not reach.
"""

import abc
import asyncio
from collections import abc as collections_abc
import random

from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link

__all__ = ['PeerNews', 'Topic']

# Peers that an entry asks when it starts.
MAX_ASKED = 6
ASK_INTERVAL_S = 0.5
# Requests come as soon as an entry knows its peers.
PEERS_CHECK_INTERVAL_S = 0.02
# An entry that knows of no peer for so long has none.
ALONE_AFTER_S = 30.0
# Pauses between attempts to reach a peer that has missed something.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 2.0
# A peer that is silent for so long is gone. One that is cut off is taken for
# dead earlier, and comes back as it was.
GIVE_UP_S = 600.0
# What a message fails with at a peer of an earlier build.
NOT_UNDERSTOOD = (errors.RemoteError, errors.UnknownMessage)


class Topic(abc.ABC):
    """What entries tell each other of one kind."""

    @abc.abstractmethod
    async def pull(self, peer_id: str) -> bool:
        """Learn what a peer knows.

        Returns:
            Whether the peer is informed: it has asked others itself since it
            started.

        Raises:
            LinkError: the peer did not reply, or is of an earlier build.
        """

    @abc.abstractmethod
    def known(self) -> collections_abc.Iterator[object]:
        """Yield messages that tell a peer all that is known here."""


class PeerNews:
    """Tells other entries the news of one topic, and learns of theirs.

    Args:
        links: connections to peers.
        peers: returns the ids of the other entries.
        topic: what is told.
        clock: returns the present time in seconds.
        generator: source of the choice between peers.

    Attributes:
        is_informed: whether it knows what other entries knew at its start.
    """

    def __init__(
        self,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        topic: Topic,
        clock: collections_abc.Callable[[], float],
        generator: random.Random,
    ):
        self._links = links
        self._peers = peers
        self._topic = topic
        self._clock = clock
        self._generator = generator
        self._background = background.BackgroundTasks('news')
        # Peers that have missed something.
        self._behind: set[str] = set()
        self.is_informed = False

    def tell(self, message: object, earlier_message: object = None) -> None:
        """Tell all other entries.

        Args:
            message: the news.
            earlier_message: the same for peers of an earlier build, which do
                not know the class of `message`; None if there is none.
        """
        for name in self._peers():
            self._background.spawn(self._tell(name, message, earlier_message))

    def close(self) -> None:
        """Cancel messages in flight."""
        self._background.cancel()

    def learn_again(self) -> None:
        """Ask peers what was missed, as in a pause of this process."""
        self._background.spawn(self.learn())

    async def learn(self) -> None:
        """Ask peers until one has told all that it knows."""
        ends_at_s = self._clock() + ALONE_AFTER_S
        while not self._peers() and self._clock() < ends_at_s:
            await asyncio.sleep(PEERS_CHECK_INTERVAL_S)
        while self._peers() and not await self._ask_peers():
            await asyncio.sleep(ASK_INTERVAL_S)
        self.is_informed = True

    async def _ask_peers(self):
        """Return whether peers have told what they know.

        Peers that have started a moment ago know nothing yet.
        """
        names = self._peers()
        has_reply = False
        asked = self._generator.sample(names, min(len(names), MAX_ASKED))
        for name in asked:
            try:
                is_informed = await self._topic.pull(name)
            except NOT_UNDERSTOOD:
                is_informed = False
            except errors.LinkError:
                continue
            has_reply = True
            if is_informed:
                break
        return has_reply

    async def _tell(self, name, message, earlier_message):
        try:
            await self._links.request(name, message)
        except NOT_UNDERSTOOD:
            if earlier_message is not None:
                await self._tell(name, earlier_message, None)
        except errors.LinkError as error:
            decisions.record('report_lost', peer=name, reason=str(error))
            if name not in self._behind:
                self._behind.add(name)
                self._background.spawn(self._catch_up(name))

    async def _catch_up(self, name):
        """Tell a peer all that is known, once it can be reached again."""
        interval_s = FIRST_RETRY_S
        ends_at_s = self._clock() + GIVE_UP_S
        try:
            while self._clock() < ends_at_s:
                await asyncio.sleep(interval_s)
                if await self._tell_known(name):
                    return
                interval_s = min(MAX_RETRY_S, 2 * interval_s)
        finally:
            self._behind.discard(name)

    async def _tell_known(self, name):
        """Tell a peer all that is known; return whether it was reached."""
        try:
            for message in self._topic.known():
                await self._links.request(name, message)
        except NOT_UNDERSTOOD:
            return True
        except errors.LinkError:
            return False
        return True
