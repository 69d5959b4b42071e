"""Command that runs one entry or archive instance on the platform."""

import os
import signal

if __name__ == '__main__':
    # The platform may tell of new settings while the rest is loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from balsamdale import node  # noqa: E402
from balsamdale.platform import adapter  # noqa: E402

SETTINGS_VARIABLE = 'BALSAMDALE_SETTINGS'


def _load_archive():
    from balsamdale import archive_node

    return archive_node.ArchiveNode


def _load_entry():
    from balsamdale import entry_node

    return entry_node.EntryNode


# An instance loads only the modules of its own role.
ROLES = {'archive': _load_archive, 'entry': _load_entry}


def main() -> None:
    """Run until SIGTERM, with the settings file that the platform wrote."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    status = node.main(path, adapter.PlatformAdapter(), ROLES)
    # The end of the interpreter would wait for threads.
    os._exit(status)


if __name__ == '__main__':
    main()
