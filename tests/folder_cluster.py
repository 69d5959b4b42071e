"""Archives on simulated disks, in a replica set that changes.

The real archives, services and members of the replica set run on files whose
unsynced parts a loss of power takes, a key-value service that each instance
sees late, and links that can be cut.
"""

import asyncio
import contextlib
import functools
import os
import pathlib
import random
import shutil

from balsamdale import archive_service
from balsamdale import background
from balsamdale import disk_archive
from balsamdale import keyvalue
from balsamdale import link
from balsamdale import members
from balsamdale import quorum
from balsamdale import relay
from balsamdale import replica_member
from balsamdale import replica_set

# Longest simulated sync of a folder.
MAX_SYNC_S = 0.02
# Longest simulated delay of a message.
MAX_MESSAGE_DELAY_S = 0.005
# Longest time until an instance sees a change of the key-value service.
MAX_MIRROR_DELAY_S = 0.3
STORE_DELAY_S = 0.004
# Seconds after which an archive that is gone counts as absent, as its probes
# have failed; each other archive probes at its own times.
MIN_ABSENCE_DELAY_S = 1.5
MAX_ABSENCE_DELAY_S = 2.5


class SimulatedOs:
    """The module `os`, noting how much of each file is synced."""

    def __init__(self):
        self.synced_bytes: dict[str, int] = {}

    def __getattr__(self, name):
        return getattr(os, name)

    def fsync(self, descriptor):
        """Note the size of a file as durable."""
        path = os.readlink(f'/proc/self/fd/{descriptor}')
        self.synced_bytes[path] = os.fstat(descriptor).st_size

    fdatasync = fsync

    def drop_unsynced(self, folder: pathlib.Path) -> None:
        """Cut the files of a folder to what is durable."""
        for path in folder.glob('*.log'):
            size_bytes = self.synced_bytes.get(str(path.resolve()), 0)
            if path.stat().st_size > size_bytes:
                os.truncate(path, size_bytes)


@contextlib.contextmanager
def simulated_os():
    """Replace the module `os` of the archives on disk."""
    simulated = SimulatedOs()
    disk_archive.os = simulated
    try:
        yield simulated
    finally:
        disk_archive.os = os


class SharedKeys:
    """The key-value service, whose changes each observer sees later.

    Attributes:
        pairs: the present values.
    """

    def __init__(self, generator: random.Random):
        self._generator = generator
        self.pairs: dict[str, bytes] = {}
        self._observers: list[list] = []

    def add_observer(self, replicas: replica_set.ReplicaSet) -> None:
        """Load the present state, and tell later changes in order."""
        for key, value in self.pairs.items():
            replicas.apply_change(key, value)
        self._observers.append([replicas, 0.0])

    async def scan(self, prefix):
        """Return the present pairs under a prefix, and no revision."""
        await asyncio.sleep(STORE_DELAY_S)
        pairs = (
            keyvalue.Pair(key, value, 0)
            for key, value in self.pairs.items()
            if key.startswith(prefix)
        )
        return tuple(pairs), 0

    async def put(self, key, value):
        """Write a key."""
        await asyncio.sleep(STORE_DELAY_S)
        self.pairs[key] = value
        self._tell(key, value)

    async def delete(self, key):
        """Delete a key."""
        await asyncio.sleep(STORE_DELAY_S)
        if self.pairs.pop(key, None) is not None:
            self._tell(key, None)

    def _tell(self, key, value):
        loop = asyncio.get_running_loop()
        for observer in self._observers:
            delay_s = self._generator.uniform(0.0, MAX_MIRROR_DELAY_S)
            observer[1] = max(observer[1], loop.time() + delay_s)
            loop.call_at(observer[1], observer[0].apply_change, key, value)


class FolderArchive(disk_archive.DiskArchive):
    """An archive on disk whose syncs take a random, virtual time."""

    generator = random.Random()

    async def sync_without_blocking(self) -> None:
        self._rewrite_after_failure()
        records = self._take_unsynced()
        await asyncio.sleep(self.generator.uniform(0.0, MAX_SYNC_S))
        self._sync_records(records)


class SlowLinks(link.MemoryLinks):
    """Links whose messages take a random time."""

    async def _stream_from(self, peer_id, message):
        await asyncio.sleep(
            FolderArchive.generator.uniform(0.0, MAX_MESSAGE_DELAY_S)
        )
        async for reply in super()._stream_from(peer_id, message):
            yield reply


class Process:
    """One archive's process on its folder.

    Args:
        cluster: the cluster.
        name: its instance id.
        is_first_start: whether the deployment starts for the first time.
    """

    def __init__(self, cluster, name, is_first_start):
        links = SlowLinks(name, cluster.network)
        links.serve(members.AskAlive, _reply_alive)
        self.replicas = replica_set.ReplicaSet()
        cluster.keys.add_observer(self.replicas)
        self.archive = FolderArchive(
            str(cluster.folder(name)), is_first_start, cluster.wall_s()
        )
        self.service = archive_service.ArchiveService(
            self.archive,
            links,
            relay.RelayLinks(links, list, random.Random(name)),
            self.replicas.names,
            cluster.losses,
            cluster.wall_s,
        )
        self.member = replica_member.ReplicaMember(
            replica_set.Folder(name, f'domain-{name}'),
            self.service,
            self.replicas,
            cluster.keys,
            functools.partial(
                cluster.present,
                cluster.generator.uniform(
                    MIN_ABSENCE_DELAY_S, MAX_ABSENCE_DELAY_S
                ),
            ),
            cluster.losses,
            asyncio.get_running_loop().time,
        )
        self._tasks = background.BackgroundTasks('process')
        self._tasks.spawn_loop(self.service.run)
        self._tasks.spawn_loop(lambda: self.member.run(is_first_start))

    def end_tasks(self):
        """End the loops of the process."""
        self._tasks.cancel()

    def kill(self):
        """End the process; its files remain as they are."""
        self.end_tasks()
        self.service._background.cancel()
        if self.service._sync_task is not None:
            self.service._sync_task.cancel()
        self.archive._active_file.close()
        for descriptor in self.archive._read_descriptors.values():
            os.close(descriptor)
        self.archive._read_descriptors.clear()


class FolderCluster:
    """Archives on folders, and two entries.

    Args:
        root: path for the folders.
        simulated: notes what is durable.
        count: number of archives at the first start.
        losses: archives that may be lost at once.
        seed: seed of the durations of syncs, messages and changes.
    """

    def __init__(self, root, simulated, count, losses, seed):
        generator = random.Random(seed)
        self.generator = generator
        FolderArchive.generator = generator
        self._root = pathlib.Path(root)
        self._os = simulated
        self.losses = losses
        self.keys = SharedKeys(generator)
        self.network = link.MemoryNetwork()
        self.processes: dict[str, Process] = {}
        self._numbers = iter(range(1, 10**6))
        self.entries = [self._make_entry(name) for name in ('entry', 'helper')]
        self._seen_at_s: dict[str, float] = {}
        for _ in range(count):
            self.start(self.new_name(), True)

    def new_name(self) -> str:
        """Return the name of a new machine."""
        return f'd{next(self._numbers)}'

    def folder(self, name: str) -> pathlib.Path:
        """Return the data folder of an archive."""
        return self._root / name

    def wall_s(self) -> float:
        """Return the time of day."""
        return asyncio.get_running_loop().time()

    def present(self, absence_delay_s: float) -> frozenset[str]:
        """Return the archives that ran and were not cut off of late."""
        now_s = self.wall_s()
        for name in self.processes:
            if ('entry', name) not in self.network.cuts:
                self._seen_at_s[name] = now_s
        return frozenset(
            name
            for name, seen_at_s in self._seen_at_s.items()
            if now_s - seen_at_s < absence_delay_s
        )

    def members(self) -> frozenset[str]:
        """Return the present replica set."""
        prefix = replica_set.KEY_PREFIX
        return frozenset(key.removeprefix(prefix) for key in self.keys.pairs)

    def start(self, name: str, is_first_start: bool = False) -> Process:
        """Start a process on the folder of a machine."""
        self.processes[name] = Process(self, name, is_first_start)
        return self.processes[name]

    async def stop(self, name: str) -> None:
        """Stop a process in order."""
        process = self._remove(name)
        process.end_tasks()
        await process.service.close()

    def kill(self, name: str) -> None:
        """Kill a process, if it still runs."""
        if name in self.processes:
            self._remove(name).kill()

    def _remove(self, name):
        self.network.links.pop(name)
        return self.processes.pop(name)

    def cut_power(self, name: str) -> None:
        """End a process and drop what its disk has not synced."""
        self.kill(name)
        self._os.drop_unsynced(self.folder(name))

    def wipe(self, name: str) -> None:
        """End a process and empty its disk."""
        self.kill(name)
        shutil.rmtree(self.folder(name))

    def set_cut(self, name: str, is_cut: bool) -> None:
        """Cut a machine off from all others, or connect it again."""
        others = {'entry', 'helper', *self.processes} - {name}
        for other in others:
            for pair in ((name, other), (other, name)):
                if is_cut:
                    self.network.cuts.add(pair)
                else:
                    self.network.cuts.discard(pair)

    def close(self) -> None:
        """End all processes."""
        for name in list(self.processes):
            self.kill(name)

    def _make_entry(self, name):
        links = SlowLinks(name, self.network)
        replicas = replica_set.ReplicaSet()
        self.keys.add_observer(replicas)
        relay_links = relay.RelayLinks(
            links,
            lambda: [n for n in ('entry', 'helper') if n != name],
            random.Random(name),
        )
        return quorum.Quorum(
            relay_links, replicas.folders, self.losses, 'domain-d1'
        )


async def _reply_alive(_sender, _message):
    yield members.Alive(False)
