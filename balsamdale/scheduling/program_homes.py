"""Servers that programs in progress have run at.

Load pattern: servers of unequal load or speed, as entries or servers of one
failure domain are lost in a burst. A program that starts goes to the server
with the least load, and its later turns, whose prompt only that server has
cached, have to find it.
"""

import collections

__all__ = ['ProgramHomes']

# Programs of one instance that are remembered: the largest deployment has 150
# in progress per instance.
PROGRAM_LIMIT = 2048


class ProgramHomes:
    """The server of the latest turn of each program, as one instance knows.

    Args:
        program_limit: programs that are remembered; the one whose latest turn
            is the oldest is forgotten first.
    """

    def __init__(self, program_limit: int = PROGRAM_LIMIT):
        self._program_limit = program_limit
        self._server_ids: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def record(self, program_id: str, server_id: str) -> None:
        """Record that a turn of a program has run at a server."""
        self._server_ids[program_id] = server_id
        self._server_ids.move_to_end(program_id)
        if len(self._server_ids) > self._program_limit:
            self._server_ids.popitem(last=False)

    def find(self, program_id: str) -> str:
        """Return the server of a program; empty if it is unknown."""
        return self._server_ids.get(program_id, '')
