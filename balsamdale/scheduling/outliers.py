"""Detection of faulty servers from the outcomes of requests.

Load pattern: a server that fails 30 to 40% of its requests, hangs, resets
connections, is 8 times slow, or goes down and up, while its health check
reports it healthy, in a service where other servers fail only rarely.
"""

import collections
from collections import abc as collections_abc
import dataclasses
import math

__all__ = ['OutlierDetector', 'RecordEvent']

RecordEvent = collections_abc.Callable[..., None]

# Outcomes that a server is judged by: recent enough for its present state,
# and enough of them at one request every few seconds.
WINDOW_S = 20.0
WINDOW_OUTCOMES = 64
# Share of failures at which a server must be ejected. Servers that fail less
# than the lower bound are as good as those that never fail.
FAULTY_SHARE = 0.35
MIN_SOUND_SHARE = 0.03
MAX_SOUND_SHARE = 0.3
# A server is ejected once its outcomes are this many times as likely for a
# faulty server as for a sound one: two failures in a row, or three in ten.
EJECTION_ODDS = 100.0
# Share of a service that may be ejected at once, so that the others are not
# overloaded by a false alarm.
MAX_EJECTED_SHARE = 1 / 3
# Time until the first request to an ejected server; doubled each time. A
# false alarm costs a second of one server.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0
# Successful single requests in a row that end an ejection: a server that
# fails 35% of its requests passes this one time in four.
PROBES_TO_READMIT = 3
# Further time for which a request that can be repeated is waited for before
# one that cannot is risked as a single request.
REPEATABLE_PROBE_WAIT_S = 1.0
# Time after which a single request without an outcome counts as lost.
PROBE_TIMEOUT_S = 5.0
# Time without ejection after which earlier ones no longer count.
FORGET_AFTER_S = 60.0


def _ignore_event(_event: str, **_fields) -> None:
    """Record nothing."""


@dataclasses.dataclass
class _Window:
    """The latest outcomes, as pairs of time and whether it is a failure."""

    outcomes: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    failures: int = 0

    def add(self, now_s, is_failure, limit):
        self.outcomes.append((now_s, is_failure))
        self.failures += is_failure
        while (
            self.outcomes[0][0] < now_s - WINDOW_S
            or len(self.outcomes) > limit
        ):
            self.failures -= self.outcomes.popleft()[1]


@dataclasses.dataclass
class _Totals:
    """Sums over the windows of a service's servers."""

    failures: int = 0
    outcomes: int = 0


@dataclasses.dataclass
class _Record:
    """What is known of a server, and of its ejection if it is ejected."""

    service: str
    window: _Window = dataclasses.field(default_factory=_Window)
    score: float = 0.0
    ejections: int = 0
    ejected_s: float | None = None
    readmitted_s: float = -math.inf
    next_probe_s: float = 0.0
    offered_s: float | None = None
    probing_since_s: float | None = None
    successful_probes: int = 0

    def pause_s(self):
        exponent = min(self.ejections - 1, 16)
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**exponent)


class OutlierDetector:
    """Ejects servers whose requests fail more often than at their peers.

    Args:
        record_event: called with the name and the fields of each ejection
            and readmission.
    """

    def __init__(self, record_event: RecordEvent | None = None):
        self._record_event = record_event or _ignore_event
        self._records: dict[str, _Record] = {}
        self._totals: dict[str, _Totals] = {}

    def record(
        self, service: str, server_id: str, is_failure: bool, now_s: float
    ) -> None:
        """Record the outcome of a request.

        The outcome of a request that was sent before a server was ejected
        does not count while it is ejected.
        """
        record = self._records.setdefault(server_id, _Record(service))
        if record.ejected_s is not None:
            self._record_probe(server_id, record, is_failure, now_s)
            return
        self._count(record, -1)
        record.window.add(now_s, is_failure, WINDOW_OUTCOMES)
        self._count(record, 1)
        sound_share = self._peer_failure_share(record)
        faulty_share = min(0.9, max(FAULTY_SHARE, 2.5 * sound_share))
        on_failure = math.log(faulty_share / sound_share)
        on_success = math.log((1 - faulty_share) / (1 - sound_share))
        record.score = 0.0
        for _, failed in record.window.outcomes:
            gain = on_failure if failed else on_success
            record.score = max(0.0, record.score + gain)

    def ejected(
        self,
        service: str,
        server_ids: collections_abc.Collection[str],
        now_s: float,
    ) -> set[str]:
        """Eject the worst servers of a service; return the ejected ones.

        Args:
            service: name of the service.
            server_ids: its ready servers.
            now_s: the present time.
        """
        records = {
            name: self._records[name]
            for name in server_ids
            if name in self._records
        }
        limit = int(len(server_ids) * MAX_EJECTED_SHARE)
        if len(server_ids) > 1:
            limit = max(1, limit)
        ejected = sorted(
            (name for name, r in records.items() if r.ejected_s is not None),
            key=lambda name: records[name].ejected_s,
        )
        for name in ejected[: max(0, len(ejected) - limit)]:
            self._readmit(name, records[name], now_s, 'share')
        ejected = set(ejected[-limit:] if limit else ())
        suspects = sorted(
            (
                name
                for name, record in records.items()
                if name not in ejected
                and record.score >= math.log(EJECTION_ODDS)
            ),
            key=lambda name: -records[name].score,
        )
        for name in suspects[: limit - len(ejected)]:
            self._eject(name, records[name], now_s)
            ejected.add(name)
        return ejected

    def is_probe_due(
        self, server_id: str, now_s: float, is_retryable: bool = True
    ) -> bool:
        """Return whether an ejected server may get a single request.

        The caller offers it to the server; it counts once `start_probe` is
        called.

        Args:
            server_id: the ejected server.
            now_s: the present time.
            is_retryable: whether the request may be sent again if it fails.
        """
        record = self._records[server_id]
        since_s = record.probing_since_s
        is_probing = since_s is not None and now_s - since_s < PROBE_TIMEOUT_S
        due_s = record.next_probe_s
        if not is_retryable:
            due_s += REPEATABLE_PROBE_WAIT_S
        if is_probing or now_s < due_s:
            return False
        record.offered_s = now_s
        return True

    def start_probe(self, server_id: str) -> None:
        """Count a request that was offered to an ejected server as sent."""
        record = self._records.get(server_id)
        if record is not None and record.offered_s is not None:
            record.probing_since_s, record.offered_s = record.offered_s, None

    def reset(self, server_id: str) -> None:
        """Remove what is known of a server."""
        record = self._records.pop(server_id, None)
        if record is not None:
            self._count(record, -1)

    def remove_departed(self, registered: collections_abc.Set[str]) -> None:
        """Remove servers that are not registered."""
        for name in self._records.keys() - registered:
            self.reset(name)

    def count_ejected(self) -> int:
        """Return how many servers are ejected."""
        return sum(r.ejected_s is not None for r in self._records.values())

    def _count(self, record, sign):
        """Add a server's window to the sums of its service, or remove it."""
        totals = self._totals.setdefault(record.service, _Totals())
        totals.failures += sign * record.window.failures
        totals.outcomes += sign * len(record.window.outcomes)

    def _peer_failure_share(self, record):
        """Return the share of failures at the other servers, within bounds."""
        totals = self._totals[record.service]
        failures = totals.failures - record.window.failures
        outcomes = totals.outcomes - len(record.window.outcomes)
        # A few assumed successes, so that one failure in a small service is
        # not taken for a share.
        share = failures / (outcomes + 10)
        return min(MAX_SOUND_SHARE, max(MIN_SOUND_SHARE, share))

    def _eject(self, server_id, record, now_s):
        if now_s - record.readmitted_s > FORGET_AFTER_S:
            record.ejections = 0
        record.ejections += 1
        record.ejected_s = now_s
        record.next_probe_s = now_s + record.pause_s()
        record.probing_since_s = record.offered_s = None
        record.successful_probes = 0
        self._record_event(
            'server_ejected',
            server=server_id,
            service=record.service,
            failures=record.window.failures,
            outcomes=len(record.window.outcomes),
            last_outcome_age_s=round(now_s - record.window.outcomes[-1][0], 3),
            pause_s=record.pause_s(),
        )
        self._count(record, -1)
        record.window, record.score = _Window(), 0.0

    def _record_probe(self, server_id, record, is_failure, now_s):
        if record.probing_since_s is None:
            return
        record.probing_since_s = None
        if is_failure:
            record.successful_probes = 0
            record.ejections += 1
            record.next_probe_s = now_s + record.pause_s()
            return
        record.successful_probes += 1
        record.next_probe_s = now_s
        if record.successful_probes >= PROBES_TO_READMIT:
            self._readmit(server_id, record, now_s, 'probes')

    def _readmit(self, server_id, record, now_s, factor):
        self._record_event(
            'server_readmitted',
            server=server_id,
            factor=factor,
            ejected_for_s=round(now_s - record.ejected_s, 3),
        )
        record.ejected_s = None
        record.readmitted_s = now_s
