"""Access to the settings of an instance on a platform."""

import dataclasses
import typing

from balsamdale import findings

__all__ = ['NodeSettings', 'load']


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Who an instance on a platform is.

    Attributes:
        instance_id: name of the instance, unique in the deployment.
        role: 'entry' serves callers, 'archive' keeps turns.
        failure_domain: failure domain that the instance stands in.
        link_address: IP number and port for other instances.
        key_value_address: address of the platform's key-value service.
        entry_address: IP number and port for callers; entries only.
        ready_address: address for readiness checks; entries only.
        registry_address: address for registry calls; entries only.
        data_folder: folder on the disk; archives only.
        seeds: link addresses of instances to ask before others are known.
        is_first_start: whether the deployment starts for the first time.
        losses: archives that may be lost at once.
        grace_s: time from SIGTERM until the process is killed.
        registry_keep_s: how long callers keep a registry answer.
        metrics_address: IP number and port for metrics; empty for none.
    """

    instance_id: str
    role: typing.Literal['entry', 'archive']
    failure_domain: str
    link_address: str
    key_value_address: str
    entry_address: str = ''
    ready_address: str = ''
    registry_address: str = ''
    data_folder: str = ''
    seeds: tuple[str, ...] = ()
    is_first_start: bool = False
    losses: int = 1
    grace_s: float = 8.0
    registry_keep_s: float = 2.0
    metrics_address: str = ''


ROLE_KEYS = {
    'entry': ('entry_address', 'ready_address', 'registry_address'),
    'archive': ('data_folder',),
}


def load(path: str) -> NodeSettings:
    """Read and check the settings of an instance on a platform.

    Raises:
        ValidationFailed: the file holds mistakes, all of which are listed.
    """
    document = findings.Document.load(path)
    given = None
    if not document.findings:
        given = document.table(NodeSettings, '')
    if given is not None:
        _check(document, given)
    document.close()
    return given


def _check(document, given):
    for key in ('link_address', 'key_value_address'):
        document.check_address(key, getattr(given, key))
    for key in ROLE_KEYS[given.role]:
        value = getattr(given, key)
        if not value:
            document.add(key, f'is missing for the role {given.role!r}')
        elif key.endswith('_address'):
            document.check_address(key, value)
    if given.metrics_address:
        document.check_address('metrics_address', given.metrics_address)
    for address in given.seeds:
        document.check_address('seeds', address)
    if given.losses < 0:
        document.add('losses', 'must not be negative')
    if given.grace_s <= 0:
        document.add('grace_s', 'must be above 0')
