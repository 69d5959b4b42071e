"""Choice, from the member directory, of the instances that watch for others.

Each watch of the key-value service is answered at every change, and each
call is charged for, so a few instances watch it and the others follow them.
"""

from collections import abc as collections_abc
import itertools

from balsamdale import members
from balsamdale import placement

__all__ = ['choose_watchers', 'watchers_to_compare', 'watchers_to_follow']

# Watchers of a small deployment: several may fail or be cut off at once.
MIN_WATCHERS = 4
# Followers of one watcher, as a value of a few hundred kilobytes is sent to
# each of them.
FOLLOWERS_PER_WATCHER = 32
RANK_KEY = 'watchers'


def choose_watchers(
    known: collections_abc.Iterable[members.Member],
) -> list[str]:
    """Return the ids of the instances that watch the key-value service.

    Instances with a data folder come first, as their links are the widest;
    the watchers are spread over the failure domains.

    Args:
        known: all instances.
    """
    known = tuple(known)
    count = max(MIN_WATCHERS, -(-len(known) // FOLLOWERS_PER_WATCHER))
    archives = [m for m in known if m.folder_id]
    entries = [m for m in known if not m.folder_id]
    ranked = itertools.chain(
        _rank_over_domains(archives), _rank_over_domains(entries)
    )
    return list(itertools.islice(ranked, count))


def watchers_to_follow(
    known: collections_abc.Iterable[members.Member], instance_id: str
) -> list[str]:
    """Return the watchers that an instance follows, preferred ones first.

    The list is empty for a watcher, and while no other watcher is known.

    Args:
        known: all instances.
        instance_id: the instance that follows.
    """
    local, remote = _rank_watchers(known, instance_id)
    return [] if instance_id in local else local + remote


def watchers_to_compare(
    known: collections_abc.Iterable[members.Member], instance_id: str
) -> list[str]:
    """Return the watchers that an instance compares with, preferred first.

    Those of other failure domains come first: they notice the death of an
    instance even if its whole domain fails.

    Args:
        known: all instances.
        instance_id: the instance that compares.
    """
    local, remote = _rank_watchers(known, instance_id)
    return remote + [name for name in local if name != instance_id]


def _rank_watchers(known, instance_id):
    """Return the watchers in an instance's domain, and the others."""
    by_id = {m.instance_id: m for m in known}
    own = by_id.get(instance_id)
    domain = own.failure_domain if own is not None else ''
    ranked = placement.rank(instance_id, choose_watchers(by_id.values()))
    local = [n for n in ranked if by_id[n].failure_domain == domain]
    return local, [n for n in ranked if n not in local]


def _rank_over_domains(candidates):
    """Yield instance ids, one of each failure domain in turn."""
    by_domain: dict[str, list[str]] = {}
    for member in candidates:
        by_domain.setdefault(member.failure_domain, []).append(
            member.instance_id
        )
    columns = [
        placement.rank(RANK_KEY, by_domain[domain])
        for domain in sorted(by_domain)
    ]
    for row in itertools.zip_longest(*columns):
        yield from (name for name in row if name is not None)
