"""Access to TCP sockets that notice a silent peer, and listeners on them."""

from collections import abc as collections_abc
import socket

from aiohttp import web

__all__ = ['create_client_socket', 'create_listening_socket', 'serve_http']

# Keepalive: seconds idle, seconds between probes, and probes until broken.
KEEPALIVE = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
# Milliseconds without an acknowledgement until a connection out is broken.
CONNECTING_UNACKED_MS = 1500
# The same for a caller's connection, whose way may be longer.
LISTENING_UNACKED_MS = 5000

Handler = collections_abc.Callable[
    [web.BaseRequest], collections_abc.Awaitable[web.StreamResponse]
]


def create_client_socket(info: tuple) -> socket.socket:
    """Return a socket for a connection out, as `getaddrinfo` describes it."""
    made = socket.socket(info[0], info[1], info[2])
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _set_unacked(made, CONNECTING_UNACKED_MS)
    for option, value in KEEPALIVE:
        made.setsockopt(socket.IPPROTO_TCP, option, value)
    return made


def create_listening_socket(address: str) -> socket.socket:
    """Return a socket bound to an IP number and port.

    Connections that it accepts inherit its options.
    """
    host, _, port = address.rpartition(':')
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _set_unacked(made, LISTENING_UNACKED_MS)
    made.bind((host, int(port)))
    return made


async def serve_http(handler: Handler, address: str) -> web.ServerRunner:
    """Answer HTTP requests on an IP number and port by one handler."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.SockSite(runner, create_listening_socket(address)).start()
    return runner


def _set_unacked(made, limit_ms):
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
