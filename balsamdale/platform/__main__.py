"""Command that runs one entry or archive instance on the platform."""

import os
import sys

from balsamdale import archive_node
from balsamdale import entry_node
from balsamdale import node
from balsamdale.platform import adapter

SETTINGS_VARIABLE = 'BALSAMDALE_SETTINGS'
ROLES = {
    'archive': archive_node.ArchiveNode,
    'entry': entry_node.EntryNode,
}


def main() -> None:
    """Run until SIGTERM, with the settings file that the platform wrote."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    sys.exit(node.main(path, adapter.PlatformAdapter(), ROLES))


if __name__ == '__main__':
    main()
