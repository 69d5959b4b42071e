"""Quarantine of requests that crash backend servers."""

import collections
from collections import abc as collections_abc

from balsamdale import codec

__all__ = ['Quarantine', 'ReportCrash']

CRASH_LIMIT = 2
DIGEST_LIMIT = 10000


@codec.message
class ReportCrash:
    """Reports to a peer that a server died with a request in flight."""

    crash_id: str
    digest: str


class Quarantine:
    """Counts crashes by the digest of the request that was in flight.

    Args:
        crash_limit: number of crashes after which a request is quarantined.
    """

    def __init__(self, crash_limit: int = CRASH_LIMIT):
        self._crash_limit = crash_limit
        self._crashes: dict[str, set[str]] = collections.OrderedDict()

    def report(self, digest: str, crash_id: str) -> bool:
        """Record a crash, and evict the oldest digest if there are too many.

        Args:
            digest: crash digest of the request.
            crash_id: id of the crash; a repeated report counts once.

        Returns:
            Whether the request is now quarantined.
        """
        self._crashes.setdefault(digest, set()).add(crash_id)
        while len(self._crashes) > DIGEST_LIMIT:
            self._crashes.popitem(last=False)
        return self.is_quarantined(digest)

    def is_suspected(self, digest: str) -> bool:
        """Return whether a server crashed with the request in flight."""
        return digest in self._crashes

    def reports(self) -> collections_abc.Iterator[tuple[str, str]]:
        """Yield each digest with each of its crashes."""
        for digest, crash_ids in self._crashes.items():
            for crash_id in crash_ids:
                yield digest, crash_id

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request must not run again."""
        return len(self._crashes.get(digest, ())) >= self._crash_limit
