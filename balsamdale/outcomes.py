"""Outcomes of attempts at backend servers, as the balancer learns of them."""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses

from balsamdale import discovery
from balsamdale import errors
from balsamdale import request_state
from balsamdale.scheduling import balance

__all__ = ['Attempt', 'held_tokens', 'recording']

# A deadline's timer may fire this much earlier than the clock reaches it.
DEADLINE_TOLERANCE_S = 0.005


@dataclasses.dataclass
class Attempt:
    """An attempt, and the state of its request when it began.

    Attributes:
        started_s: time at which it was sent.
        caller_wait_s: time that the request had waited for its caller.
        events: events that had been received.
        has_run: whether the server ran it to the end; set by the sender.
    """

    started_s: float
    caller_wait_s: float
    events: int
    has_run: bool = False


def held_tokens(state: request_state.RequestState) -> int:
    """Return the tokens that a server holds for a request."""
    call = state.call
    return max(0, call.prompt_tokens) + max(0, call.answer_tokens)


@contextlib.contextmanager
def recording(
    context: request_state.Context,
    state: request_state.RequestState,
    server: discovery.Server,
) -> collections_abc.Iterator[Attempt]:
    """Count an attempt at its server, and record how it ended.

    An attempt that its caller ended, or that waited mostly for its caller to
    read, says nothing of the server. Neither does one at a server that has
    restarted since.
    """
    tokens = held_tokens(state)
    attempt = Attempt(context.clock(), state.caller_wait_s, state.reader.count)
    kind = ''
    context.balancer.add_request(server.server_id, tokens)
    try:
        yield attempt
        kind = 'ok' if attempt.has_run else 'not_run'
        if attempt.has_run and state.status >= 500:
            kind = 'failed'
    except errors.PathLost:
        raise
    except errors.BackendFailed as failure:
        is_silent = failure.crashed and failure.ran == 'unknown'
        kind = 'silent' if is_silent else 'failed'
        raise
    except errors.Refused as refused:
        if refused.ran == 'unknown':
            kind = 'failed'
        raise
    except asyncio.CancelledError:
        if _is_timed_out(context, state, attempt):
            kind = 'silent'
        raise
    finally:
        context.balancer.remove_request(server.server_id, tokens)
        if kind and context.directory.is_current(server):
            context.balancer.record_outcome(
                server.server_id,
                _outcome(kind, context, state, attempt),
                context.clock(),
            )


def _is_timed_out(context, state, attempt):
    """Return whether the deadline has ended an attempt at a slow server."""
    now_s = context.clock()
    waited_s = state.caller_wait_s - attempt.caller_wait_s
    return (
        now_s >= state.deadline_s - DEADLINE_TOLERANCE_S
        and waited_s < (now_s - attempt.started_s) / 2
    )


def _outcome(kind, context, state, attempt):
    waited_s = state.caller_wait_s - attempt.caller_wait_s
    took_s = context.clock() - attempt.started_s - waited_s
    events = max(0, state.reader.count - attempt.events)
    return balance.Outcome(
        kind,
        max(0.0, took_s),
        max(0, state.call.prompt_tokens),
        events * state.service.tokens_per_event,
    )
