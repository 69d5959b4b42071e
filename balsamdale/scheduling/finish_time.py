"""Expected time to finish a request at each server of a service.

Load pattern: demand that swings between failure domains out of phase, over
servers of one service whose speeds differ by a factor of two and which are
slower for fractions of a second. An equal load per slot then makes the
requests of the slowest servers late while the fastest servers are idle.
"""

from collections import abc as collections_abc
import dataclasses
import math
import statistics

__all__ = ['Estimator', 'FinishTime', 'Speeds', 'Work']

# Bounds of a learned speed relative to the median of the service. Servers of
# one service are known to differ by 0.55 to 1.2; more is a fault.
MIN_SPEED = 0.25
MAX_SPEED = 4.0
# Weight of a new sample once an average has settled: a speed is a lasting
# property, and one sample varies with the length of its answer and queue.
SAMPLE_WEIGHT = 0.05
# Time for which a median is reused; it moves slowly.
MEDIAN_MAX_AGE_S = 0.25
# Half-life of a reported slowdown, which changes many times a second.
SLOWDOWN_HALF_LIFE_S = 0.1
# Speed of prefilling on a normal server: 15,000 tokens take about 55 ms.
PREFILL_TOKENS_PER_S = 270000.0
# Seconds per unit of work until one was measured: a request to a plain
# server, or a token of an answer.
DEFAULT_PACE_S = {'plain': 0.1, 'stream': 0.004}
# Time for which a request occupies a slot until one was measured.
DEFAULT_REQUEST_S = 0.3
# Time that a request gains elsewhere at which it leaves its failure domain:
# a few round trips, as traffic between domains is charged for.
REMOTE_DOMAIN_COST_S = 0.02
# Time lost at a server whose slots are all taken, as a share of the request's
# own time. Some servers slow down when nearly full, and the known load is
# too low by what other instances have sent since the last report.
CROWDING_COST = 0.5
# A completed request counts as a failure of its server if it took this many
# times as long as at the median server, and at least the minimum: a pause of
# the machine alone takes as long as a short request.
SLOW_FAILURE_FACTOR = 4.0
MIN_SLOW_FAILURE_S = 0.1
# Cost of leaving the preferred server where there is no prompt to prefill,
# as a share of the request's own time.
PLAIN_MISS_COST = 0.5


@dataclasses.dataclass(frozen=True)
class Work:
    """What a request asks of a server.

    Attributes:
        prompt_tokens: tokens of its prompt; 0 for a plain request.
        answer_tokens: tokens of its answer; 0 for a plain request.
    """

    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def kind(self) -> str:
        """'stream' if it has an answer in tokens, else 'plain'."""
        return 'stream' if self.answer_tokens > 0 else 'plain'

    @property
    def units(self) -> int:
        """Units that its time is proportional to."""
        return max(1, self.answer_tokens)


@dataclasses.dataclass(frozen=True)
class FinishTime:
    """Expected time until a request is finished, in seconds, by its causes.

    Attributes:
        run_s: running it at the server's speed and slowdown.
        queue_s: waiting for a slot, and crowding by other requests.
        prefill_s: prefilling a prompt again that another server has cached.
        domain_s: cost of another failure domain.
    """

    run_s: float
    queue_s: float
    prefill_s: float = 0.0
    domain_s: float = 0.0

    @property
    def total_s(self) -> float:
        """The expected time."""
        return self.run_s + self.queue_s + self.prefill_s + self.domain_s

    def deciding_factor(self, other: 'FinishTime') -> str:
        """Return the cause in which this one is better than another most."""
        gains = {
            field.name.removesuffix('_s'): getattr(other, field.name)
            - getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        return max(gains, key=gains.__getitem__)


@dataclasses.dataclass
class _Average:
    value: float = 0.0
    samples: int = 0

    def add(self, sample):
        if self.samples:
            # One extreme sample must not outweigh all that was learned.
            sample = min(sample, MAX_SPEED * self.value)
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.value += weight * (sample - self.value)


class Speeds:
    """Learned speeds of servers, relative to the median of their service."""

    def __init__(self):
        self._paces: dict[tuple[str, str], _Average] = {}
        self._slowdowns: dict[str, _Average] = {}
        self._request_times: dict[str, _Average] = {}
        self._medians: dict[tuple[str, str], tuple[float, float]] = {}

    def record(
        self, service: str, server_id: str, work: Work, took_s: float
    ) -> bool:
        """Record a request that a server completed.

        Returns:
            Whether it was so slow that it counts as a failure.
        """
        if not math.isfinite(took_s) or took_s <= 0:
            return False
        pace = self._paces.setdefault((server_id, work.kind), _Average())
        pace.add(took_s / work.units)
        self._request_times.setdefault(service, _Average()).add(took_s)
        _, median_s = self._medians.get((service, work.kind), (0.0, math.inf))
        limit_s = median_s * work.units * SLOW_FAILURE_FACTOR
        return took_s > max(MIN_SLOW_FAILURE_S, limit_s)

    def record_slowdown(self, server_id: str, slowdown: float) -> None:
        """Record a slowdown that a server reported."""
        self._slowdowns.setdefault(server_id, _Average()).add(slowdown)

    def reset(self, server_id: str) -> None:
        """Remove what is known of a server."""
        self._slowdowns.pop(server_id, None)
        for kind in DEFAULT_PACE_S:
            self._paces.pop((server_id, kind), None)

    def remove_departed(self, registered: collections_abc.Set[str]) -> None:
        """Remove servers that are not registered."""
        known = {name for name, _ in self._paces} | self._slowdowns.keys()
        for server_id in known - registered:
            self.reset(server_id)

    def estimator(
        self,
        service: str,
        server_ids: collections_abc.Iterable[str],
        work: Work,
        now_s: float,
    ) -> 'Estimator':
        """Return the estimator of a request's time at a service's servers."""
        average = self._request_times.get(service)
        return Estimator(
            self,
            work,
            self._median_pace_s(service, server_ids, work.kind, now_s),
            average.value if average is not None else DEFAULT_REQUEST_S,
        )

    def rate(
        self, server_id: str, kind: str, median_s: float, slowdown: float
    ) -> float:
        """Return the time at a server as a multiple of that at the median.

        A server without samples is as fast as the median. The usual slowdown
        of one with samples is part of its speed already.

        Args:
            server_id: id of the server.
            kind: kind of work.
            median_s: seconds per unit at the median server.
            slowdown: the slowdown that is assumed now.
        """
        pace = self._paces.get((server_id, kind))
        if pace is None:
            return slowdown
        speed = min(MAX_SPEED, max(MIN_SPEED, median_s / pace.value))
        return slowdown / speed

    def usual_slowdown(self, server_id: str, kind: str) -> float:
        """Return the average slowdown that a learned speed includes."""
        average = self._slowdowns.get(server_id)
        if average is None or (server_id, kind) not in self._paces:
            return 1.0
        return average.value

    def _median_pace_s(self, service, server_ids, kind, now_s):
        measured_s, median_s = self._medians.get((service, kind), (0.0, 0.0))
        if median_s and 0 <= now_s - measured_s < MEDIAN_MAX_AGE_S:
            return median_s
        paces = (self._paces.get((name, kind)) for name in server_ids)
        values = [pace.value for pace in paces if pace is not None]
        if not values:
            return DEFAULT_PACE_S[kind]
        median_s = statistics.median(values)
        self._medians[service, kind] = now_s, median_s
        return median_s


@dataclasses.dataclass(frozen=True)
class Estimator:
    """Estimates when one request is finished at the servers of a service.

    Attributes:
        speeds: the learned speeds.
        work: what the request asks.
        median_s: seconds per unit of work at the median server.
        request_s: how long requests of the service take on average.
    """

    speeds: Speeds
    work: Work
    median_s: float
    request_s: float

    def expected_finish(
        self,
        server_id: str,
        slots: int,
        load: float,
        report: tuple[float, float],
        is_away: bool,
        is_remote: bool,
    ) -> FinishTime:
        """Return the expected time at a server.

        Args:
            server_id: id of the server.
            slots: requests that it runs at once.
            load: requests there now.
            report: its latest reported slowdown, and the age in seconds.
            is_away: whether another server has the prompt in its cache.
            is_remote: whether the server is in another failure domain.
        """
        kind, own_s = self.work.kind, self.median_s * self.work.units
        slowdown, age_s = report
        recent = slowdown / self.speeds.usual_slowdown(server_id, kind)
        rate = self.speeds.rate(
            server_id, kind, self.median_s, _faded(recent, age_s)
        )
        requests_ahead = max(0.0, load + 1 - slots)
        crowding = CROWDING_COST * min(1.0, load / slots) ** 2
        prefill_s = 0.0
        if is_away and self.work.prompt_tokens:
            prefill_s = rate * self.work.prompt_tokens / PREFILL_TOKENS_PER_S
        elif is_away:
            prefill_s = own_s * PLAIN_MISS_COST
        return FinishTime(
            run_s=own_s * rate,
            queue_s=rate
            * (self.request_s * requests_ahead / slots + own_s * crowding),
            prefill_s=prefill_s,
            domain_s=REMOTE_DOMAIN_COST_S if is_remote else 0.0,
        )


def _faded(slowdown, age_s):
    """Return a slowdown that fades to 1.0 with the age of its report."""
    return slowdown ** (0.5 ** (max(0.0, age_s) / SLOWDOWN_HALF_LIFE_S))
