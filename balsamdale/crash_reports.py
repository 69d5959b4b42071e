"""Crashes of backend servers, as entries tell each other of them.

Earlier builds are told, and tell, with `quarantine.ReportCrash`.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import itertools
import random

from balsamdale import codec
from balsamdale import decisions
from balsamdale import errors
from balsamdale import link
from balsamdale import members
from balsamdale import metrics
from balsamdale import peer_news
from balsamdale import quarantine

__all__ = ['Check', 'CrashRecords', 'CrashReports', 'PullCrashRecords']

# Records that one message carries at most.
MAX_RECORDS = 500
PULL_TIMEOUT_S = 0.4
EXPIRY_INTERVAL_S = 60.0


@codec.message
class PullCrashRecords:
    """Asks a peer which requests are suspected or quarantined.

    Attributes:
        after: digest after which the reply begins; empty for the first.
    """

    after: str = ''


@codec.message
class CrashRecords:
    """Reply to `PullCrashRecords`.

    Attributes:
        records: records in the order of their digests.
        has_more: whether there are more behind them.
        is_informed: whether the peer has itself asked others since it
            started.
    """

    records: tuple[quarantine.CrashRecord, ...]
    has_more: bool
    is_informed: bool


class Check:
    """A check whether a server died with a request in flight.

    Attributes:
        has_run: whether the request has run to its end since, at another
            server.
    """

    has_run = False


class CrashReports(peer_news.Topic):
    """Tells other entries of crashes, and learns of theirs.

    Args:
        links: connections to peers.
        peers: returns the ids of the other entries.
        crashes: what this entry knows.
        clock: returns the present time in seconds.
        generator: source of the choice between peers.

    Attributes:
        news: carries them.
    """

    def __init__(
        self,
        links: link.Links,
        peers: collections_abc.Callable[[], list[str]],
        crashes: quarantine.Quarantine,
        clock: collections_abc.Callable[[], float],
        generator: random.Random,
    ):
        self._links = links
        self._crashes = crashes
        self._clock = clock
        self.news = peer_news.PeerNews(links, peers, self, clock, generator)
        # Checks under way, by the digest of the request.
        self._checks: dict[str, set[Check]] = {}
        self._reported = self._ignored = 0
        links.serve(quarantine.ReportCrash, self._on_earlier_report)
        links.serve(quarantine.ReportedCrashes, self._on_report)
        links.serve(quarantine.RequestsHarmless, self._on_harmless)
        links.serve(PullCrashRecords, self._on_pull)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        return {
            'requests_suspected': (
                'Requests that were in flight as a server crashed',
                lambda: len(self._crashes),
            ),
            'requests_quarantined': (
                'Requests that are not sent to servers any more',
                lambda: self._crashes.count_held(self._clock()),
            ),
            'suspicions_refuted': (
                'Suspected requests that then ran to their end',
                lambda: self._crashes.refuted,
            ),
            'suspicions_evicted': (
                'Suspected requests that were forgotten for others',
                lambda: self._crashes.evicted,
            ),
            'crashes_reported': (
                'Crashes with a request of this entry in flight',
                lambda: self._reported,
            ),
            'crash_reports_ignored': (
                'Crashes told by peers that were out of range',
                lambda: self._ignored,
            ),
        }

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected, or about to be."""
        return not (len(self._crashes) or self._checks)

    @contextlib.contextmanager
    def checking(self, digest: str) -> collections_abc.Iterator[Check]:
        """Watch a request while it is found out whether its server died."""
        check = Check()
        checks = self._checks.setdefault(digest, set())
        checks.add(check)
        try:
            yield check
        finally:
            checks.discard(check)
            if not checks:
                self._checks.pop(digest, None)

    def report(
        self,
        digest: str,
        earlier_digest: str,
        crash_id: str,
        workspace: str,
    ) -> None:
        """Record a crash here, and tell the other entries.

        Args:
            digest: crash digest of the request that was in flight.
            earlier_digest: its digest for peers of earlier builds.
            crash_id: id of the crash.
            workspace: workspace of the caller; empty without one.
        """
        self._reported += 1
        record = quarantine.CrashRecord(digest, workspace, (crash_id,))
        self._merge(record)
        self.news.tell(
            quarantine.ReportedCrashes((record,)),
            quarantine.ReportCrash(crash_id, earlier_digest),
        )

    def record_run(self, *digests: str) -> None:
        """Record that a request has run to its end.

        Args:
            digests: its crash digest, and that of earlier builds.
        """
        for digest in digests:
            for check in self._checks.get(digest, ()):
                check.has_run = True
        refuted = tuple(filter(self._refute, digests))
        if refuted:
            self.news.tell(quarantine.RequestsHarmless(refuted))

    async def run(self) -> None:
        """Learn what other entries know, and forget what is too old."""
        await self.news.learn()
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._crashes.expire(self._clock())

    async def pull(self, peer_id: str) -> bool:
        records = []
        has_more = True
        while has_more and len(records) < quarantine.RECORD_LIMIT:
            reply = await self._links.request(
                peer_id,
                PullCrashRecords(records[-1].digest if records else ''),
                PULL_TIMEOUT_S,
            )
            if not isinstance(reply, CrashRecords):
                raise errors.UnknownMessage(type(reply).__name__)
            records += reply.records
            has_more = reply.has_more and bool(reply.records)
        for record in records:
            self._merge(record)
        if records:
            decisions.record(
                'crashes_learned', peer=peer_id, count=len(records)
            )
        return reply.is_informed

    def known(self) -> collections_abc.Iterator[object]:
        records = self._crashes.records(self._clock())
        while page := tuple(itertools.islice(records, MAX_RECORDS)):
            yield quarantine.ReportedCrashes(page)

    def _merge(self, record):
        if not record.is_valid():
            self._ignored += 1
            decisions.record('crash_report_ignored', count=self._ignored)
        elif self._crashes.merge(record, self._clock()):
            decisions.record(
                'quarantined',
                digest=record.digest,
                workspace=record.workspace,
                crashes=self._crashes.crash_ids(record.digest),
            )

    def _refute(self, digest):
        is_refuted = self._crashes.refute(digest)
        if is_refuted:
            decisions.record('suspicion_refuted', digest=digest)
        return is_refuted

    async def _on_earlier_report(self, _sender, message):
        self._merge(
            quarantine.CrashRecord(message.digest, None, (message.crash_id,))
        )
        yield members.Heard()

    async def _on_report(self, _sender, message):
        for record in message.records:
            self._merge(record)
        yield members.Heard()

    async def _on_harmless(self, _sender, message):
        for digest in message.digests:
            self._refute(digest)
        yield members.Heard()

    async def _on_pull(self, _sender, message):
        page = [
            record
            for record in self._crashes.records(self._clock())
            if record.digest > message.after
        ]
        yield CrashRecords(
            tuple(page[:MAX_RECORDS]),
            len(page) > MAX_RECORDS,
            self.news.is_informed,
        )
