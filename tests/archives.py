"""Archives and a quorum before them, joined inside one process."""

from balsamdale import archive
from balsamdale import archive_service
from balsamdale import folders
from balsamdale import link
from balsamdale import quorum

CLOCK_S = 1000.0


class World:
    """Some archives and one entry.

    Args:
        count: archives.
        losses: archives that may be lost at once.
    """

    def __init__(self, count=3, losses=1):
        self.network = link.MemoryNetwork()
        self.losses = losses
        self.services = {}
        self.names = [f'd{n}' for n in range(count)]
        for name in self.names:
            self.add(name, True)
        self.links = link.MemoryLinks('entry', self.network)
        self.quorum = quorum.Quorum(
            self.links, self.members, losses, 'domain-d0'
        )

    def members(self):
        return tuple(
            folders.Folder(name, f'domain-{name}') for name in self.names
        )

    def add(self, name, is_whole):
        """Start an archive with an empty folder."""
        held = archive.MemoryArchive(is_whole)
        self.services[name] = archive_service.ArchiveService(
            held,
            link.MemoryLinks(name, self.network),
            lambda: frozenset(self.names),
            self.losses,
            lambda: CLOCK_S,
        )
        return self.services[name]

    def cut(self, name, is_cut=True):
        """Cut an archive from the entry and from the others."""
        for other in ['entry', *self.names]:
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
