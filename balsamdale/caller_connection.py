"""HTTP connections of clients, whose input is limited and accounted for.

aiohttp parses heads and handles requests. It reads for as long as a client
sends, also what is part of no request; here `request_framing` decides what
reaches it.
"""

import asyncio
import collections
import contextlib
import functools

from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from balsamdale import connection_gate
from balsamdale import errors
from balsamdale import request_framing
from balsamdale import request_head
from balsamdale.scheduling import connections
from balsamdale import sockets

__all__ = ['READ_BUFFER_BYTES', 'Connection']

# Data that one call reads from a connection, and the unread part of a body at
# which reading is paused; a connection buffers at most three times as much.
READ_BUFFER_BYTES = 16384
# The same, also for output, where requests have no bodies.
SMALL_READ_BYTES = 4096
# Requests that wait behind the one being handled, and what their heads may
# take, before no more are read.
MAX_QUEUED_REQUESTS = 4
MAX_QUEUED_HEAD_BYTES = 65536
# Input whose cost, in fields of heads and chunks of bodies, exceeds this is
# expensive: it is processed in turns.
MAX_READ_COST = 256
MAX_TURN_COST = 2048
# Size of a parsed head above which the account is told at once; others are
# seen by the regular checks.
MAX_HEAD_BYTES_UNOBSERVED = 32768
# Time for which a connection that was refused stays open, so that its client
# can read the answer, and what is discarded of its input.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 131072
# aiohttp's own limit on idle connections; the gate ends them before.
MAX_KEEPALIVE_S = 3600.0
REASONS = {408: 'slow_head', 431: 'head_too_large'}


class Connection(web.RequestHandler, connection_gate.Client):
    """A connection that passes on only whole heads, and data of bodies.

    Args:
        server: the server that accepted it.
        gate: admitted it.
        record: its record in the account.
        options: further arguments of aiohttp's handler.
    """

    def __init__(self, server, gate, record, **options):
        super().__init__(server, keepalive_timeout=MAX_KEEPALIVE_S, **options)
        # Of aiohttp: the queue at which it takes further requests.
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self.record = record
        self._gate = gate
        self._framing = request_framing.RequestFraming(
            self._limits().header_bytes
        )
        # The body that arrives; None between bodies.
        self._body = None
        # What the heads of requests without an answer take, in their order.
        self._head_bytes: collections.deque[int] = collections.deque()
        self._is_paused = False
        # Whether input was left that could not be taken yet.
        self._has_input_left = False
        # A part that waits for a turn.
        self._expensive_part = None
        self._waits_for_turn = False
        self._has_turn = False
        self._is_refused = False
        self._is_lingering = False
        self._discarded_bytes = 0
        self._ended: asyncio.Event | None = None
        # aiohttp drops its own reference when it begins to close.
        self._output = None

    def connection_made(self, transport):
        transport.max_size = READ_BUFFER_BYTES
        if not self._manager.counts_requests:
            transport.max_size = SMALL_READ_BYTES
            transport.set_write_buffer_limits(high=SMALL_READ_BYTES)
        self._output = transport
        super().connection_made(transport)
        self._gate.attach(self)

    def connection_lost(self, exc):
        self._gate.close(self.record)
        if self._ended is not None:
            self._ended.set()
        super().connection_lost(exc)

    def eof_received(self):
        if self._ended is not None:
            self._ended.set()
        return super().eof_received()

    @property
    def has_queued_request(self) -> bool:
        """Whether another request was read behind the one being handled."""
        return bool(self._messages)

    @property
    def is_between_requests(self) -> bool:
        """Whether all requests that were read have their responses."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting and not self._messages

    @property
    def is_idle(self) -> bool:
        """Whether it has had a response and no part of a next request."""
        return self.has_no_request and bool(self._request_count)

    @property
    def has_no_request(self) -> bool:
        """Whether no part of a request has arrived that is not answered."""
        return self.is_between_requests and not self._framing.is_in_head

    @property
    def is_unfinished(self) -> bool:
        """Whether a request or a response would be cut if it ended now.

        That is also an answer that its caller has not read.
        """
        if self._output.get_write_buffer_size():
            return True
        return not (self._output.is_closing() or self.is_between_requests)

    @property
    def awaits_request(self) -> bool:
        """Whether its first request, or the rest of a head, should follow."""
        return not self._request_count or self._framing.is_in_head

    def data_received(self, data):
        if self._is_refused:
            self._discard(len(data))
            return
        if self._force_close or self._close:
            return
        framing = self._framing
        if framing.is_in_body:
            self.record.moved_bytes += len(data)
            if framing.pass_body(len(data)):
                self._feed_body(data)
                return
        elif not framing.held_bytes:
            framing.header_bytes = self._limits().header_bytes
        framing.receive(data)
        self._take_input()

    def pause_reading(self):
        """Take no more input: a body is not read as fast as it arrives."""
        self._reading_paused = True
        self._update()

    def resume_reading(self, resume_parser=True):
        """Take input again; aiohttp also calls it where it is taken."""
        if self._reading_paused:
            self._reading_paused = False
            if resume_parser:
                self._take_input()

    def _resume_reading_if_drained(self):
        """Take input again, as aiohttp has taken requests off the queue."""
        self._buffer_paused = False
        self._take_input()

    def take_turn(self):
        self._waits_for_turn = False
        self._has_turn = True
        try:
            self._take_input()
        finally:
            self._has_turn = False

    def _take_input(self):
        """Process what has arrived, as far as may be done now."""
        if self._manager is None or self._is_refused or self._close:
            return
        self._has_input_left = False
        try:
            self._take_parts()
        except errors.RequestMalformed as error:
            self.refuse(error)
        # Makes aiohttp call `_resume_reading_if_drained`.
        self._buffer_paused = self._has_input_left and self._is_queue_full()
        self._update()

    def _take_parts(self):
        max_cost = MAX_TURN_COST if self._has_turn else MAX_READ_COST
        cost = 0
        while not self._must_wait():
            part = self._expensive_part or self._framing.next_part()
            if part is None:
                return
            cost += part.cost
            if cost > max_cost and self._expensive_part is None:
                self._expensive_part = part
                self._waits_for_turn = True
                self._gate.request_turn(self)
                break
            self._expensive_part = None
            _process(part, self)
            if not self._framing.held_bytes:
                return
        has_part = self._expensive_part is not None
        self._has_input_left = has_part or self._framing.held_bytes > 0

    def _must_wait(self):
        """Return whether no part may be taken now."""
        return (
            self._reading_paused
            or self._waits_for_turn
            or self._is_refused
            or (bool(self._messages) and self._is_queue_full())
        )

    def _is_queue_full(self):
        """Return whether no further request may be queued now."""
        return not self._framing.is_in_body and (
            len(self._messages) >= MAX_QUEUED_REQUESTS
            or sum(self._head_bytes) > MAX_QUEUED_HEAD_BYTES
        )

    def _update(self):
        """Read on or not.

        Reading goes on while nothing waits, to notice that a client leaves.
        """
        if self._is_refused:
            must_pause = not self._is_lingering
        else:
            must_pause = self._reading_paused or self._has_input_left
        if must_pause != self._is_paused:
            self._is_paused = must_pause
            if must_pause:
                self._pause_transport_reading()
            else:
                self._resume_transport_reading()

    def _limits(self):
        return self._gate.limits.at(self._loop.time())

    def observe(self):
        if self._manager is None:
            return
        phase = self._phase()
        held_bytes = self._framing.held_bytes + sum(self._head_bytes)
        is_counted = False
        if self._manager.counts_requests:
            is_answer = phase == connections.Phase.OUTPUT
            is_counted = is_answer or self._framing.is_length_known
        else:
            held_bytes += self._output.get_write_buffer_size()
        self._gate.account.update(
            self.record,
            phase,
            held_bytes,
            self._request_count,
            self._loop.time(),
            is_counted,
        )

    def _phase(self):
        phases = connections.Phase
        if self._is_refused and len(self._head_bytes) <= 1:
            return phases.REFUSED
        if self._framing.is_in_body:
            return phases.BODY
        if self._head_bytes:
            is_read = not self._output.get_write_buffer_size()
            return phases.HANDLING if is_read else phases.OUTPUT
        if self._framing.is_in_head:
            return phases.HEAD
        return phases.IDLE if self._request_count else phases.FIRST

    def begin_request(self, head: request_framing.Head) -> None:
        """Hand a request to aiohttp, and expect its body.

        Raises:
            RequestMalformed: the head is malformed.
        """
        message, payload = request_head.parse(
            head, self, READ_BUFFER_BYTES, self._loop
        )
        head_bytes = len(head.data) + connections.FIELD_BYTES * head.cost
        self._queue(message, payload, head_bytes)
        if head_bytes > MAX_HEAD_BYTES_UNOBSERVED:
            self.observe()
        if message.chunked:
            self._framing.expect_chunks()
        elif payload is not streams.EMPTY_PAYLOAD:
            self._framing.expect_length(int(message.headers['Content-Length']))
        else:
            return
        self._body = payload

    def continue_body(self, part: request_framing.Body) -> None:
        """Hand a part of a body to aiohttp."""
        self._feed_body(part.data)
        if part.is_last:
            body, self._body = self._body, None
            if not body.is_eof():
                body.feed_eof()

    def _feed_body(self, data):
        if data and not self._body.is_eof():
            self._body.feed_data(data)

    def _queue(self, message, payload, head_bytes):
        """Hand a request to aiohttp."""
        self._request_count += 1
        self._head_bytes.append(head_bytes)
        self._messages.append((message, payload))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def finish_response(self, request, resp, start_time):
        try:
            result = await super().finish_response(request, resp, start_time)
            if self._is_refused and not self._messages:
                await self._linger()
            return result
        finally:
            if self._head_bytes:
                self._head_bytes.popleft()

    def refuse(self, error):
        """Answer that a request is refused, and close.

        Requests before it are answered first.
        """
        if self._is_refused or self._manager is None:
            return
        self._is_refused = True
        # The connection lingers, and what it has sent is not used any more.
        self._framing.drop()
        self._gate.count_refusal(
            REASONS.get(error.status, 'malformed'),
            status=error.status,
            detail=str(error),
        )
        if self._body is not None:
            self._break_off_body(error)
            return
        refusal = web_protocol._ErrInfo(error.status, error, str(error))
        self._queue(refusal, streams.EMPTY_PAYLOAD, 0)

    def _break_off_body(self, error):
        """End a body that is malformed, and the connection behind it."""
        body, self._body = self._body, None
        if body.is_eof():
            return
        if self._head_bytes:
            body.set_exception(web.RequestPayloadError(str(error)))
        else:
            # Its request has been answered.
            self._close = True
        body.feed_eof()

    def _make_error_handler(self, err_info):
        async def respond(_request):
            response = web.Response(
                status=err_info.status, text=err_info.message
            )
            response.force_close()
            return response

        return respond

    async def _linger(self):
        """Discard input until the client has read the answer.

        Closing a connection with unread input would destroy the answer.
        """
        self._close = True
        if self.transport is None or self.transport.is_closing():
            return
        self._is_lingering = True
        self._ended = asyncio.Event()
        self._update()
        self.transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self._ended.wait()

    def _discard(self, size_bytes):
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.disconnect()

    def close_idle(self):
        self.force_close()

    def disconnect(self):
        if self._head_bytes:
            # A response may end with its connection.
            sockets.reset(self._output)
        else:
            self._output.abort()


@functools.singledispatch
def _process(part, _connection):
    raise TypeError(part)


@_process.register
def _(head: request_framing.Head, connection):
    connection.begin_request(head)


@_process.register
def _(part: request_framing.Body, connection):
    connection.continue_body(part)
