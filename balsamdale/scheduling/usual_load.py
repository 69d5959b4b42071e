"""Load that a service's servers usually have, as one instance hears it.

Load pattern: a burst over a fleet of many entries, of which each hears from
a server less than once a second. The last report of a server is then too old
to go by, and a server that was not heard of for a while is most likely as
busy as the others, not idle. So is one that was not heard of at all: all
entries would send to a new server at once.
"""

import dataclasses

__all__ = ['UsualLoad']

# Weight of the latest report.
REPORT_WEIGHT = 0.1
# Half-life of the usual load once no server of the service is heard of.
SILENCE_HALF_LIFE_S = 1.0
# Half-life of a report: about the time of one answer.
REPORT_HALF_LIFE_S = 0.5


@dataclasses.dataclass
class _Average:
    share: float
    heard_at_s: float


class UsualLoad:
    """Average load of the servers of each service, as a share of slots."""

    def __init__(self):
        self._averages: dict[str, _Average] = {}

    def record(self, service: str, share: float, now_s: float) -> None:
        """Record a report.

        Args:
            service: service of the server that reports.
            share: requests of other instances there, as a share of slots.
            now_s: the present time.
        """
        # Servers are taken to be idle until there are some reports.
        average = self._averages.setdefault(service, _Average(0.0, now_s))
        average.share += REPORT_WEIGHT * (share - average.share)
        average.heard_at_s = now_s

    def estimate(
        self,
        service: str,
        share: float,
        reported_at_s: float | None,
        now_s: float,
    ) -> float:
        """Estimate a server's load some time after its report.

        Args:
            service: service of the server.
            share: requests of other instances there when it reported, as a
                share of slots.
            reported_at_s: time of the report; None if there was none.
            now_s: the present time.

        Returns:
            The load now, as a share of slots: the report's, which fades to
            the usual one.
        """
        usual = self._usual(service, now_s)
        if reported_at_s is None:
            return usual
        age_s = max(0.0, now_s - reported_at_s)
        return usual + (share - usual) * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def _usual(self, service, now_s):
        average = self._averages.get(service)
        if average is None:
            return 0.0
        silent_s = max(0.0, now_s - average.heard_at_s)
        return average.share * 0.5 ** (silent_s / SILENCE_HALF_LIFE_S)
