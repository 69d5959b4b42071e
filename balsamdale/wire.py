"""Wire format of routed requests, independent of a platform's header names.

A platform's `WireFormat` decodes a caller's request once; all other modules
work with the types of this one.
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
        headers: headers to forward, without hop-by-hop headers.
        body: the whole body.
        timeout_s: how long the caller waits; None if it does not say.
        program_id: the program that the request belongs to.
        parent_id: the turn that it continues.
        budget_tokens: limit on the tokens of all turns of the program.
        answer_tokens: limit on the tokens of this turn's answer.
        prompt_tokens: tokens of the prompt.
        affinity: key that selects the preferred server; the program id, or
            else the id of the prompt's last part.
        program_time_left_s: time left until the program's deadline.
        object_key: key of the object that the request concerns; empty for
            none.
        last_event_id: id of the event after which a server continues a
            broken stream; None for a whole one.
        key_digest: digest of the caller's API key; empty without a key.
        workspace: name of the key's workspace, which servers are told.
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
    object_key: str = ''
    last_event_id: str | None = None
    key_digest: bytes = b''
    workspace: str = ''

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """A backend server's report of its load.

    Attributes:
        running: requests in its slots.
        waiting: requests in its queue.
        slots: requests that it runs at once.
        slowdown: how long work takes there now, relative to normal.
        has_slowdown: whether the server reported a slowdown.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    has_slowdown: bool = False


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What status and headers of a backend server's response say.

    Attributes:
        is_signed: whether it carries the server's signature.
        was_not_run: whether the server did not run the request.
        load: the reported load; None if it has no valid report.
        is_load_malformed: whether it has a report that is not valid.
        is_leaving: whether the server says that it is leaving.
        limit_per_s: requests per second that the server takes from all
            instances together; None if it names no valid limit.
        is_limit_malformed: whether it names a limit that is not valid.
    """

    is_signed: bool
    was_not_run: bool
    load: LoadReport | None
    is_load_malformed: bool = False
    is_leaving: bool = False
    limit_per_s: float | None = None
    is_limit_malformed: bool = False


class WireFormat(abc.ABC):
    """Translates between HTTP headers and status codes and these types.

    Attributes:
        request_id_header: header with the request id, which servers echo.
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
            Refused: the request is malformed.
        """

    @abc.abstractmethod
    def request_headers(
        self, call: Call, server_id: str, timeout_s: float
    ) -> list[Header]:
        """Return the headers of one attempt at a server.

        Args:
            call: the caller's request.
            server_id: the server that must run it.
            timeout_s: remaining time, sent as the attempt's deadline.
        """

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: collections_abc.Mapping[str, str]
    ) -> ResponseMetadata:
        """Decode status and headers of a server's response."""

    @abc.abstractmethod
    def response_headers(
        self, headers: collections_abc.Mapping[str, str]
    ) -> list[Header]:
        """Return the headers of a server's response to pass to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, refused: errors.Refused
    ) -> list[Header]:
        """Return the headers of the response that refuses a request."""
