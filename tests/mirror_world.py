"""A random world of a store that is read in pages, and of its copies."""

from balsamdale import keyvalue
from balsamdale import mirror


class PagedWorld:
    """A store that is read in pages, watchers, and followers of any of them.

    A step changes the store, reads a page, or brings one copy forward.
    """

    KEYS = tuple('abcdef')

    def __init__(self, generator):
        self.generator = generator
        self.revision = 1
        self.pairs = {}
        self.events = []
        self.copies = [mirror.Mirror() for _ in range(5)]
        self.watchers = self.copies[:2]
        self.followers = self.copies[2:]
        self.pages = {}
        for copy in self.copies:
            copy.add_listener('', self._record_values())

    def _record_values(self):
        """Return a listener that checks that no key goes back.

        Each value is the revision of its write.
        """
        newest = {}

        def record(key, value):
            if value is not None:
                assert int(value) > newest.get(key, 0), key
                newest[key] = int(value)

        return record

    def step(self):
        self.generator.choice(
            (
                self.write,
                self.write,
                self.read_page,
                self.read_page,
                self.watch,
                self.follow,
                self.follow,
                self.pull,
            )
        )()
        self.check_complete()

    def write(self):
        """Write or remove up to two keys in one transaction."""
        self.revision += 1
        for key in sorted(set(self.generator.choices(self.KEYS, k=2))):
            value = b'%d' % self.revision
            if self.generator.random() < 0.3:
                value = None
            if value is not None:
                self.pairs[key] = keyvalue.Pair(key, value, self.revision)
            elif self.pairs.pop(key, None) is None:
                continue
            self.events.append(keyvalue.Change(key, value, self.revision))

    def read_page(self):
        """Read one key more of a snapshot; load it after the last one."""
        number = self.generator.randrange(len(self.watchers))
        start, read = self.pages.setdefault(number, (self.revision, {}))
        key = self.KEYS[len(read)]
        read[key] = self.pairs.get(key)
        if len(read) == len(self.KEYS):
            found = [pair for pair in read.values() if pair is not None]
            self.watchers[number].load_snapshot(found, start)
            del self.pages[number]

    def watch(self):
        copy = self.generator.choice(self.watchers)
        if copy.revision:
            changes = [e for e in self.events if e.revision > copy.revision]
            copy.apply_changes(changes, self.revision)

    def follow(self):
        copy = self.generator.choice(self.followers)
        watcher = self.generator.choice(self.watchers)
        changes = watcher.changes_after(copy.revision)
        if not copy.revision or not watcher.revision:
            return
        if changes is None:
            self._load_copy(copy, watcher)
        else:
            copy.apply_part(changes, watcher.revision, False)
            copy.apply_changes([], watcher.revision)

    def pull(self):
        copy = self.generator.choice(self.copies)
        peer = self.generator.choice(self.copies)
        if peer.revision > copy.revision:
            self._load_copy(copy, peer)

    def _load_copy(self, copy, peer):
        copy.load_snapshot(_pairs_of(peer), peer.revision, is_of_peer=True)

    def check_complete(self):
        """Check that each copy has every key as of its revision, or later."""
        for copy in self.copies:
            latest = {
                e.key: e for e in self.events if e.revision <= copy.revision
            }
            for key, event in latest.items():
                is_later = copy.get_revision(key) > event.revision
                is_removed_later = copy.get(key) is None and any(
                    e.key == key and e.revision > copy.revision
                    for e in self.events
                )
                assert (
                    copy.get(key) == event.value
                    or is_later
                    or is_removed_later
                ), key

    def converge(self):
        """Let all copies reach the store's revision; each must equal it."""
        for watcher in self.watchers:
            watcher.load_snapshot(self.pairs.values(), self.revision)
        for copy in self.followers:
            changes = self.watchers[0].changes_after(copy.revision)
            if changes is None or not copy.revision:
                self._load_copy(copy, self.watchers[0])
            else:
                copy.apply_changes(changes, self.revision)
        for copy in self.copies:
            held = {pair.key: pair for pair in _pairs_of(copy)}
            assert held == self.pairs


def _pairs_of(copy):
    return [keyvalue.Pair(*fields) for fields in copy.snapshot()]
