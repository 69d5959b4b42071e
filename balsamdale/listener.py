"""HTTP listener for callers of routed services.

It decodes requests for `serving` and sends the responses; `entry` is the API
for callers that run programs.
"""

import asyncio

from aiohttp import web

from balsamdale import background
from balsamdale import caller_response
from balsamdale import connection_gate
from balsamdale import decisions
from balsamdale import errors
from balsamdale import http_server
from balsamdale import planned_stop
from balsamdale import routes
from balsamdale.scheduling import memory
from balsamdale import serving
from balsamdale import sockets
from balsamdale import wire

__all__ = ['Listener']

# Time for responses in progress to finish when the listener closes.
SHUTDOWN_TIMEOUT_S = 0.3
# Time, twice, for aiohttp to close what is left then.
CANCEL_TIMEOUT_S = 0.05
# Size of a refused body up to which its connection stays usable: the rest of
# the body has to be received to reach the next request.
MAX_SKIPPED_BODY_BYTES = 65536
# Seconds between checks of the output that callers have not read.
OUTPUT_CHECK_INTERVAL_S = 0.25
# Longest part of a path in a log line.
MAX_LOGGED_CHARACTERS = 200


class Listener:
    """Accepts callers' HTTP requests and passes them to the handler.

    Args:
        handler: handles decoded requests.
        wire_format: translation of header names.
        limits: limits on what callers may send, where no gate has them.
        budget: memory that requests may hold; no limit by default.
        gate: admits connections; by default one with these limits.

    Attributes:
        refused_at_stop: requests refused because they could not be ended
            before this instance stops.
    """

    def __init__(
        self,
        handler: serving.RequestHandler,
        wire_format: wire.WireFormat,
        limits: routes.Limits | None = None,
        budget: memory.MemoryBudget | None = None,
        gate: connection_gate.ConnectionGate | None = None,
    ):
        self.budget = budget or memory.MemoryBudget(0)
        if gate is None:
            gate = connection_gate.create(self.budget, limits)
        self._gate = gate
        self._responders: dict[
            memory.Holding, caller_response.CallerResponse
        ] = {}
        self._background = background.BackgroundTasks('listener')
        self._handler = handler
        self._wire_format = wire_format
        self._is_checking = False
        self._http: http_server.HttpServer | None = None
        self._planned_stop: planned_stop.PlannedStop | None = None
        self._is_closing = False
        self.refused_at_stop = 0

    @property
    def is_leaving(self) -> bool:
        """Whether connections are closed after each response."""
        return self._planned_stop is not None or self._is_closing

    def closes_after(self, request: web.BaseRequest) -> bool:
        """Return whether a connection is closed after a response.

        Requests that were read behind it are answered first.
        """
        return self.is_leaving and not request.protocol.has_queued_request

    async def listen(self, address: str) -> None:
        """Listen on an IP address and port."""
        self._http = http_server.HttpServer(
            self._handle,
            self._gate,
            counts_requests=True,
            request_factory=self._request,
            handler_cancellation=True,
            auto_decompress=False,
        )
        await self._http.listen(address, sockets.CALLER_OUTPUT_BUFFER_BYTES)

    def begin_stop(self, stop: planned_stop.PlannedStop) -> None:
        """Refuse from now on what cannot end before this instance does."""
        self._planned_stop = stop

    async def stop_accepting(self) -> None:
        """Accept no new connections, and close those that are idle.

        The others are served on, also those that the kernel has accepted.
        """
        await self._http.stop_accepting()
        self._http.server.close_idle()

    def count_open(self) -> int:
        """Return the requests that are received, handled or answered."""
        return len(self._responders)

    def is_drained(self, stop: planned_stop.PlannedStop) -> bool:
        """Return whether nothing would be cut if the listener closed now."""
        if self.count_open() or self._http.server.count_unfinished():
            return False
        if _now_s() >= stop.awaits_requests_until_s:
            return True
        return not self._http.server.count_awaited()

    async def close(self) -> None:
        """Close the listener and all connections.

        What is handled gets a short time to end. What is being received is
        refused, as is what arrives meanwhile.
        """
        self._is_closing = True
        for responder in list(self._responders.values()):
            responder.record_open()
            responder.end_input()
        if self._http is not None:
            await self._http.stop_accepting()
            await self._http.server.finish(self._close_until_s())
            for responder in list(self._responders.values()):
                responder.abort()
            await self._http.close(CANCEL_TIMEOUT_S)
        self._background.cancel()

    def _close_until_s(self):
        if self._planned_stop is None:
            return _now_s() + SHUTDOWN_TIMEOUT_S
        if self._responders:
            # They may have come after the drain had found nothing open.
            return self._planned_stop.closes_s
        return min(
            _now_s() + planned_stop.FIRST_REQUEST_WAIT_S,
            self._planned_stop.closes_s,
        )

    def _request(self, message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._gate.limits.at(_now_s()).body_bytes,
        )

    async def _handle(self, request):
        response = await self._respond(request)
        if not response.prepared and self.closes_after(request):
            response.force_close()
        return response

    async def _respond(self, request):
        try:
            _check_length(request)
            holding = self.budget.admit(request.content_length, _now_s())
        except web.HTTPRequestEntityTooLarge:
            return self._too_large(request)
        except errors.Refused as refused:
            return self._refuse_body(request, refused)
        request_id = request.headers.get(
            self._wire_format.request_id_header, ''
        )
        responder = caller_response.CallerResponse(
            request, request_id, self, holding
        )
        self._responders[holding] = responder
        self.check_output()
        try:
            return await self._handle_admitted(request, responder)
        finally:
            del self._responders[holding]
            self.budget.release(holding, _now_s())

    async def _handle_admitted(self, request, responder):
        try:
            async with responder.receiving():
                body = await self._receive(request, responder.holding)
        except web.HTTPRequestEntityTooLarge:
            return self._too_large(request)
        except errors.Refused as refused:
            return self._refuse_body(request, refused)
        except web.RequestPayloadError as error:
            return _malformed_body(request, error)
        except TimeoutError:
            body = None
        try:
            call = self._wire_format.decode_request(
                request.method, request.raw_path, request.headers, body or b''
            )
        except errors.Refused as refused:
            return _bad_request(request, refused)
        if body is None or not self._is_admitted(call):
            return self._refuse_at_stop(call)
        if self._planned_stop is not None:
            self._record_admission(call)
        await self._handler.serve(call, responder)
        del body, call
        await responder.flush()
        return responder.response

    async def _receive(self, request, holding):
        """Read a body, counting it in the budget.

        Raises:
            TimeoutError: the listener is closing.
            HTTPRequestEntityTooLarge: it exceeds the limit on bodies.
            Refused: there is no memory for it.
        """
        if self._is_closing:
            raise TimeoutError
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        limit_bytes = request.client_max_size
        body = bytearray()
        while chunk := await request.content.readany():
            body += chunk
            if len(body) > limit_bytes:
                raise web.HTTPRequestEntityTooLarge(limit_bytes, len(body))
            self.budget.record_input(holding, len(chunk), _now_s())
        self.budget.end_input(holding)
        return bytes(body)

    def _is_admitted(self, call):
        """Return whether a request can end before this instance does."""
        if self._is_closing:
            return False
        if self._planned_stop is None:
            return True
        now_s = _now_s()
        deadline_s = now_s + self._handler.time_limit_s(call)
        return self._planned_stop.admits(deadline_s, now_s)

    def _record_admission(self, call):
        """Log a request at once that is handled during a planned stop."""
        decisions.record(
            'stopping_admitted',
            id=call.request_id,
            stopping_s=round(_now_s() - self._planned_stop.started_s, 3),
            time_limit_s=round(self._handler.time_limit_s(call), 3),
        )

    def _refuse_at_stop(self, call):
        """Return the refusal of a request that could not be ended.

        Its caller may come back at once: the other instances serve.
        """
        refused = errors.Refused(
            'stopping', 503, 'this instance stops', 'no', 0.0
        )
        self.refused_at_stop += 1
        decisions.record(
            'stopping_refused',
            id=call.request_id,
            time_limit_s=round(self._handler.time_limit_s(call), 3),
        )
        return self._refusal(call, refused)

    def _refusal(self, call, refused):
        response = web.Response(status=refused.status)
        for name, value in self._wire_format.refusal_headers(
            call.request_id, refused
        ):
            response.headers.add(name, value)
        return response

    def _refuse_body(self, request, refused):
        """Return the refusal of a request whose body is not read.

        Its connection stays usable if the body is short and is sent anyway;
        the server receives and discards it.
        """
        try:
            call = self._wire_format.decode_request(
                request.method, request.raw_path, request.headers, b''
            )
        except errors.Refused as malformed:
            return _bad_request(request, malformed)
        response = self._refusal(call, refused)
        length = request.content_length
        is_short = length is not None and length <= MAX_SKIPPED_BODY_BYTES
        if 'Expect' in request.headers or not is_short:
            response.force_close()
        decisions.record(
            'body_refused',
            id=call.request_id,
            body_bytes=length,
            held_bytes=self.budget.held_bytes,
            limit_bytes=self.budget.limit_bytes,
            retry_after_s=round(refused.retry_after_s, 3),
        )
        return response

    def _too_large(self, request):
        self._gate.refusals['body_too_large'] += 1
        decisions.record('body_too_large', path=_logged_path(request))
        return web.Response(status=413)

    def check_output(self) -> None:
        """Check slow callers regularly while much memory is held."""
        if self.budget.needs_checks and not self._is_checking:
            self._is_checking = True
            self._background.spawn(self._run_output_checks())

    async def _run_output_checks(self):
        while self.budget.needs_checks:
            await asyncio.sleep(OUTPUT_CHECK_INTERVAL_S)
            for responder in self._responders.values():
                responder.record_output(0)
            self.disconnect_slow_callers()
        self._is_checking = False

    def disconnect_slow_callers(self) -> None:
        """Close the connections of callers that put the process at risk."""
        for chosen in self.budget.choose_disconnections(_now_s()):
            decisions.record(
                'caller_disconnected',
                reason=chosen.reason,
                held_bytes=chosen.held_bytes,
                waited_s=round(chosen.waited_s, 3),
                bytes_per_s=round(chosen.bytes_per_s),
                total_held_bytes=chosen.total_held_bytes,
                limit_bytes=self.budget.limit_bytes,
            )
            self._responders[chosen.holding].abort()


def _check_length(request):
    """Raise if a body is declared to exceed the limit on bodies."""
    length = request.content_length
    if length is not None and length > request.client_max_size:
        raise web.HTTPRequestEntityTooLarge(request.client_max_size, length)


def _logged_path(request):
    return request.raw_path[:MAX_LOGGED_CHARACTERS]


def _malformed_body(request, error):
    decisions.record(
        'bad_request', path=_logged_path(request), reason=str(error)
    )
    response = web.Response(status=400)
    response.force_close()
    return response


def _bad_request(request, refused):
    decisions.record(
        'bad_request', path=_logged_path(request), reason=refused.detail
    )
    return web.Response(status=refused.status)


def _now_s():
    return asyncio.get_running_loop().time()
