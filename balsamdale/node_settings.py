"""Settings of an entry or archive instance."""

import dataclasses
import math
import typing

from balsamdale import findings
from balsamdale.scheduling import quota_window

__all__ = ['MEGABYTE', 'NodeSettings', 'load']

MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Identity, role and addresses of an instance on a platform.

    Attributes:
        instance_id: name of the instance, unique in the deployment.
        role: 'entry' serves callers, 'archive' stores turns.
        failure_domain: failure domain of the instance.
        link_address: IP address and port for its peers.
        key_value_address: address of the platform's key-value service.
        entry_address: IP address and port for callers; entries only.
        ready_address: address for readiness checks; entries only.
        registry_address: address for registry calls; entries only.
        data_folder: folder on the disk; archives only.
        seeds: link addresses of the peers used until others are known.
        is_first_start: whether the deployment starts for the first time, so
            that an archive's empty folder is in sync.
        losses: archives that may be lost at once.
        grace_s: time from SIGTERM until the process is killed.
        registry_keep_s: how long callers cache a registry response.
        account_retention_s: how long the token account of a program is kept
            after the program's deadline and the retention of its turns.
        metrics_address: IP address and port for metrics; empty for none.
        contracts: names of the platform's rules that are in force.
        memory_limit_mb: memory at which the process is killed, in millions of
            bytes; 0 for no limit. Entries bound what requests hold by it.
        descriptor_limit: descriptors that the process may have open; 0 for
            the limit that its system has set. Connections of clients are
            bounded by it and by the memory.
        quota_window_s: length of the sliding window of quotas.
        quota_overrun_share: share of a quota by which a window may exceed it.
        quota_overrun_requests: requests by which it may also exceed it.
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
    account_retention_s: float = 120.0
    metrics_address: str = ''
    contracts: tuple[str, ...] = ()
    memory_limit_mb: float = 0
    descriptor_limit: int = 0
    quota_window_s: float = 5.0
    quota_overrun_share: float = 0.1
    quota_overrun_requests: float = 20.0

    @property
    def quota_bounds(self) -> quota_window.WindowBounds:
        """The window of all quotas."""
        return quota_window.WindowBounds(
            self.quota_window_s,
            self.quota_overrun_share,
            self.quota_overrun_requests,
        )


REQUIRED_KEYS = {
    'entry': ('entry_address', 'ready_address', 'registry_address'),
    'archive': ('data_folder',),
}


def load(path: str) -> NodeSettings:
    """Read and check the settings of an instance on a platform.

    Raises:
        ValidationFailed: the file holds mistakes, all of which are listed.
    """
    document = findings.Document.load(path)
    settings = None
    if not document.findings:
        settings = document.read_table(NodeSettings, '')
    if settings is not None:
        _check(document, settings)
    document.raise_findings()
    return settings


def _check(document, settings):
    for key in ('link_address', 'key_value_address'):
        document.check_address(key, getattr(settings, key))
    for key in REQUIRED_KEYS[settings.role]:
        value = getattr(settings, key)
        if not value:
            document.add_finding(
                key, f'is missing for the role {settings.role!r}'
            )
        elif key.endswith('_address'):
            document.check_address(key, value)
    if settings.metrics_address:
        document.check_address('metrics_address', settings.metrics_address)
    for address in settings.seeds:
        document.check_address('seeds', address)
    if settings.losses < 0:
        document.add_finding('losses', 'must not be negative')
    if settings.account_retention_s < 0:
        document.add_finding('account_retention_s', 'must not be negative')
    if not 0 < settings.quota_window_s < math.inf:
        document.add_finding('quota_window_s', 'must be finite and above 0')
    for key in ('quota_overrun_share', 'quota_overrun_requests'):
        if not 0 <= getattr(settings, key) < math.inf:
            document.add_finding(key, 'must be finite and not negative')
    if settings.grace_s <= 0:
        document.add_finding('grace_s', 'must be above 0')
    if not 0 <= settings.memory_limit_mb < math.inf:
        document.add_finding('memory_limit_mb', 'must be 0 or a size')
    if settings.descriptor_limit < 0:
        document.add_finding('descriptor_limit', 'must be 0 or a count')
