"""Incremental parser of server-sent events."""

__all__ = ['EventReader']

DATA_FIELD = b'data:'
ID_FIELD = b'id:'


class EventReader:
    """Collects the data of events from the chunks of a stream.

    Attributes:
        count: number of complete events.
        output: the data of each event, each with a line feed.
        last_id: id of the last complete event; empty before the first id.
        is_complete: whether no event is open, so that the bytes so far end
            with an empty line; any other line opens one, also a comment.
    """

    def __init__(self):
        self.count = 0
        self.output = bytearray()
        self.last_id = ''
        self._id = ''
        self._held = bytearray()
        self._open_lines_bytes = 0
        self._partial_line = b''
        self._data_lines: list[bytes] = []

    @property
    def is_complete(self) -> bool:
        return not self.incomplete_bytes

    @property
    def incomplete_bytes(self) -> int:
        """Bytes of the event that is open."""
        return self._open_lines_bytes + len(self._partial_line)

    def feed(self, chunk: bytes) -> None:
        """Parse the next chunk of the stream."""
        lines = (self._partial_line + chunk).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            self._open_lines_bytes += len(line) + 1
            self._read_line(line.removesuffix(b'\r'))

    def feed_whole_events(self, chunk: bytes) -> bytes:
        """Parse the next chunk; hold back the part of an incomplete event.

        Returns:
            The bytes of complete events, with those held back before.
        """
        self._held += chunk
        self.feed(chunk)
        whole_bytes = len(self._held) - self.incomplete_bytes
        whole = bytes(self._held[:whole_bytes])
        del self._held[:whole_bytes]
        return whole

    def discard_incomplete_event(self) -> None:
        """Forget an event that was cut, before its stream is resumed."""
        self._held.clear()
        self._open_lines_bytes = 0
        self._partial_line = b''
        self._data_lines.clear()
        self._id = self.last_id

    def _read_line(self, line):
        if not line:
            self._end_event()
        elif line.startswith(DATA_FIELD):
            self._data_lines.append(_field_value(line, DATA_FIELD))
        elif line.startswith(ID_FIELD):
            self._id = _field_value(line, ID_FIELD).decode(errors='replace')

    def _end_event(self):
        self._open_lines_bytes = 0
        if not self._data_lines:
            return
        self.count += 1
        self.last_id = self._id
        self.output += b'\n'.join(self._data_lines) + b'\n'
        self._data_lines.clear()


def _field_value(line, field):
    return line[len(field) :].removeprefix(b' ')
