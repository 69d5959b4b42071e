"""Loopback ports that are reserved until the process that uses them binds."""

import socket

__all__ = ['HOST', 'PortReservations']

HOST = '127.0.0.1'


class PortReservations:
    """Ports that the system does not hand out to anyone else.

    Each port stays bound to a socket that does not listen. Sockets with
    SO_REUSEADDR may bind it as well, which all servers here do, but the
    system never chooses it for a socket that asks for any free port.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Return the address of a port that is reserved until `close`."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((HOST, 0))
        self._sockets.append(reserved)
        return f'{HOST}:{reserved.getsockname()[1]}'

    def close(self) -> None:
        """Release all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
