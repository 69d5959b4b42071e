"""Limits on what clients may send, while versions of them replace others."""

import dataclasses

from balsamdale import routes

__all__ = ['LimitsInForce']

# Time for which the limits of a version still hold after the next one:
# instances and clients learn of it at different moments.
OVERLAP_S = 10.0


class LimitsInForce:
    """The limits of the latest version, and of those just replaced.

    Args:
        default: the limits until there is a version.
    """

    def __init__(self, default: routes.Limits):
        self._latest = default
        self._has_version = False
        # Limits that were replaced, with the time until which they hold.
        self._replaced: list[tuple[routes.Limits, float]] = []

    def change(self, limits: routes.Limits, now_s: float) -> None:
        """Put limits in force."""
        if limits != self._latest and self._has_version:
            self._replaced.append((self._latest, now_s + OVERLAP_S))
        self._latest = limits
        self._has_version = True

    def at(self, now_s: float) -> routes.Limits:
        """Return the widest of the limits that may be in force."""
        if not self._replaced:
            return self._latest
        self._replaced = [r for r in self._replaced if now_s < r[1]]
        versions = [self._latest, *(limits for limits, _ in self._replaced)]
        return routes.Limits(
            **{
                field.name: max(getattr(v, field.name) for v in versions)
                for field in dataclasses.fields(routes.Limits)
            }
        )
