"""Access to the wire form of routed requests, whatever its header names.

An adapter decodes a caller's request once; everything behind it works with
the types of this module.
"""

import abc
from collections import abc as collections_abc
import dataclasses

from balsamdale import errors

__all__ = ['Call', 'Header', 'LoadReport', 'ResponseMetadata', 'WireFormat']

Header = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    Attributes:
        request_id: the caller's id of this attempt.
        method: HTTP method.
        host: host name that selects routes.
        target: path and query as sent.
        headers: headers to forward, those of one connection left out.
        body: the whole body.
        patience_s: how long the caller waits; None if it does not say.
        program_id: the program that the request belongs to.
        parent_id: the turn that it continues.
        budget_tokens: most tokens that all turns of the program may use.
        answer_tokens: most tokens of this turn's answer.
        prompt_tokens: tokens of the prompt.
        affinity: what cached prefixes are shared by; the program or else
            the last part of the prompt.
        finish_s: time left until the program should be finished.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float | None = None
    program_id: str = ''
    parent_id: str = ''
    budget_tokens: int = 0
    answer_tokens: int = 0
    prompt_tokens: int = 0
    affinity: str = ''
    program_time_left_s: float | None = None

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What a backend server says of its load."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What a backend server's answer says beside its body.

    Attributes:
        is_signed: whether it carries the server's signature.
        was_not_run: whether the server states that it ran nothing.
        load: the server's load, if told.
    """

    is_signed: bool
    was_not_run: bool
    load: LoadReport | None


class WireFormat(abc.ABC):
    """Header names and status codes of one interface.

    Attributes:
        request_id_header: header with the id that servers echo.
    """

    request_id_header: str

    @abc.abstractmethod
    def decode_request(
        self,
        method: str,
        target: str,
        headers: collections_abc.Mapping[str, str],
        body: bytes,
    ) -> Call:
        """Decode a caller's request.

        Raises:
            Refused: it is malformed.
        """

    @abc.abstractmethod
    def request_headers(
        self, call: Call, server_id: str, timeout_s: float
    ) -> list[Header]:
        """Return the headers of one attempt at a server."""

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: collections_abc.Mapping[str, str]
    ) -> ResponseMetadata:
        """Decode a server's answer."""

    @abc.abstractmethod
    def response_headers(
        self, headers: collections_abc.Mapping[str, str]
    ) -> list[Header]:
        """Return the headers of a server's answer that callers get."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, refused: errors.Refused
    ) -> list[Header]:
        """Return the headers of a refusal."""
