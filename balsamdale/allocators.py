"""Which entry allocates the slots of a service in a failure domain."""

from collections import abc as collections_abc

from balsamdale import discovery
from balsamdale import members
from balsamdale import placement

__all__ = ['Allocators']

# Time for which an allocator that is leaving is passed over: longer than
# its registration lasts.
LEFT_S = 10.0
# Rankings kept; each is of one service, domain and set of entries.
RANKING_LIMIT = 64


class Allocators:
    """Finds allocators by rendezvous hashing over the ready entries.

    Args:
        member_directory: the known instances.
        directory: the registered backend servers.
        failure_domain: failure domain of this instance.
        clock: returns the present time of the monotonic clock in seconds.
    """

    def __init__(
        self,
        member_directory: members.MemberDirectory,
        directory: discovery.Directory,
        failure_domain: str,
        clock: collections_abc.Callable[[], float],
    ):
        self._members = member_directory
        self._directory = directory
        self._failure_domain = failure_domain
        self._clock = clock
        self._left_until_s: dict[str, float] = {}
        self._rankings: dict[tuple, list[str]] = {}

    def domains(self, service: str) -> list[str]:
        """Return the failure domains with servers of a service, sorted."""
        servers = self._directory.ready(service)
        return sorted({s.failure_domain for s in servers})

    def home_domain(self, service: str) -> str:
        """Return the domain where this instance asks for slots.

        Its own if a server is there, else one by rendezvous hashing; empty
        if the service has no server.
        """
        domains = self.domains(service)
        if not domains or self._failure_domain in domains:
            return self._failure_domain if domains else ''
        return placement.rank(f'{service}|{self._failure_domain}', domains)[0]

    def servers(
        self, service: str, failure_domain: str
    ) -> tuple[discovery.Server, ...]:
        """Return the servers of a service in a domain."""
        return tuple(
            s
            for s in self._directory.ready(service)
            if s.failure_domain == failure_domain
        )

    def entries(self, failure_domain: str) -> tuple[str, ...]:
        """Return the entries of a domain; all entries if it has none."""
        entries = self._members.entries()
        local = [e for e in entries if e.failure_domain == failure_domain]
        return tuple(sorted(e.instance_id for e in local or entries))

    def count_asking(self, service: str, failure_domain: str) -> int:
        """Return how many entries may ask for slots of a domain.

        Those of domains without a server of the service count for each.
        """
        served = self.domains(service)
        return sum(
            e.failure_domain == failure_domain
            or e.failure_domain not in served
            for e in self._members.entries()
        )

    def find(self, service: str, failure_domain: str) -> str:
        """Return the allocator's instance id; empty if there is none."""
        names = self.entries(failure_domain)
        key = (service, failure_domain, names)
        if key not in self._rankings:
            while len(self._rankings) >= RANKING_LIMIT:
                del self._rankings[next(iter(self._rankings))]
            self._rankings[key] = placement.rank(
                f'{service}|{failure_domain}', list(names)
            )
        now_s = self._clock()
        return next(
            (
                name
                for name in self._rankings[key]
                if self._left_until_s.get(name, 0.0) <= now_s
            ),
            '',
        )

    def mark_leaving(self, instance_id: str) -> None:
        """Pass over an allocator that has refused because it is leaving."""
        now_s = self._clock()
        self._left_until_s = {
            name: end_s
            for name, end_s in self._left_until_s.items()
            if end_s > now_s
        }
        self._left_until_s[instance_id] = now_s + LEFT_S
