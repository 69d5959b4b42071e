"""Access to the events of a stream, as its bytes pass by."""

__all__ = ['EventReader']

DATA_FIELD = b'data:'


class EventReader:
    """Collects the data of events from the chunks of a stream.

    Attributes:
        count: events that are complete.
        output: the data of each event, each with a line feed.
        is_clean: whether the bytes so far end with a whole event.
    """

    def __init__(self):
        self.count = 0
        self.output = bytearray()
        self._partial_line = b''
        self._data_lines: list[bytes] = []

    @property
    def is_complete(self) -> bool:
        return not self._partial_line and not self._data_lines

    def feed(self, chunk: bytes) -> None:
        """Read on."""
        lines = (self._partial_line + chunk).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            self._read_line(line.removesuffix(b'\r'))

    def _read_line(self, line):
        if line.startswith(DATA_FIELD):
            self._data_lines.append(line[len(DATA_FIELD) :].removeprefix(b' '))
        elif not line and self._data_lines:
            self.count += 1
            self.output += b'\n'.join(self._data_lines) + b'\n'
            self._data_lines.clear()
