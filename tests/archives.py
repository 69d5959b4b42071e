"""Archives and a quorum before them, joined inside one process."""

import random

from balsamdale import archive
from balsamdale import archive_service
from balsamdale import link
from balsamdale import members
from balsamdale import quorum
from balsamdale import relay
from balsamdale import replica_set

CLOCK_S = 1000.0


class ArchiveCluster:
    """Some archives and one entry.

    Args:
        count: archives.
        losses: archives that may be lost at once.
        make_archive: returns an empty archive; told whether it is whole.
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
            self.add(name, True)
        self.helper = self._relay('helper')
        self.relay = self._relay('entry')
        self.quorum = quorum.Quorum(
            self.relay, self.members, losses, 'domain-d0'
        )

    def members(self):
        return tuple(
            replica_set.Folder(name, f'domain-{name}') for name in self.names
        )

    def add(self, name, is_whole):
        """Start an archive with an empty folder."""
        held = self._make_archive(is_whole)
        links = self._make_links(name, self.network)
        links.serve(members.AskAlive, _alive)
        self.services[name] = archive_service.ArchiveService(
            held,
            links,
            relay.RelayLinks(links, list, random.Random(name)),
            lambda: frozenset(self.names),
            self.losses,
            lambda: CLOCK_S,
        )
        return self.services[name]

    def cut_entry(self):
        """Cut the entry from the archives, but not from the helper."""
        for name in self.names:
            self.network.cuts.add(('entry', name))
            self.network.cuts.add((name, 'entry'))

    def _relay(self, name):
        links = self._make_links(name, self.network)
        return relay.RelayLinks(
            links,
            lambda: [n for n in ('entry', 'helper') if n != name],
            random.Random(name),
        )

    def cut(self, name, is_cut=True):
        """Cut an archive from all other instances."""
        for other in ['entry', 'helper', *self.names]:
            for pair in ((name, other), (other, name)):
                if is_cut:
                    self.network.cuts.add(pair)
                else:
                    self.network.cuts.discard(pair)

    def holders(self, turn_id):
        """Return the archives that hold a turn."""
        return {
            name
            for name, service in self.services.items()
            if service.archive.find(turn_id) is not None
        }


async def _alive(_sender, _message):
    yield members.Alive(False)
