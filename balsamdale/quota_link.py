"""Messages of an entry to the limiters of workspaces, and their silence."""

import math

from balsamdale import decisions
from balsamdale import errors
from balsamdale import metrics
from balsamdale import quota_service
from balsamdale import relay
from balsamdale.scheduling import quota_units

__all__ = ['LimiterLink']

# Time for the reply itself: units that arrive late are used or returned.
REQUEST_TIMEOUT_S = 0.25


class LimiterLink:
    """Sends messages to limiters and records which of them are silent.

    Args:
        relay_links: requests to peers.
    """

    def __init__(self, relay_links: relay.RelayLinks):
        self._relay_links = relay_links
        self._silent: set[str] = set()
        self._counts = {'messages': 0, 'messages_unanswered': 0}

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        """Return the gauges by name."""
        descriptions = {
            'messages': 'Messages to limiters',
            'messages_unanswered': 'Messages to limiters without a reply',
        }
        return {
            f'quota_{name}': (text, lambda name=name: self._counts[name])
            for name, text in descriptions.items()
        }

    def is_silent(self, limiter_id: str) -> bool:
        """Return whether a limiter did not reply in time to the last one."""
        return limiter_id in self._silent

    def mark_silent(
        self, limiter_id: str, workspace: str, reason: str
    ) -> None:
        """Record that a limiter did not reply in time."""
        if limiter_id not in self._silent:
            self._silent.add(limiter_id)
            decisions.record(
                'quota_limiter_silent',
                limiter=limiter_id,
                workspace=workspace,
                reason=reason,
            )

    async def request(
        self, limiter_id: str, message: quota_service.LendUnits
    ) -> quota_units.Lease | None:
        """Return the limiter's decisions; None if there are none to use."""
        self._counts['messages'] += 1
        try:
            reply = await self._relay_links.request(
                limiter_id, message, REQUEST_TIMEOUT_S
            )
        except errors.LinkError as error:
            self._counts['messages_unanswered'] += 1
            self.mark_silent(limiter_id, message.workspace, str(error))
            return None
        if limiter_id in self._silent:
            self._silent.discard(limiter_id)
            decisions.record('quota_limiter_replies', limiter=limiter_id)
        if _is_valid(reply, message):
            verdicts = map(quota_units.Verdict, reply.admitted, reply.delays_s)
            return quota_units.Lease(tuple(verdicts), reply.level, reply.spent)
        decisions.record(
            'quota_reply_ignored',
            limiter=limiter_id,
            workspace=message.workspace,
        )
        return None


def _is_valid(reply, message):
    return (
        isinstance(reply, quota_service.UnitsLent)
        and reply.is_limiter
        and len(message.programs) == len(reply.admitted)
        and len(message.programs) == len(reply.delays_s)
        and all(math.isfinite(v) and v >= 0 for v in reply.delays_s)
        and not any(
            is_admitted
            and delay_s > 2 * max(max_wait_s, quota_units.MAX_WAIT_S)
            for is_admitted, delay_s, max_wait_s in zip(
                reply.admitted,
                reply.delays_s,
                message.max_waits_s,
                strict=True,
            )
        )
        and math.isfinite(reply.spent)
        and reply.spent >= 0
        and math.isfinite(reply.level)
    )
