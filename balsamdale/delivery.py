"""Delivery of backend servers' responses to callers.

A response reaches its caller as whole only if it came whole from its server.
"""

import contextlib
import math

from balsamdale import errors
from balsamdale import exchange
from balsamdale import http_connection
from balsamdale import request_state

__all__ = ['Delivery']

# Longest event of a stream: far more than a step of a model yields.
MAX_EVENT_BYTES = 262144


class Delivery:
    """Passes responses on to callers.

    Args:
        context: the parts of the instance that requests are served with.
    """

    def __init__(self, context: request_state.Context):
        self._context = context

    async def deliver(
        self,
        state: request_state.RequestState,
        response: exchange.Response,
    ) -> None:
        """Pass a response on, whole, or event by event if it is a stream."""
        if state.route.is_stream and response.status == 200:
            await self.deliver_events(state, response)
            await state.responder.end()
            return
        body = await self._read_whole(state, response)
        headers = self._context.wire_format.response_headers(response.headers)
        with self._waiting_for_caller(state):
            await state.responder.respond(response.status, headers, body)

    async def _read_whole(self, state, response):
        """Read a response that is passed on in one piece.

        Raises:
            Refused: there is no memory for it.
            BackendFailed: it is longer than responses can be.
        """
        parts = []
        received_bytes = 0
        async for chunk in response.chunks():
            received_bytes += len(chunk)
            if received_bytes > http_connection.MAX_BODY_BYTES:
                raise errors.BackendFailed(
                    state.server_id, 'unknown', 'the body is too long'
                )
            if not state.responder.hold(len(chunk)):
                raise errors.Refused(
                    'no_memory', 502, 'no memory for the response', 'yes'
                )
            parts.append(chunk)
        return b''.join(parts)

    async def deliver_events(self, state, response):
        """Pass events on as they arrive, without ending the response.

        A stream that may be resumed is passed on in whole events, so that
        the caller never has the first part of one that a server repeats.
        """
        if response.status != 200:
            if state.responder.has_begun:
                raise errors.BackendFailed(
                    state.server_id,
                    'unknown',
                    f'status {response.status} instead of further events',
                )
            await self.deliver(state, response)
            return
        headers = self._context.wire_format.response_headers(response.headers)
        received_bytes = 0
        async for chunk in response.chunks():
            state.last_received_s = self._context.clock()
            received_bytes += len(chunk)
            if state.route.can_resume:
                chunk = state.reader.feed_whole_events(chunk)
            else:
                state.reader.feed(chunk)
            _check_size(state, received_bytes)
            if not chunk:
                continue
            state.responder.hold(len(chunk))
            if not state.responder.has_begun:
                state.record_stage('first_event_s', self._context.clock())
                with self._waiting_for_caller(state):
                    await state.responder.begin(response.status, headers)
            with self._waiting_for_caller(state):
                await state.responder.write(chunk)
        if not state.reader.is_complete or not state.reader.count:
            raise errors.BackendFailed(
                state.server_id,
                'unknown',
                'the stream ended before an event was complete',
            )

    @contextlib.contextmanager
    def _waiting_for_caller(self, state):
        """Measure time that a server must not be blamed for."""
        started_s = self._context.clock()
        try:
            yield
        finally:
            state.caller_wait_s += self._context.clock() - started_s


def _check_size(state, received_bytes):
    """Break off a stream that has more than a server may send.

    Tokens beyond the most that the caller asked for are not covered by the
    reservation of its program's budget. Events may have been parsed and not
    passed on, so the stream is not resumed at another server.

    Raises:
        Refused: the stream, an event or the answer is too long.
    """
    event_tokens = max(1, state.service.tokens_per_event)
    most_events = math.ceil(state.call.answer_tokens / event_tokens)
    if received_bytes > http_connection.MAX_BODY_BYTES:
        part = 'stream'
    elif state.reader.incomplete_bytes > MAX_EVENT_BYTES:
        part = 'event'
    elif most_events and state.reader.count > most_events:
        part = 'answer'
    else:
        return
    raise errors.Refused(
        'broken', 502, f'{state.server_id}: the {part} is too long', 'unknown'
    )
