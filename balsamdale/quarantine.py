"""Access to the quarantine of requests that crash backend servers."""

import collections

__all__ = ['Quarantine']

CRASH_LIMIT = 2
SIZE = 10000


class Quarantine:
    """Counts crashes by the digest of the request that was in flight."""

    def __init__(self):
        self._crashes: dict[str, set[str]] = collections.OrderedDict()

    def report(self, digest: str, crash_id: str) -> bool:
        """Account for a crash.

        Args:
            digest: digest of the request's body.
            crash_id: names the crash, so that a repeated report counts once.

        Returns:
            Whether the request is quarantined from now on.
        """
        self._crashes.setdefault(digest, set()).add(crash_id)
        while len(self._crashes) > SIZE:
            self._crashes.popitem(last=False)
        return self.holds(digest)

    def holds(self, digest: str) -> bool:
        """Tell whether a request may not run again."""
        return len(self._crashes.get(digest, ())) >= CRASH_LIMIT
