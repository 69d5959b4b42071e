"""Choice, from the member directory, of the entry addresses for a caller.

Callers stay in their own failure domain while it has enough entries to share
the load and to survive the loss of one.
"""

from balsamdale import members

__all__ = ['addresses']

# Entries that a domain needs so that its callers stay: one may be lost.
MIN_LOCAL_ENTRIES = 2
# Addresses in one response; callers read no more.
ADDRESS_LIMIT = 64


def addresses(
    entries: tuple[members.Member, ...], failure_domain: str
) -> tuple[str, ...]:
    """Return the entry addresses that a caller should use.

    Args:
        entries: instances that serve callers.
        failure_domain: failure domain of the caller.
    """
    local = [e for e in entries if e.failure_domain == failure_domain]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else list(entries)
    chosen.sort(key=lambda e: e.instance_id)
    return tuple(e.entry_address for e in chosen[:ADDRESS_LIMIT])
