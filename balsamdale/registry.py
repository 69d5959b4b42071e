"""Access to the choice of entry addresses for a caller.

Decides only. Callers stay in their own failure domain while it has enough
entries to share the load and to survive the loss of one.
"""

from balsamdale import members

__all__ = ['addresses']

# Entries that a domain needs to keep its callers: one may be lost.
MIN_LOCAL_ENTRIES = 2
# Addresses of one answer; callers read no more.
ADDRESS_LIMIT = 64


def addresses(
    entries: tuple[members.Member, ...], failure_domain: str
) -> tuple[str, ...]:
    """Return the entry addresses that a caller is to use.

    Args:
        entries: instances that serve callers.
        failure_domain: where the caller stands.
    """
    local = [e for e in entries if e.failure_domain == failure_domain]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else list(entries)
    chosen.sort(key=lambda e: e.instance_id)
    return tuple(e.entry_address for e in chosen[:ADDRESS_LIMIT])
