"""Service of request quotas: lends units of the workspaces it limits.

The limiter of a workspace is the first archive by rendezvous hashing, or the
first entry where there are no archives. Every instance serves; one that is
not the limiter as far as it knows lends nothing.
"""

import asyncio
from collections import abc as collections_abc
import math

from balsamdale import codec
from balsamdale import decisions
from balsamdale import link
from balsamdale import members
from balsamdale import metrics
from balsamdale.scheduling import quota
from balsamdale.scheduling import quota_units
from balsamdale.scheduling import quota_window

__all__ = ['LendUnits', 'QuotaService', 'UnitsLent', 'limiter_names']

# Requests that share a message; a message that names more is malformed.
MAX_UNITS = 1000
# Interval at which a limiter checks its clock and the known instances.
OBSERVE_INTERVAL_S = 0.2


@codec.message
class LendUnits:
    """Asks the limiter of a workspace for units.

    Attributes:
        entry_id: the entry that asks; links do not tell the sender.
        workspace: name of the workspace.
        version: version of the configuration that the limit is from.
        rate_per_s: requests per second.
        burst: requests that may exceed the rate at once.
        programs: hash of the program of each wanted unit, 0 for none; empty
            for a probe.
        max_waits_s: how long each request can wait, in the same order.
        returned: units lent earlier that were not used.
        sequence: number of the message; increases, also over restarts.
        admitted: requests that the entry admitted without the limiter.
        is_changed: whether another instance lent to the entry recently.
    """

    entry_id: str
    workspace: str
    version: int
    rate_per_s: float
    burst: float
    programs: tuple[int, ...]
    returned: int
    sequence: int = 0
    admitted: int = 0
    is_changed: bool = False
    max_waits_s: tuple[float, ...] = ()


@codec.message
class UnitsLent:
    """Reply with the units that are lent; see `scheduling.quota_units.Lease`.

    Attributes:
        admitted: whether each wanted unit is lent, in order of the message.
        delays_s: time until each unit may be used, or asked for again.
        level: units in the bucket.
        spent: units lent recently to all entries.
        is_limiter: False if the instance does not limit this workspace as
            far as it knows, or the message was malformed.
    """

    admitted: tuple[bool, ...]
    delays_s: tuple[float, ...]
    level: float
    spent: float
    is_limiter: bool = True


def limiter_names(directory: members.MemberDirectory) -> list[str]:
    """Return the instances that may limit: archives, or else entries."""
    found = directory.archives() or directory.entries()
    return [member.instance_id for member in found]


class QuotaService:
    """Lends units of the workspaces that this instance limits.

    Args:
        links: connections to peers.
        candidates: returns the ids of the instances that may limit, with
            this one if it may.
        clock: returns the present time in seconds.
        bounds: the window of all quotas.
        is_standby: whether other instances limit as long as there are any,
            so that nothing is observed before the first message.
    """

    def __init__(
        self,
        links: link.Links,
        candidates: collections_abc.Callable[[], list[str]],
        clock: collections_abc.Callable[[], float],
        bounds: quota_window.WindowBounds = quota_window.WindowBounds(),
        is_standby: bool = False,
    ):
        self._candidates = candidates
        self._clock = clock
        self._limiter = quota.Limiter(links.instance_id, clock(), bounds)
        self._counts = dict.fromkeys(
            ('units_lent', 'units_refused', 'units_returned', 'ignored'), 0
        )
        self._is_needed = asyncio.Event()
        if not is_standby:
            self._is_needed.set()
        links.serve(LendUnits, self._on_lend_units)

    async def run(self) -> None:
        """Observe the clock and the known instances until cancelled."""
        await self._is_needed.wait()
        while True:
            self._observe()
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        descriptions = {
            'units_lent': 'Units lent to entries',
            'units_refused': 'Units that entries wanted and were not lent',
            'units_returned': 'Units that entries did not use',
            'ignored': 'Messages to this limiter that were ignored',
        }
        return {
            f'quota_limiter_{name}': (
                text,
                lambda name=name: self._counts[name],
            )
            for name, text in descriptions.items()
        } | {
            'quota_limiter_buckets': (
                'Workspaces that this instance limits',
                lambda: len(self._limiter),
            )
        }

    def _observe(self):
        now_s = self._clock()
        reason = self._limiter.observe(frozenset(self._candidates()), now_s)
        if reason:
            decisions.record('quota_buckets_reset', reason=reason)
        return now_s

    async def _on_lend_units(self, _sender, message):
        self._is_needed.set()
        now_s = self._observe()
        is_valid = _is_valid(message)
        if not is_valid or not self._limiter.is_responsible(message.workspace):
            self._counts['ignored'] += 1
            decisions.record(
                'quota_message_ignored',
                entry=message.entry_id,
                workspace=message.workspace,
                factor='not_limiter' if is_valid else 'malformed',
            )
            yield UnitsLent((), (), 0.0, 0.0, is_limiter=False)
            return
        limit = quota_units.WorkspaceLimit(
            message.workspace,
            message.version,
            message.rate_per_s,
            message.burst,
        )
        self._limiter.settle(
            limit,
            message.entry_id,
            message.sequence,
            message.returned,
            message.admitted,
            message.is_changed,
            now_s,
        )
        wanted = tuple(
            map(quota_units.WantedUnit, message.programs, message.max_waits_s)
        )
        lease = self._limiter.acquire(limit, wanted, now_s)
        self._counts['units_lent'] += lease.units
        self._counts['units_refused'] += len(wanted) - lease.units
        self._counts['units_returned'] += message.returned
        yield UnitsLent(
            tuple(verdict.is_admitted for verdict in lease.verdicts),
            tuple(verdict.delay_s for verdict in lease.verdicts),
            lease.level,
            lease.spent,
        )


def _is_valid(message):
    return (
        bool(message.entry_id and message.workspace)
        and math.isfinite(message.rate_per_s)
        and message.rate_per_s > 0
        and math.isfinite(message.burst)
        and message.burst >= 0
        and len(message.programs) <= MAX_UNITS
        and len(message.programs) == len(message.max_waits_s)
        and all(0 <= wait_s < math.inf for wait_s in message.max_waits_s)
        and all(0 <= program < 2**64 for program in message.programs)
        and message.returned >= 0
        and message.admitted >= 0
    )
