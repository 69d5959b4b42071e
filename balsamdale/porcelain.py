"""Access to every operator command as one plain function."""

from balsamdale import declaration

__all__ = ['check']


def check(path: str) -> declaration.Declaration:
    """Check a declaration file.

    Raises:
        CheckFailed: the file holds mistakes, all of which are listed.
    """
    return declaration.load(path)
