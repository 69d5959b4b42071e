"""The programs of a workspace that a limiter has lent units to.

It does no I/O and takes the present time as an argument. Load pattern: a
workspace sends several times its rate for seconds. A program fails if one of
its requests is refused twice, so that random refusals fail nearly all.
"""

import collections
import dataclasses
import hashlib

__all__ = ['Programs', 'program_hash']

# Silence after which a program is forgotten: longer than a pause of an agent
# program between two calls.
MEMORY_S = 30.0
# Silence after which no more requests are expected of a program. Programs do
# not tell their end: with 3.3 s, ended ones kept out a tenth of those that the
# replay carries with 1 s.
ACTIVE_S = 1.5
# Programs that are remembered for a workspace, about 200 bytes each.
MAX_PROGRAMS = 4096
# What is assumed of programs until some have ended.
START_REQUESTS = 10.0
START_DURATION_S = 4.0
# Weight of a program in the moving averages.
WEIGHT = 1 / 16


@dataclasses.dataclass(slots=True)
class _Program:
    first_s: float
    last_s: float
    requests: int = 0
    is_refused: bool = False


class Programs:
    """The programs in progress, and the averages over those that ended.

    Attributes:
        requests: mean number of requests of a program.
        duration_s: mean time from the first to the last request.
    """

    def __init__(self):
        self.requests = START_REQUESTS
        self.duration_s = START_DURATION_S
        # In order of the last unit.
        self._programs: collections.OrderedDict[int, _Program] = (
            collections.OrderedDict()
        )

    def __contains__(self, program: int) -> bool:
        return program in self._programs

    def expire(self, now_s: float) -> int:
        """Forget and learn from silent programs; return how many are left."""
        while self._programs:
            program = next(iter(self._programs.values()))
            if now_s - program.last_s <= MEMORY_S:
                break
            self._programs.popitem(last=False)
            if not program.is_refused:
                lasted_s = program.last_s - program.first_s
                self.requests += WEIGHT * (program.requests - self.requests)
                self.duration_s += WEIGHT * (lasted_s - self.duration_s)
        return len(self._programs)

    def record_unit(self, program: int, now_s: float) -> None:
        """Record a unit that is lent to a program; 0 is none."""
        if not program:
            return
        found = self._programs.pop(program, None) or _Program(now_s, now_s)
        found.last_s = now_s
        found.requests += 1
        self._programs[program] = found
        if len(self._programs) > MAX_PROGRAMS:
            self._programs.popitem(last=False)

    def record_refusal(self, program: int) -> None:
        """Record that a program was refused a unit: it may end early."""
        if program in self._programs:
            self._programs[program].is_refused = True

    def expected_requests(self, now_s: float) -> float:
        """Return the requests that programs in progress may still send."""
        expected = 0.0
        for program in reversed(self._programs.values()):
            if now_s - program.last_s > ACTIVE_S:
                break
            expected += max(1.0, self.requests - program.requests)
        return expected


def program_hash(program_id: str) -> int:
    """Return the hash that messages name a program by; 0 for no program."""
    if not program_id:
        return 0
    digest = hashlib.blake2b(program_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest) or 1
