"""Access to an answer while it is streamed to any number of readers."""

import asyncio
from collections import abc as collections_abc

from balsamdale import messages

__all__ = ['AnswerStream']


class AnswerStream:
    """The text of a running turn, with its durable end.

    A reader may join at any offset. Offsets belong to the step that writes
    the text: a reader that comes with another step's offset, from an owner
    that died or from before a retry, starts again.
    """

    def __init__(self):
        self._text = ''
        self._step = -1
        self._final: messages.AnswerFinal | None = None
        self._changed = asyncio.Event()
        self._failure: Exception | None = None

    def start(self, step: int) -> None:
        """Discard the text: another step writes the answer."""
        self._text = ''
        self._step = step
        self._notify()

    def write(self, text: str) -> None:
        """Add text to the end."""
        self._text += text
        self._notify()

    def finish(self, final: messages.AnswerFinal) -> None:
        """Publish the end; its record must be durable already."""
        self._final = final
        self._notify()

    def fail(self, failure: Exception) -> None:
        """Raise an error in every reader."""
        self._failure = failure
        self._notify()

    async def read(
        self, offset: int = 0, step: int = -1
    ) -> collections_abc.AsyncIterator[object]:
        """Yield deltas from an offset of a step, restarts, and the end.

        Args:
            offset: characters that the reader has.
            step: the step that wrote them; -1 where there are none.
        """
        while True:
            changed = self._changed
            if self._failure is not None:
                raise self._failure
            if step != self._step and self._text:
                if offset:
                    yield messages.AnswerRestarted()
                offset, step = 0, self._step
            if step == self._step and offset < len(self._text):
                start, offset = offset, len(self._text)
                text = self._text[start:offset]
                yield messages.AnswerDelta(start, text, step)
            if self._final is not None:
                yield self._final
                return
            await changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()
