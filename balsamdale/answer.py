"""An answer that is streamed to any number of readers."""

import asyncio
from collections import abc as collections_abc

from balsamdale import messages

__all__ = ['AnswerStream']


class AnswerStream:
    """The text of a running turn, and its durable final event.

    A reader may join at any offset. Offsets count within the text of one
    step: a reader with the offset of another step, from an owner that died
    or from before a retry, starts again.
    """

    def __init__(self):
        self._text = ''
        self._step = -1
        self._final_event: messages.AnswerFinal | None = None
        self._changed = asyncio.Event()
        self._error: Exception | None = None

    def start(self, step: int) -> None:
        """Discard the text, since another step now writes the answer."""
        self._text = ''
        self._step = step
        self._notify()

    def write(self, text: str) -> None:
        """Append text."""
        self._text += text
        self._notify()

    def finish(self, final: messages.AnswerFinal) -> None:
        """Publish the final event; its record must already be durable."""
        self._final_event = final
        self._notify()

    def fail(self, error: Exception) -> None:
        """Raise an error in every reader."""
        self._error = error
        self._notify()

    async def read(
        self, offset: int = 0, step: int = -1
    ) -> collections_abc.AsyncIterator[object]:
        """Yield deltas from an offset, restarts, and the final event.

        Args:
            offset: number of characters that the reader already has.
            step: number of the step that wrote them; -1 if it has none.

        Raises:
            Exception: the error given to `fail`.
        """
        while True:
            changed = self._changed
            if self._error is not None:
                raise self._error
            if step != self._step and self._text:
                if offset:
                    yield messages.AnswerRestarted()
                offset, step = 0, self._step
            if step == self._step and offset < len(self._text):
                start, offset = offset, len(self._text)
                text = self._text[start:offset]
                yield messages.AnswerDelta(start, text, step)
            if self._final_event is not None:
                yield self._final_event
                return
            await changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()
