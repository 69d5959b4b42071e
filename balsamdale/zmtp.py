"""ZMTP 3.1, the wire protocol of ZeroMQ, without I/O.

Covered is what calls between instances need: the mechanism NULL, sockets of
the types DEALER and ROUTER, and messages of one frame.

Source: RFC 37/ZMTP of the ZeroMQ project.
"""

import enum

from balsamdale import errors

__all__ = ['MAX_FRAME_BYTES', 'PING', 'Peer', 'Role', 'frame']

# Larger frames are refused before they are read.
MAX_FRAME_BYTES = 64 << 20

MECHANISM = b'NULL'.ljust(20, b'\0')
# Signature, version, mechanism, as-server, filler.
GREETING = b'\xff' + bytes(8) + b'\x7f\x03\x01' + MECHANISM + bytes(32)
MIN_MAJOR_VERSION = 3

MORE = 0x01
LONG = 0x02
COMMAND = 0x04
LONG_SIZE_BYTES = 8
MAX_SHORT_SIZE = 255
# A PING carries its time to live in tenths of a second before the context.
PING_TTL_BYTES = 2


class Role(enum.Enum):
    """The end of a connection, by its type of socket."""

    REQUESTING = b'DEALER'
    SERVING = b'ROUTER'


def frame(body: bytes, flags: int = 0) -> bytes:
    """Return a frame: a whole message, or a command."""
    size = len(body)
    if size <= MAX_SHORT_SIZE:
        return bytes((flags, size)) + body
    return (
        bytes((flags | LONG,)) + size.to_bytes(LONG_SIZE_BYTES, 'big') + body
    )


def _command(name, data=b''):
    return frame(bytes((len(name),)) + name + data, COMMAND)


def _property(name, value):
    size = len(value).to_bytes(4, 'big')
    return bytes((len(name),)) + name + size + value


# The time to live is unused: each end watches the silence of the other.
PING = _command(b'PING', bytes(PING_TTL_BYTES))


class Peer:
    """What the other end of a connection has sent.

    Args:
        own_role: role of this end.

    Attributes:
        is_ready: whether the handshake has ended and messages may be sent.
        replies: commands to send to the peer; the caller empties it.
    """

    def __init__(self, own_role: Role):
        self._own_role = own_role
        self._buffer = bytearray()
        # Size of the frame that has arrived in part, from its start.
        self._needed_bytes = 0
        self._has_greeted = False
        self.is_ready = False
        self.replies = bytearray()

    def opening(self) -> bytes:
        """Return what this end sends first: its greeting and READY."""
        properties = _property(b'Socket-Type', self._own_role.value)
        if self._own_role is Role.REQUESTING:
            properties += _property(b'Identity', b'')
        return GREETING + _command(b'READY', properties)

    def receive(self, data: bytes | memoryview) -> list[bytes]:
        """Return the messages that end in these bytes.

        Raises:
            ProtocolError: the peer does not speak this protocol.
        """
        buffer = self._buffer
        buffer += data
        messages = []
        if not self._has_greeted and not self._read_greeting():
            return messages
        start = 0
        while True:
            header = self._read_header(start)
            if header is None:
                break
            flags, body_start, body_end = header
            if len(buffer) < body_end:
                self._needed_bytes = body_end - start
                break
            body = bytes(buffer[body_start:body_end])
            start = body_end
            if flags & COMMAND:
                self._handle_command(body)
            elif not self.is_ready:
                raise errors.ProtocolError('a message before READY')
            else:
                messages.append(body)
        del buffer[:start]
        return messages

    def _read_greeting(self):
        buffer = self._buffer
        if buffer and buffer[0] != GREETING[0]:
            raise errors.ProtocolError('no ZMTP greeting')
        if len(buffer) < len(GREETING):
            return False
        if buffer[9] != GREETING[9] or buffer[10] < MIN_MAJOR_VERSION:
            raise errors.ProtocolError(f'ZMTP version {buffer[10]}')
        if buffer[12:32] != MECHANISM:
            raise errors.ProtocolError('another mechanism than NULL')
        del buffer[: len(GREETING)]
        self._has_greeted = True
        return True

    def _read_header(self, start):
        """Return flags, start and end of the body of the frame at `start`."""
        buffer = self._buffer
        if len(buffer) - start < max(2, self._needed_bytes):
            return None
        self._needed_bytes = 0
        flags = buffer[start]
        if flags & ~(MORE | LONG | COMMAND) or flags & MORE:
            raise errors.ProtocolError(f'a frame with flags {flags:#x}')
        body_start = start + 2
        size = buffer[start + 1]
        if flags & LONG:
            body_start = start + 1 + LONG_SIZE_BYTES
            if len(buffer) < body_start:
                return None
            size = int.from_bytes(buffer[start + 1 : body_start], 'big')
        if size > MAX_FRAME_BYTES:
            raise errors.ProtocolError(f'a frame of {size} bytes')
        return flags, body_start, body_start + size

    def _handle_command(self, body):
        if not body or len(body) <= body[0]:
            raise errors.ProtocolError('a command without a name')
        name, data = body[1 : body[0] + 1], body[body[0] + 1 :]
        if name == b'READY':
            self._check_ready(data)
            self.is_ready = True
        elif name == b'PING':
            self.replies += _command(b'PONG', data[PING_TTL_BYTES:])
        elif name != b'PONG':
            raise errors.ProtocolError(f'command {name[:20]!r}')

    def _check_ready(self, data):
        socket_type = dict(_read_properties(data)).get(b'socket-type')
        expected = {role.value for role in Role} - {self._own_role.value}
        if self.is_ready or socket_type not in expected:
            raise errors.ProtocolError(f'READY of a socket {socket_type!r}')


def _read_properties(data):
    """Yield (name in lower case, value) of each property of a command."""
    while data:
        value_start = data[0] + 5
        size = int.from_bytes(data[data[0] + 1 : value_start], 'big')
        if len(data) < value_start + size:
            raise errors.ProtocolError('a property that is cut short')
        yield (
            data[1 : data[0] + 1].lower(),
            data[value_start : value_start + size],
        )
        data = data[value_start + size :]
