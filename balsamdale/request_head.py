"""Parses heads of requests, each by itself, with aiohttp's parser."""

import asyncio

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from balsamdale import errors
from balsamdale import request_framing

__all__ = ['parse']

BAD_REQUEST = 400
METHOD_NOT_ALLOWED = 405


def parse(
    head: request_framing.Head,
    protocol: base_protocol.BaseProtocol,
    buffer_bytes: int,
    loop: asyncio.AbstractEventLoop,
) -> tuple[http_parser.RawRequestMessage, streams.StreamReader]:
    """Return the message of a head, and its body, which is empty so far.

    A parser of its own has no state that the rest of a connection could grow.

    Args:
        head: a whole head, of a size that is allowed.
        protocol: is paused while the body has more to read than allowed.
        buffer_bytes: what the body may have to read.
        loop: the event loop of the protocol.

    Raises:
        RequestMalformed: the head is malformed, or asks for a tunnel.
    """
    size_limit = len(head.data)
    parser = http_parser.HttpRequestParser(
        protocol,
        loop,
        buffer_bytes,
        max_line_size=size_limit,
        max_field_size=size_limit,
        max_headers=head.cost + 1,
        auto_decompress=False,
    )
    try:
        messages, _, _ = parser.feed_data(head.data)
    except http_exceptions.HttpProcessingError as error:
        raise errors.RequestMalformed(BAD_REQUEST, error.message) from error
    if len(messages) != 1:
        raise errors.RequestMalformed(BAD_REQUEST, 'no request')
    if messages[0][0].method == 'CONNECT':
        raise errors.RequestMalformed(METHOD_NOT_ALLOWED, 'no tunnels')
    return messages[0]
