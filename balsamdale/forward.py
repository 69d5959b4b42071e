"""Access to a program's owner, whichever instance that is or becomes."""

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

TRIES = 30
PLATFORM_UNAVAILABLE = 'platform_unavailable'
PARTS = (messages.AnswerDelta, messages.AnswerRestarted)


class Forwarder:
    """Sends callers' messages to program owners.

    Args:
        links: connections to other instances.
        owned: knows the owners of shards.
        generator: source of random delays.
    """

    def __init__(
        self,
        links: link.Links,
        owned: ownership.Ownership,
        generator: random.Random,
    ):
        self._links = links
        self._owned = owned
        self._generator = generator
        self.in_flight = 0
        self.served = 0

    @contextlib.contextmanager
    def call(self) -> collections_abc.Iterator[None]:
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
            Refused: the owner refused, or none could be reached.
        """
        async for reply in self.forward(program_id, message):
            return reply
        raise _unreachable()

    async def forward(
        self, program_id: str, message: object
    ) -> collections_abc.AsyncIterator[object]:
        """Yield the replies of a program's owner.

        Repeating a message is safe: an owner recognises what was done. The
        offset of an answer goes on where its stream broke.

        Raises:
            Refused: the owner refused, or none could be reached.
        """
        number = placement.shard_of(program_id)
        may_have_run = False
        for attempt in range(1, TRIES + 1):
            try:
                owner_id = await self._owned.find_owner(number)
                replies = self._links.stream(owner_id, message)
                async for reply in self._watched(number, owner_id, replies):
                    if isinstance(reply, messages.NotOwnerReply):
                        self._note_owner(reply)
                        break
                    if isinstance(reply, messages.Refusal):
                        raise _refused(reply, may_have_run)
                    message = _advance(message, reply)
                    yield reply
                    if not isinstance(reply, PARTS):
                        return
            except errors.LinkError:
                may_have_run = True
            except errors.KeyValueUnavailable as error:
                ran = 'unknown' if may_have_run else 'no'
                raise errors.Refused(
                    PLATFORM_UNAVAILABLE, 503, str(error), ran, 2.0
                ) from error
            await asyncio.sleep(retry.delay_s(attempt, self._generator))
        raise _unreachable()

    async def _watched(self, number, owner_id, replies):
        """Yield replies until another instance announces the shard."""
        try:
            while True:
                pending = asyncio.ensure_future(anext(replies))
                moved = self._owned.wait_for_owner_change(number, owner_id)
                await asyncio.wait(
                    {pending, moved}, return_when=asyncio.FIRST_COMPLETED
                )
                if not pending.done():
                    await _cancel(pending)
                    raise errors.LinkTimeout(owner_id, 'the shard moved')
                moved.cancel()
                yield pending.result()
        except StopAsyncIteration:
            return
        finally:
            await replies.aclose()

    def _note_owner(self, reply):
        if reply.owner_id:
            known = self._owned.owners().get(reply.shard, (0, ''))
            self._owned.record_owner(reply.shard, known[0], reply.owner_id)
        else:
            self._owned.remove_owner(reply.shard)


async def _cancel(pending):
    pending.cancel()
    await asyncio.wait({pending})


def _advance(message, reply):
    """Let a repeated message go on behind what was delivered."""
    if not isinstance(message, (messages.SubmitTurn, messages.FetchTurn)):
        return message
    if isinstance(reply, messages.AnswerRestarted):
        return dataclasses.replace(message, offset=0, step=-1)
    if isinstance(reply, messages.AnswerDelta):
        offset = reply.offset + len(reply.text)
        return dataclasses.replace(message, offset=offset, step=reply.step)
    return message


def _refused(reply, may_have_run):
    """Turn a reply into an error.

    An instance that could not read the journal does not know what an earlier
    owner did with the same request.
    """
    doubtful = may_have_run and reply.code == PLATFORM_UNAVAILABLE
    return errors.Refused(
        reply.code,
        reply.status,
        reply.detail,
        'unknown' if doubtful else reply.ran,
        reply.retry_after_s,
    )


def _unreachable():
    return errors.Refused(
        'owner_unreachable', 503, 'no owner answers', 'unknown', 2.0
    )
