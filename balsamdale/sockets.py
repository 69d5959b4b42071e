"""TCP sockets that detect an unreachable peer within seconds."""

import asyncio
import socket
import struct

__all__ = [
    'CLIENT_BUFFER_BYTES',
    'create_client_socket',
    'create_listening_socket',
    'reset',
]

# Idle seconds before the first keepalive probe, seconds between probes, and
# unanswered probes until the connection is broken.
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
# Time without an acknowledgement until an outgoing connection is broken. It
# also decides when keepalive probes give up, whatever their count.
CLIENT_UNACKED_TIMEOUT_MS = 1500
# The same for callers' connections, whose network paths may be longer.
LISTENER_UNACKED_TIMEOUT_MS = 5000

# Size of the buffers that the kernel keeps for a connection of a client, each
# way. By itself it would let them grow to megabytes.
CLIENT_BUFFER_BYTES = 65536
# The same for answers to callers: streams of callers that pause for a moment
# go on into it, so that they do not all count as unread at once.
CALLER_OUTPUT_BUFFER_BYTES = 262144


def create_client_socket(info: tuple) -> socket.socket:
    """Return a socket for an outgoing connection.

    Args:
        info: an entry of the result of `getaddrinfo`.
    """
    sock = socket.socket(info[0], info[1], info[2])
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _set_unacked_timeout(sock, CLIENT_UNACKED_TIMEOUT_MS)
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


def create_listening_socket(
    address: str, receive_bytes: int = 0, send_bytes: int = 0
) -> socket.socket:
    """Return a socket bound to an IP address and port.

    Accepted connections inherit its options.

    Args:
        address: IP address and port.
        receive_bytes: size of a connection's buffer for what arrives; 0 for
            one that the kernel adapts.
        send_bytes: the same for what is sent.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _set_unacked_timeout(sock, LISTENER_UNACKED_TIMEOUT_MS)
    # Linux doubles the sizes that are set.
    if receive_bytes:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes // 2
        )
    if send_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes // 2)
    sock.bind((host, int(port)))
    return sock


def reset(transport: asyncio.Transport) -> None:
    """Close a connection at once, so that the peer sees an error."""
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        # A linger time of 0 replaces the orderly close by a reset.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    transport.abort()


def _set_unacked_timeout(sock, timeout_ms):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
