"""Abstract base class for adapters to platforms."""

import abc
from collections import abc as collections_abc
import dataclasses

from balsamdale import connection_gate
from balsamdale import discovery
from balsamdale import keyvalue
from balsamdale import node_settings
from balsamdale import routes
from balsamdale import wire

__all__ = ['Adapter', 'EntryStatus']


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """Source of the responses to registry calls and readiness checks.

    Attributes:
        is_ready: returns whether this instance takes requests.
        addresses: returns the entry addresses for a caller's failure
            domain; none if they are not known.
    """

    is_ready: collections_abc.Callable[[], bool]
    addresses: collections_abc.Callable[[str], tuple[str, ...]]


class Adapter(abc.ABC):
    """Translates names, formats and calls of a platform; holds no policy.

    Attributes:
        route_table_key: key of the route table in force.
        server_prefix: prefix of the keys under which servers register.
        wire_format: translation of header names.
    """

    route_table_key: str
    server_prefix: str
    wire_format: wire.WireFormat

    @abc.abstractmethod
    def open_store(
        self, settings: node_settings.NodeSettings
    ) -> keyvalue.LeasedKeyValue:
        """Return a client of the key-value service."""

    @abc.abstractmethod
    def decode_route_table(self, value: bytes) -> routes.RouteTable:
        """Decode the route table.

        Raises:
            ValidationFailed: it cannot be decoded.
        """

    @abc.abstractmethod
    def decode_server(self, server_id: str, value: bytes) -> discovery.Server:
        """Decode a server's registration.

        Raises:
            ValidationFailed: it does not describe a usable server.
        """

    @abc.abstractmethod
    def has_scarce_servers(self, settings: node_settings.NodeSettings) -> bool:
        """Return whether servers may be short of room, by the contracts."""

    @abc.abstractmethod
    def decommission_key(self, instance_id: str) -> str:
        """Return the key that requests an archive's decommissioning."""

    @abc.abstractmethod
    def decommission_status(
        self, instance_id: str, is_done: bool
    ) -> tuple[str, bytes]:
        """Return key and value that report the decommissioning's state."""

    @abc.abstractmethod
    async def serve_entry_status(
        self,
        settings: node_settings.NodeSettings,
        status: EntryStatus,
        gate: connection_gate.ConnectionGate,
    ) -> collections_abc.Callable[[], collections_abc.Awaitable[None]]:
        """Serve registry calls and readiness checks.

        Args:
            settings: the settings of this instance, with its addresses.
            status: source of the responses.
            gate: admits the connections of this process.

        Returns:
            A function that stops serving.
        """
