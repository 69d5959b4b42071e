"""What entries report to allocators of slots, and these to each other."""

import dataclasses

from balsamdale.scheduling import balance
from balsamdale import wire

__all__ = ['DomainLoad', 'Hold', 'Report', 'Summary']


@dataclasses.dataclass(frozen=True)
class Hold:
    """A slot that an entry holds, by the entry's own number."""

    hold_id: int
    server_id: str
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Report:
    """What an entry holds and has observed.

    Attributes:
        entry_id: the entry.
        started_ms: start of the entry, since the Unix epoch.
        sequence: number of the report, rising from 1 at each start.
        held: all slots that it holds at servers of the allocator.
        awaited: numbers of the slots that it waits for.
        loads: load reports of servers since the last report, by server, and
            the age of each in seconds.
        outcomes: outcomes at servers since the last report.
        unreachable: all servers that it can't connect to.
    """

    entry_id: str
    started_ms: int
    sequence: int
    held: tuple[Hold, ...] = ()
    awaited: tuple[int, ...] = ()
    unreachable: tuple[str, ...] = ()
    loads: tuple[tuple[str, wire.LoadReport, float], ...] = ()
    outcomes: tuple[tuple[str, balance.Outcome], ...] = ()


@dataclasses.dataclass(frozen=True)
class DomainLoad:
    """Load of a service in a failure domain, for the other allocators.

    Attributes:
        failure_domain: the domain.
        free_slots: slots that are not held.
        wait_s: expected wait of a new request.
        freed_per_s: slots that are freed per second while all are held.
    """

    failure_domain: str
    free_slots: int
    wait_s: float
    freed_per_s: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """What an allocator tells the entries of its domain.

    Attributes:
        is_contended: whether few slots are free, so that entries ask for
            each one.
        loads: requests at each server, as far as all entries hold them.
        ejected: ids of the servers that are ejected for their failures.
    """

    is_contended: bool
    loads: tuple[tuple[str, float], ...]
    ejected: tuple[str, ...]
