"""Settings file of an instance that runs programs."""

import dataclasses
import pathlib

from balsamdale import findings
from balsamdale import membership

__all__ = ['Settings', 'load']


@dataclasses.dataclass(frozen=True)
class Settings:
    """Identity and addresses of an instance and of its platform.

    Attributes:
        instance_id: name of the instance, unique in the deployment.
        failure_domain: name of the failure domain that it runs in.
        entry_address: IP address and port for callers and operators.
        link_address: IP address and port for its peers.
        key_value_addresses: IP addresses and ports of the platform's
            key-value service.
        key_file: file with the deployment's CURVE key pair; empty for none.
        data_folder: folder on the instance's disk; empty without a disk.
        log_level: 'info', or 'debug' for more detail.
        peers: a few peers known from the start, for use while the platform's
            list of instances is unavailable.
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
        ValidationFailed: the file is invalid; lists every mistake.
    """
    document = findings.Document.load(path)
    settings = None
    if not document.findings:
        settings = document.read_table(Settings, '')
    if settings is not None:
        _check(document, settings)
    document.raise_findings()
    return settings


def _check(document, settings):
    for key in ('entry_address', 'link_address'):
        document.check_address(key, getattr(settings, key))
    for address in settings.key_value_addresses:
        document.check_address('key_value_addresses', address)
    if not settings.key_value_addresses:
        document.add_finding(
            'key_value_addresses', 'must hold at least one address'
        )
    if settings.log_level not in ('info', 'debug'):
        document.add_finding('log_level', "must be 'info' or 'debug'")
    if settings.key_file and not pathlib.Path(settings.key_file).is_file():
        document.add_finding('key_file', 'is not an existing file')
