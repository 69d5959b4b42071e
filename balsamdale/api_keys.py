"""Check of callers' API keys against the configuration in force."""

from balsamdale import errors
from balsamdale import routes
from balsamdale import wire

__all__ = ['find_workspace', 'is_in_force', 'unknown_key_refusal']


def find_workspace(
    call: wire.Call, table: routes.RouteTable, route: routes.Route
) -> routes.Workspace | None:
    """Return the workspace of a caller's key; None if none is needed.

    Raises:
        Refused: the key is missing or not in force.
    """
    if route.is_public or not table.workspaces:
        return None
    workspace = table.find_workspace(call.key_digest)
    if workspace is None:
        raise unknown_key_refusal()
    return workspace


def is_in_force(
    call: wire.Call, workspace: routes.Workspace, table: routes.RouteTable
) -> bool:
    """Return whether a caller's key still belongs to its workspace."""
    found = table.find_workspace(call.key_digest)
    return found is not None and found.name == workspace.name


def unknown_key_refusal() -> errors.Refused:
    """Return the refusal of a request without a key that is in force."""
    return errors.Refused(
        'unknown_key', 401, 'the API key is missing or not in force'
    )
