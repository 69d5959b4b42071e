"""Shards and their placement: which instance owns one, and its replicas."""

import hashlib

from balsamdale import codec

__all__ = [
    'SHARD_COUNT',
    'DataFolder',
    'Placement',
    'key_of',
    'rank',
    'root_of',
    'shard_of',
]

SHARD_COUNT = 8192
SHARD_KEY_PREFIX = 'balsamdale/shards/'


@codec.message
class DataFolder:
    """A data folder on an instance's disk."""

    folder_id: str
    instance_id: str
    failure_domain: str


@codec.message
class Placement:
    """Value of a shard's key in the key-value service.

    Attributes:
        shard: shard number.
        owner_id: owning instance; empty after a graceful handover.
        epoch: number of the ownership; each takeover adds one.
        folders: the replicas of the shard's log.
        change_id: unique id of the write, to recognise it when its reply
            was lost.
    """

    shard: int
    owner_id: str
    epoch: int
    folders: tuple[DataFolder, ...]
    change_id: str


def key_of(shard: int) -> str:
    """Return the key of a shard."""
    return f'{SHARD_KEY_PREFIX}{shard:05d}'


def root_of(program_id: str) -> str:
    """Return the id of the root program of a tree of sub-agents."""
    return program_id.partition('/')[0]


def shard_of(program_id: str) -> int:
    """Return the shard of a program; a whole tree is in one shard."""
    digest = hashlib.blake2b(root_of(program_id).encode(), digest_size=8)
    return int.from_bytes(digest.digest()) % SHARD_COUNT


def rank(key: str, names: list[str]) -> list[str]:
    """Order names by rendezvous hashing, highest weight first."""

    def weight(name):
        return hashlib.blake2b(
            f'{key}|{name}'.encode(), digest_size=8
        ).digest()

    return sorted(names, key=weight, reverse=True)
