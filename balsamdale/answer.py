"""Access to an answer while it is streamed to any number of readers."""

import asyncio
from collections import abc as collections_abc

from balsamdale import messages

__all__ = ['Answer']


class Answer:
    """The text of a running turn, with its durable end.

    A reader may join at any offset, also after a restart.
    """

    def __init__(self):
        self._text = ''
        self._restarts = 0
        self._final: messages.AnswerFinal | None = None
        self._changed = asyncio.Event()
        self._failure: Exception | None = None

    def write(self, text: str) -> None:
        """Add text to the end."""
        self._text += text
        self._notify()

    def restart(self) -> None:
        """Discard the text: the model call runs again."""
        if self._text:
            self._text = ''
            self._restarts += 1
            self._notify()

    def finish(self, final: messages.AnswerFinal) -> None:
        """Publish the end; its record must be durable already."""
        self._final = final
        self._notify()

    def fail(self, failure: Exception) -> None:
        """Raise an error in every reader."""
        self._failure = failure
        self._notify()

    async def read(self, offset: int) -> collections_abc.AsyncIterator[object]:
        """Yield deltas from an offset, restarts, and the final event."""
        restarts = self._restarts
        while True:
            changed = self._changed
            if self._failure is not None:
                raise self._failure
            if self._restarts != restarts or offset > len(self._text):
                if self._final is None or self._restarts != restarts:
                    restarts = self._restarts
                    offset = 0
                    yield messages.AnswerRestarted()
            if offset < len(self._text):
                start, offset = offset, len(self._text)
                yield messages.AnswerDelta(start, self._text[start:offset])
            if self._final is not None:
                yield self._final
                return
            await changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()
