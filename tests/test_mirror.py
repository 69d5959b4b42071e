"""Tests of the mirror of the key-value service."""

import random

from balsamdale import keyvalue
from balsamdale import mirror


def test_copy_never_goes_back():
    copy = mirror.Mirror()
    pair = keyvalue.Pair('a', b'new', 9)
    assert copy.load_snapshot([pair], 9)
    assert not copy.load_snapshot([keyvalue.Pair('a', b'old', 5)], 8)
    copy.apply_changes([keyvalue.Change('a', b'old', 7)], 7)
    assert copy.get('a') == b'new'


def test_listeners_hear_each_change_below_their_prefix():
    received_changes = []
    copy = mirror.Mirror()
    copy.add_listener(
        'a/', lambda key, value: received_changes.append((key, value))
    )
    copy.load_snapshot(
        [keyvalue.Pair('a/1', b'x', 1), keyvalue.Pair('b', b'y', 2)], 3
    )
    copy.apply_changes([keyvalue.Change('a/1', None, 4)], 4)
    copy.load_snapshot([keyvalue.Pair('a/2', b'z', 6)], 7)
    copy.load_snapshot([], 8)
    assert received_changes == [
        ('a/1', b'x'),
        ('a/1', None),
        ('a/2', b'z'),
        ('a/2', None),
    ]


def test_loaded_copy_is_told_as_a_change_of_the_copy():
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'x', 5)], 10)
    assert (copy.revision, copy.last_change_revision) == (10, 5)
    copy.load_snapshot([], 12)
    assert (copy.revision, copy.last_change_revision) == (12, 12)


def test_older_write_does_not_replace_a_later_one_of_a_snapshot():
    """A snapshot in pages has writes that the watch delivers afterwards."""
    received_changes = []
    copy = mirror.Mirror()
    copy.add_listener(
        '', lambda key, value: received_changes.append((key, value))
    )
    copy.load_snapshot([keyvalue.Pair('z', b'new', 15)], 10)
    copy.apply_changes([keyvalue.Change('z', b'old', 12)], 12)
    assert copy.get('z') == b'new'
    copy.apply_changes(
        [keyvalue.Change('a', b'1', 13), keyvalue.Change('z', b'new', 15)], 15
    )
    assert received_changes == [('z', b'new'), ('a', b'1')]


def test_followers_hear_of_a_write_once_the_copy_is_complete_at_it():
    """Guards against a position that the source of the copy never had."""
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('z', b'new', 15)], 10)
    assert (copy.revision, copy.last_change_revision) == (10, 10)
    assert copy.changes_after(10) == ()
    copy.apply_changes(
        [keyvalue.Change('a', b'1', 13), keyvalue.Change('z', b'new', 15)], 15
    )
    assert [c.key for c in copy.changes_after(10)] == ['a', 'z']


def test_copy_of_a_peer_does_not_replace_a_later_write():
    copy = mirror.Mirror()
    copy.load_snapshot(
        [keyvalue.Pair('y', b'new', 14), keyvalue.Pair('z', b'new', 15)], 10
    )
    copy.load_snapshot([keyvalue.Pair('z', b'old', 12)], 13)
    assert copy.get('y') == copy.get('z') == b'new'
    copy.apply_changes([keyvalue.Change('y', None, 16)], 16)
    assert copy.get('y') is None


def test_followers_get_the_whole_copy_after_a_snapshot():
    """A key that came and went between two snapshots is in neither."""
    copy = mirror.Mirror()
    copy.load_snapshot([keyvalue.Pair('a', b'1', 3)], 10)
    copy.apply_changes([keyvalue.Change('a', b'2', 15)], 20)
    copy.load_snapshot([keyvalue.Pair('a', b'2', 15)], 30)
    assert copy.changes_after(20) is None
    assert copy.changes_after(30) == ()


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
        for key in set(self.generator.choices(self.KEYS, k=2)):
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
            copy.load_snapshot(_pairs_of(watcher), watcher.revision)
        else:
            copy.apply_part(changes, watcher.revision, False)
            copy.apply_changes([], watcher.revision)

    def pull(self):
        copy = self.generator.choice(self.copies)
        peer = self.generator.choice(self.copies)
        if peer.revision > copy.revision:
            copy.load_snapshot(_pairs_of(peer), peer.revision)

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


def _pairs_of(copy):
    return [keyvalue.Pair(*fields) for fields in copy.snapshot()]


def test_copies_are_complete_up_to_their_revisions():
    """Guards against positions taken from anything but the source's own."""
    for seed in range(300):
        world = PagedWorld(random.Random(seed))
        for _ in range(120):
            world.step()
        for watcher in world.watchers:
            watcher.load_snapshot(world.pairs.values(), world.revision)
        for follower in world.followers:
            changes = world.watchers[0].changes_after(follower.revision)
            if changes is None or not follower.revision:
                follower.load_snapshot(
                    _pairs_of(world.watchers[0]), world.revision
                )
            else:
                follower.apply_changes(changes, world.revision)
        for copy in world.copies:
            held = {pair.key: pair for pair in _pairs_of(copy)}
            assert held == world.pairs, seed
