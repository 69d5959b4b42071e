"""Access to the events of a stream, as its bytes pass by."""

__all__ = ['EventReader']

DATA = b'data:'


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
        self._rest = b''
        self._data: list[bytes] = []

    @property
    def is_clean(self) -> bool:
        return not self._rest and not self._data

    def feed(self, chunk: bytes) -> None:
        """Read on."""
        lines = (self._rest + chunk).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            self._line(line.removesuffix(b'\r'))

    def _line(self, line):
        if line.startswith(DATA):
            self._data.append(line[len(DATA) :].removeprefix(b' '))
        elif not line and self._data:
            self.count += 1
            self.output += b'\n'.join(self._data) + b'\n'
            self._data.clear()
