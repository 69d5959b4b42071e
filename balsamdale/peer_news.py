"""News that entries tell each other."""

from collections import abc as collections_abc

from balsamdale import background
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link

__all__ = ['PeerNews']

# What a message fails with at a peer of an earlier build.
NOT_UNDERSTOOD = (errors.RemoteError, errors.UnknownMessage)


class PeerNews:
    """Tells other entries the news of one topic.

    Args:
        links: connections to peers.
        peers: returns the ids of the other entries.
    """

    def __init__(
        self,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
    ):
        self._links = links
        self._peers = peers
        self._background = background.BackgroundTasks('news')

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

    async def _tell(self, name, message, earlier_message):
        try:
            await self._links.request(name, message)
        except NOT_UNDERSTOOD:
            if earlier_message is not None:
                await self._tell(name, earlier_message, None)
        except errors.LinkError as error:
            decisions.record('report_lost', peer=name, reason=str(error))
