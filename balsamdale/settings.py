"""Access to the local settings of one instance."""

import dataclasses
import pathlib
import typing

from balsamdale import findings
from balsamdale import membership

__all__ = ['NodeSettings', 'Settings', 'load', 'load_node']


@dataclasses.dataclass(frozen=True)
class Settings:
    """Who this instance is and where it finds the platform.

    Attributes:
        instance_id: name of the instance, unique in the deployment.
        failure_domain: failure domain that the instance stands in.
        entry_address: IP number and port for callers and operators.
        link_address: IP number and port for other instances.
        key_value_addresses: addresses of the platform's key-value service.
        key_file: file with the deployment's CURVE key pair; empty for none.
        data_folder: folder on the instance's disk; empty without a disk.
        log_level: 'info', or 'debug' for more detail.
        peers: a few instances to ask while the platform's list is away.
    """

    instance_id: str
    failure_domain: str
    entry_address: str
    link_address: str
    key_value_addresses: tuple[str, ...]
    key_file: str = ''
    data_folder: str = ''
    log_level: str = 'info'
    peers: tuple[membership.Instance, ...] = ()


def load(path: str) -> Settings:
    """Read and check a settings file.

    Raises:
        CheckFailed: the file holds mistakes, all of which are listed.
    """
    document = findings.Document.load(path)
    settings = None
    if not document.findings:
        settings = document.table(Settings, '')
    if settings is not None:
        _check(document, settings)
    document.close()
    return settings


def _check(document, settings):
    for key in ('entry_address', 'link_address'):
        document.check_address(key, getattr(settings, key))
    for address in settings.key_value_addresses:
        document.check_address('key_value_addresses', address)
    if not settings.key_value_addresses:
        document.add('key_value_addresses', 'needs at least one address')
    if settings.log_level not in ('info', 'debug'):
        document.add('log_level', "must be 'info' or 'debug'")
    if settings.key_file and not pathlib.Path(settings.key_file).is_file():
        document.add('key_file', 'no such file')


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


ROLE_KEYS = {
    'entry': ('entry_address', 'ready_address', 'registry_address'),
    'archive': ('data_folder',),
}


def load_node(path: str) -> NodeSettings:
    """Read and check the settings of an instance on a platform.

    Raises:
        CheckFailed: the file holds mistakes, all of which are listed.
    """
    document = findings.Document.load(path)
    given = None
    if not document.findings:
        given = document.table(NodeSettings, '')
    if given is not None:
        _check_node(document, given)
    document.close()
    return given


def _check_node(document, given):
    for key in ('link_address', 'key_value_address'):
        document.check_address(key, getattr(given, key))
    for key in ROLE_KEYS[given.role]:
        value = getattr(given, key)
        if not value:
            document.add(key, f'is missing for the role {given.role!r}')
        elif key.endswith('_address'):
            document.check_address(key, value)
    for address in given.seeds:
        document.check_address('seeds', address)
    if given.losses < 0:
        document.add('losses', 'must not be negative')
    if given.grace_s <= 0:
        document.add('grace_s', 'must be above 0')
