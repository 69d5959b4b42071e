"""Quarantine of requests that crash backend servers.

A server that dies takes all of its requests with it, and only one of them
may be the cause. Each is suspected until it runs to its end at another
server; one that is in flight at `crash_limit` crashes, and at none of its
runs in between ends whole, is quarantined. Evidence ages, so that a request
that was wrongly quarantined comes back. It does no I/O and takes the present
time as an argument. See docs/design/quarantine.md.
"""

from collections import abc as collections_abc
import dataclasses
import math

from balsamdale import codec

__all__ = [
    'CrashRecord',
    'Quarantine',
    'ReportCrash',
    'ReportedCrashes',
    'RequestsHarmless',
]

CRASH_LIMIT = 2
RECORD_LIMIT = 10000
# How long a request is suspected after its latest crash.
SUSPICION_S = 600.0
# How long the first, the second and each later quarantine of a request last.
QUARANTINES_S = (600.0, 3600.0, 86400.0)
# Bounds of what a peer may tell of one request.
MAX_CRASH_IDS = 16
MAX_TEXT_LENGTH = 512


@codec.message
class ReportCrash:
    """Reports to a peer that a server died with a request in flight.

    Builds that do not know `ReportedCrashes` send it; its digest is that of
    path and body alone.
    """

    crash_id: str
    digest: str


@codec.message
class CrashRecord:
    """The crashes of one request, as they are told to a peer.

    Attributes:
        digest: crash digest of the request.
        workspace: workspace of its caller; None if an earlier build has
            reported it.
        crash_ids: ids of the crashes that count.
        age_s: time since the latest crash was reported.
        quarantines: how often it was quarantined.
        held_s: rest of the present quarantine; 0 without one.
    """

    digest: str
    workspace: str | None
    crash_ids: tuple[str, ...]
    age_s: float = 0.0
    quarantines: int = 0
    held_s: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the fields are in range."""
        texts = (self.digest, self.workspace or '', *self.crash_ids)
        return (
            bool(self.digest)
            and len(self.crash_ids) <= MAX_CRASH_IDS
            and max(map(len, texts)) <= MAX_TEXT_LENGTH
            and math.isfinite(self.age_s + self.held_s)
        )


@codec.message
class ReportedCrashes:
    """Tells a peer about crashes."""

    records: tuple[CrashRecord, ...]


@codec.message
class RequestsHarmless:
    """Tells a peer that suspected requests have run to their end."""

    digests: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Record:
    """The crashes of one request.

    Attributes:
        workspace: see `CrashRecord`.
        crash_ids: the latest crashes, as many as the limit.
        latest_s: time of the latest one.
        quarantines: how often it was quarantined.
        held_until_s: end of the latest quarantine.
        forgotten_at_s: time at which the record no longer counts.
    """

    workspace: str | None
    crash_ids: list[str]
    latest_s: float
    quarantines: int = 0
    held_until_s: float = 0.0
    forgotten_at_s: float = 0.0


class Quarantine:
    """Counts crashes by the digest of the request that was in flight.

    Args:
        crash_limit: number of crashes after which a request is quarantined.
        record_limit: number of requests that are remembered.

    Attributes:
        refuted: suspected requests that then ran to their end.
        evicted: records that were dropped for others.
    """

    def __init__(
        self,
        crash_limit: int = CRASH_LIMIT,
        record_limit: int = RECORD_LIMIT,
    ):
        self._crash_limit = crash_limit
        self._record_limit = record_limit
        self._records: dict[str, _Record] = {}
        # Digests of each workspace, those of the oldest crashes first.
        self._digests: dict[str | None, dict[str, None]] = {}
        self.refuted = 0
        self.evicted = 0

    def __len__(self):
        return len(self._records)

    def report(
        self,
        digest: str,
        crash_id: str,
        now_s: float,
        workspace: str | None = None,
    ) -> bool:
        """Record a crash.

        Args:
            digest: crash digest of the request.
            crash_id: id of the crash; a repeated report counts once.
            now_s: present time.
            workspace: workspace of its caller; None if it is unknown.

        Returns:
            Whether the request is quarantined from now on, and was not.
        """
        return self._add(digest, crash_id, now_s, now_s, workspace)

    def _add(self, digest, crash_id, reported_s, now_s, workspace):
        record = self._find(digest, now_s)
        if record is None:
            record = _Record(workspace, [], reported_s)
        if crash_id in record.crash_ids:
            return False
        record.crash_ids = [*record.crash_ids, crash_id]
        del record.crash_ids[: -self._crash_limit]
        record.latest_s = max(record.latest_s, reported_s)
        is_new = (
            len(record.crash_ids) >= self._crash_limit
            and now_s >= record.held_until_s
        )
        if is_new:
            length_s = _quarantine_s(record.quarantines)
            record.quarantines += 1
            record.held_until_s = now_s + length_s
        self._keep(digest, record)
        return is_new

    def is_suspected(self, digest: str, now_s: float) -> bool:
        """Return whether a server crashed with the request in flight."""
        return self._find(digest, now_s) is not None

    def is_quarantined(
        self, digest: str, now_s: float, earlier_digest: str = ''
    ) -> bool:
        """Return whether a request must not run again.

        Args:
            digest: crash digest of the request.
            now_s: present time.
            earlier_digest: its digest in reports of earlier builds, whose
                crashes count as well; empty if there are none.
        """
        found = [
            record
            for name in (digest, earlier_digest)
            if (record := self._find(name, now_s)) is not None
        ]
        if any(now_s < record.held_until_s for record in found):
            return True
        if any(record.quarantines for record in found):
            return False
        crash_ids = {c for record in found for c in record.crash_ids}
        return len(crash_ids) >= self._crash_limit

    def refute(self, digest: str) -> bool:
        """Forget the crashes of a request that has run to its end.

        Returns:
            Whether there were any.
        """
        if digest not in self._records:
            return False
        self._remove(digest)
        self.refuted += 1
        return True

    def reports(self) -> collections_abc.Iterator[tuple[str, str]]:
        """Yield each digest with each of its crashes."""
        for digest, record in self._records.items():
            for crash_id in record.crash_ids:
                yield digest, crash_id

    def crash_ids(self, digest: str) -> tuple[str, ...]:
        """Return the ids of the crashes that count against a request."""
        record = self._records.get(digest)
        return tuple(record.crash_ids) if record is not None else ()

    def records(self, now_s: float) -> collections_abc.Iterator[CrashRecord]:
        """Yield what a peer needs to know, in the order of the digests."""
        for digest in sorted(self._records):
            record = self._find(digest, now_s)
            if record is not None:
                yield CrashRecord(
                    digest=digest,
                    workspace=record.workspace,
                    crash_ids=tuple(record.crash_ids),
                    age_s=now_s - record.latest_s,
                    quarantines=record.quarantines,
                    held_s=max(0.0, record.held_until_s - now_s),
                )

    def merge(self, told: CrashRecord, now_s: float) -> bool:
        """Add what a peer knows of a request.

        Times out of range are cut to it: a peer cannot have a request held
        for longer than this instance would.

        Returns:
            Whether the request is quarantined from now on, and was not.
        """
        was_held = self.is_quarantined(told.digest, now_s)
        reported_s = now_s - min(max(0.0, told.age_s), SUSPICION_S)
        if told.quarantines > 0:
            self._merge_quarantine(told, reported_s, now_s)
        else:
            for crash_id in told.crash_ids:
                self._add(
                    told.digest, crash_id, reported_s, now_s, told.workspace
                )
        return not was_held and self.is_quarantined(told.digest, now_s)

    def _merge_quarantine(self, told, reported_s, now_s):
        record = self._find(told.digest, now_s)
        if record is None:
            record = _Record(told.workspace, [], reported_s)
        crash_ids = dict.fromkeys((*told.crash_ids, *record.crash_ids))
        record.crash_ids = list(crash_ids)[-self._crash_limit :]
        record.latest_s = max(record.latest_s, reported_s)
        if told.quarantines >= record.quarantines:
            record.quarantines = min(told.quarantines, len(QUARANTINES_S))
            held_s = min(
                max(0.0, told.held_s), _quarantine_s(record.quarantines - 1)
            )
            record.held_until_s = now_s + held_s
        self._keep(told.digest, record)

    def count_held(self, now_s: float) -> int:
        """Return the number of requests that are quarantined."""
        return sum(r.held_until_s > now_s for r in self._records.values())

    def expire(self, now_s: float) -> None:
        """Forget what no longer counts."""
        for digest in list(self._records):
            self._find(digest, now_s)

    def _find(self, digest, now_s):
        """Return the record of a request, unless it no longer counts."""
        record = self._records.get(digest)
        if record is not None and now_s >= record.forgotten_at_s:
            self._remove(digest)
            return None
        return record

    def _keep(self, digest, record):
        """Keep a record, as the latest one of its workspace."""
        if digest in self._records:
            self._remove(digest)
        record.forgotten_at_s = record.latest_s + SUSPICION_S
        if record.quarantines:
            # A crash soon after a quarantine begins the next one at once.
            record.forgotten_at_s = record.held_until_s + _quarantine_s(
                record.quarantines - 1
            )
        self._records[digest] = record
        self._digests.setdefault(record.workspace, {})[digest] = None
        if len(self._records) > self._record_limit:
            self._evict()

    def _evict(self):
        """Drop a record of the workspace that has the most."""
        digests = max(self._digests.values(), key=len)
        # What is only suspected goes before what is quarantined.
        oldest = next(
            (d for d in digests if not self._records[d].quarantines),
            next(iter(digests)),
        )
        self._remove(oldest)
        self.evicted += 1

    def _remove(self, digest):
        record = self._records.pop(digest)
        digests = self._digests[record.workspace]
        del digests[digest]
        if not digests:
            del self._digests[record.workspace]


def _quarantine_s(earlier_quarantines):
    return QUARANTINES_S[min(earlier_quarantines, len(QUARANTINES_S) - 1)]
