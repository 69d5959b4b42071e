"""Runs one instance on the users' platform."""

import os
import sys

from balsamdale import node
from balsamdale.platform import adapter

VARIABLE = 'BALSAMDALE_SETTINGS'


def main() -> None:
    """Run until SIGTERM, with the settings that the platform wrote."""
    path = os.environ.get(VARIABLE, '')
    sys.exit(node.main(path, adapter.PlatformAdapter()))


if __name__ == '__main__':
    main()
