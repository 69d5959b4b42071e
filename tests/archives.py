"""A cluster of archives and a quorum client in one process."""

import random

from balsamdale import archive
from balsamdale import archive_service
from balsamdale import link
from balsamdale import members
from balsamdale import quorum
from balsamdale import relay
from balsamdale import replica_set

WALL_CLOCK_S = 1000.0


class ArchiveCluster:
    """Archives, one entry and a helper that can relay its requests.

    Args:
        count: number of archives.
        losses: archives that may be lost at once.
        make_archive: returns an empty archive; its argument says whether the
            archive is in sync.
        make_links: returns an instance's links to the others.
    """

    def __init__(
        self,
        count=3,
        losses=1,
        make_archive=archive.MemoryArchive,
        make_links=link.MemoryLinks,
    ):
        self._make_archive = make_archive
        self._make_links = make_links
        self.network = link.MemoryNetwork()
        self.losses = losses
        self.services = {}
        self.names = [f'd{n}' for n in range(count)]
        for name in self.names:
            self.add_archive(name, True)
        self.helper = self._make_relay_links('helper')
        self.relay = self._make_relay_links('entry')
        self.quorum = quorum.Quorum(
            self.relay, self.folders, losses, 'domain-d0'
        )

    def folders(self):
        return tuple(
            replica_set.Folder(name, f'domain-{name}') for name in self.names
        )

    def add_archive(self, name, is_in_sync):
        """Start an archive with an empty folder."""
        new_archive = self._make_archive(is_in_sync)
        links = self._make_links(name, self.network)
        links.serve(members.AskAlive, _reply_alive)
        self.services[name] = archive_service.ArchiveService(
            new_archive,
            links,
            relay.RelayLinks(links, list, random.Random(name)),
            lambda: frozenset(self.names),
            self.losses,
            lambda: WALL_CLOCK_S,
        )
        return self.services[name]

    def disconnect_entry(self):
        """Disconnect the entry from the archives, but not from the helper."""
        for name in self.names:
            self.network.cuts.add(('entry', name))
            self.network.cuts.add((name, 'entry'))

    def _make_relay_links(self, name):
        links = self._make_links(name, self.network)
        return relay.RelayLinks(
            links,
            lambda: [n for n in ('entry', 'helper') if n != name],
            random.Random(name),
        )

    def set_disconnected(self, name, is_disconnected=True):
        """Disconnect an archive from all other instances, or reconnect it."""
        for other in ['entry', 'helper', *self.names]:
            for pair in ((name, other), (other, name)):
                if is_disconnected:
                    self.network.cuts.add(pair)
                else:
                    self.network.cuts.discard(pair)

    def holders(self, turn_id):
        """Return the names of the archives that hold a turn."""
        return {
            name
            for name, service in self.services.items()
            if service.archive.find(turn_id) is not None
        }


async def _reply_alive(_sender, _message):
    yield members.Alive(False)
