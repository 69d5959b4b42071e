"""Servers that say that they are leaving, as entries tell each other.

A server says so in its responses, so that only the entry that has asked it
knows, and tells the others.
"""

from collections import abc as collections_abc
import random

from balsamdale import codec
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import link
from balsamdale import members
from balsamdale import metrics
from balsamdale import peer_news

__all__ = ['LeavingReports', 'LeavingServers', 'PullLeavingServers']

PULL_TIMEOUT_S = 0.4


@codec.message
class PullLeavingServers:
    """Asks a peer which registered servers are leaving."""


@codec.message
class LeavingServers:
    """Reply to `PullLeavingServers`.

    Attributes:
        servers: the servers.
        is_informed: whether the peer has itself asked others since it
            started.
    """

    servers: tuple[discovery.ReportLeaving, ...]
    is_informed: bool


class LeavingReports(peer_news.Topic):
    """Tells other entries of leaving servers, and learns of theirs.

    Args:
        links: connections to peers.
        peers: returns the ids of the other entries.
        directory: the registered servers.
        clock: returns the present time in seconds.
        generator: source of the choice between peers.

    Attributes:
        news: carries them.
        ignored: reports that were out of range.
    """

    def __init__(
        self,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        directory: discovery.Directory,
        clock: collections_abc.Callable[[], float],
        generator: random.Random,
    ):
        self._links = links
        self._directory = directory
        self.news = peer_news.PeerNews(links, peers, self, clock, generator)
        self.ignored = 0
        links.serve(discovery.ReportLeaving, self._on_leaving)
        links.serve(PullLeavingServers, self._on_pull)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        return {
            'servers_leaving': (
                'Registered servers that are leaving',
                self._directory.count_leaving,
            ),
            'leaving_reports_ignored': (
                'Reports of leaving servers that were out of range',
                lambda: self.ignored,
            ),
        }

    async def pull(self, peer_id: str) -> bool:
        reply = await self._links.request(
            peer_id, PullLeavingServers(), PULL_TIMEOUT_S
        )
        if not isinstance(reply, LeavingServers):
            raise errors.UnknownMessage(type(reply).__name__)
        for report in reply.servers:
            self._mark(report)
        return reply.is_informed

    def known(self) -> collections_abc.Iterator[object]:
        return self._directory.leaving()

    def _mark(self, report):
        if report.is_valid():
            self._directory.mark_leaving(report.server_id, report.started_ms)
            return
        self.ignored += 1
        decisions.record(
            'leaving_report_ignored',
            server=report.server_id[:80],
            count=self.ignored,
        )

    async def _on_leaving(self, _sender, message):
        # Not passed on: whoever learned it from the server told all entries.
        self._mark(message)
        yield members.Heard()

    async def _on_pull(self, _sender, _message):
        yield LeavingServers(
            tuple(self._directory.leaving()), self.news.is_informed
        )
