"""Access to what differs between platforms, as one abstract base."""

import abc
from collections import abc as collections_abc
import dataclasses

from balsamdale import discovery
from balsamdale import keyvalue
from balsamdale import node_settings
from balsamdale import routes
from balsamdale import wire

__all__ = ['Adapter', 'EntryStatus']


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """What an entry answers to callers and to the platform's checks.

    Attributes:
        is_ready: whether this instance takes requests.
        addresses: returns the entry addresses for a caller's failure
            domain; none where the instance cannot tell.
    """

    is_ready: collections_abc.Callable[[], bool]
    addresses: collections_abc.Callable[[str], tuple[str, ...]]


class Adapter(abc.ABC):
    """Names, formats and calls of a platform; it decides nothing.

    Attributes:
        table_key: key of the routes in force.
        server_prefix: start of the keys under which servers register.
        form: header names of requests.
    """

    route_table_key: str
    server_prefix: str
    wire_format: wire.WireFormat

    @abc.abstractmethod
    def open_store(
        self, given: node_settings.NodeSettings
    ) -> keyvalue.LeasedKeyValue:
        """Return access to the key-value service."""

    @abc.abstractmethod
    def decode_route_table(self, value: bytes) -> routes.RouteTable:
        """Decode the routes.

        Raises:
            ValidationFailed: they cannot be read.
        """

    @abc.abstractmethod
    def decode_server(self, server_id: str, value: bytes) -> discovery.Server:
        """Decode a server's registration.

        Raises:
            ValidationFailed: it names no server to use.
        """

    @abc.abstractmethod
    def decommission_key(self, instance_id: str) -> str:
        """Return the key that asks for an instance's data to be moved."""

    @abc.abstractmethod
    def decommission_status(
        self, instance_id: str, is_done: bool
    ) -> tuple[str, bytes]:
        """Return key and value of the answer to that."""

    @abc.abstractmethod
    async def serve_entry_status(
        self, given: node_settings.NodeSettings, questions: EntryStatus
    ) -> collections_abc.Callable[[], collections_abc.Awaitable[None]]:
        """Listen for registry and readiness calls; return how to stop."""
