"""Forwards callers' messages to the current owner of a program."""

import asyncio
from collections import abc as collections_abc
import contextlib
import dataclasses
import random

from balsamdale import errors
from balsamdale import link
from balsamdale import messages
from balsamdale import ownership
from balsamdale import placement
from balsamdale import retry

__all__ = ['Forwarder']

MAX_ATTEMPTS = 30
PLATFORM_UNAVAILABLE = 'platform_unavailable'
NON_FINAL_REPLIES = (messages.AnswerDelta, messages.AnswerRestarted)


class Forwarder:
    """Forwards callers' messages to the owners of programs.

    `in_flight` counts callers' calls that run, `served` those that ended.

    Args:
        links: connections to peers.
        ownership: finds the owners of shards.
        generator: source of random delays.
    """

    def __init__(
        self,
        links: link.Links,
        ownership: ownership.Ownership,
        generator: random.Random,
    ):
        self._links = links
        self._ownership = ownership
        self._generator = generator
        self.in_flight = 0
        self.served = 0

    @contextlib.contextmanager
    def track_call(self) -> collections_abc.Iterator[None]:
        """Count a caller's call while it is in flight."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            self.served += 1

    async def request(self, program_id: str, message: object) -> object:
        """Return the first reply of a program's owner.

        Raises:
            Refused: the owner refused, or no owner could be reached.
        """
        async for reply in self.forward(program_id, message):
            return reply
        raise _build_unreachable()

    async def forward(
        self, program_id: str, message: object
    ) -> collections_abc.AsyncIterator[object]:
        """Yield the replies of a program's owner.

        Repeating a message is safe, since owners recognise what they did.
        The stream of an answer resumes at the offset where it broke.

        Raises:
            Refused: the owner refused, or no owner could be reached.
        """
        shard_number = placement.shard_of(program_id)
        may_have_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                owner_id = await self._ownership.find_owner(shard_number)
                replies = self._links.stream(owner_id, message)
                async for reply in self._read_until_moved(
                    shard_number, owner_id, replies
                ):
                    if isinstance(reply, messages.NotOwnerReply):
                        self._note_owner(reply)
                        break
                    if isinstance(reply, messages.Refusal):
                        raise _build_refused(reply, may_have_run)
                    message = _resume_after(message, reply)
                    yield reply
                    if not isinstance(reply, NON_FINAL_REPLIES):
                        return
            except errors.LinkError:
                may_have_run = True
            except errors.KeyValueUnavailable as error:
                ran = 'unknown' if may_have_run else 'no'
                raise errors.Refused(
                    PLATFORM_UNAVAILABLE, 503, str(error), ran, 2.0
                ) from error
            await asyncio.sleep(retry.delay_s(attempt, self._generator))
        raise _build_unreachable()

    async def _read_until_moved(self, shard_number, owner_id, replies):
        """Yield replies until the shard has another owner.

        Raises:
            LinkTimeout: another instance opened the shard meanwhile.
        """
        try:
            while True:
                next_reply = asyncio.ensure_future(anext(replies))
                owner_moved = self._ownership.wait_for_owner_change(
                    shard_number, owner_id
                )
                await asyncio.wait(
                    {next_reply, owner_moved},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not next_reply.done():
                    await _cancel(next_reply)
                    raise errors.LinkTimeout(
                        owner_id, 'a message about a shard that moved'
                    )
                owner_moved.cancel()
                yield next_reply.result()
        except StopAsyncIteration:
            return
        finally:
            await replies.aclose()

    def _note_owner(self, reply):
        if reply.owner_id:
            known_owner = self._ownership.owners().get(reply.shard, (0, ''))
            self._ownership.record_owner(
                reply.shard, known_owner[0], reply.owner_id
            )
        else:
            self._ownership.remove_owner(reply.shard)


async def _cancel(future):
    future.cancel()
    await asyncio.wait({future})


def _resume_after(message, reply):
    """Return the message that resumes the answer after a delivered reply."""
    if not isinstance(message, (messages.SubmitTurn, messages.FetchTurn)):
        return message
    if isinstance(reply, messages.AnswerRestarted):
        return dataclasses.replace(message, offset=0, step=-1)
    if isinstance(reply, messages.AnswerDelta):
        offset = reply.offset + len(reply.text)
        return dataclasses.replace(message, offset=offset, step=reply.step)
    return message


def _build_refused(reply, may_have_run):
    """Return the error for a refusal.

    An instance that could not read the journal does not know whether an
    earlier owner ran the same request.
    """
    is_unknown = may_have_run and reply.code == PLATFORM_UNAVAILABLE
    return errors.Refused(
        reply.code,
        reply.status,
        reply.detail,
        'unknown' if is_unknown else reply.ran,
        reply.retry_after_s,
    )


def _build_unreachable():
    return errors.Refused(
        'owner_unreachable', 503, 'no owner answers', 'unknown', 2.0
    )
