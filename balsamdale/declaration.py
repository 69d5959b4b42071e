"""Access to the declaration: what a deployment serves, and how.

The declaration is one TOML tree in the operators' version control. Once
accepted it lives in the platform's key-value service.
"""

import dataclasses
import functools
import typing

from balsamdale import findings

__all__ = [
    'BackendServer',
    'Contract',
    'Declaration',
    'FailureDomain',
    'Limits',
    'Service',
    'Tool',
    'load',
    'parse',
]

TABLES = (
    'deployment',
    'limits',
    'failure_domains',
    'services',
    'backend_servers',
    'tools',
    'contracts',
)


@dataclasses.dataclass(frozen=True)
class FailureDomain:
    """A part of a region that fails as one."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class Service:
    """Backend servers that answer the same requests.

    Attributes:
        name: unique name.
        kind: 'model' for model engines, 'plain' for anything else.
        model: model name that engines expect; empty for plain services.
        idempotent: whether a caller's plain request may be repeated; tools
            on the service say it for themselves.
    """

    name: str
    kind: typing.Literal['model', 'plain']
    model: str = ''
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """One model engine or plain server.

    Attributes:
        slots: requests that run at once.
        cache_tokens: prompt tokens that the prefix cache holds.
        prefill_tokens_per_s: speed of reading a prompt.
        decode_tokens_per_s: speed of one stream's answer.
        import_tokens_per_s: speed of importing an exported prefix; 0 where
            the engine cannot export.
        export_tokens: prompt tokens that exported prefixes may take.
        honours_fencing: whether it refuses orders with an old number.
        state: 'active' takes work; 'leaving' finishes what it has.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int = 8
    cache_tokens: int = 0
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 60.0
    import_tokens_per_s: float = 0.0
    export_tokens: int = 0
    honours_fencing: bool = False
    state: typing.Literal['active', 'leaving'] = 'active'


@dataclasses.dataclass(frozen=True)
class Tool:
    """A tool that models may call; it runs on a plain service."""

    name: str
    service: str
    description: str
    idempotent: bool
    expected_pause_s: float = 0.5
    timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Contract:
    """What a program may spend and by when it must be done.

    Attributes:
        name: unique name.
        service: model service that the program runs on.
        priority: 'urgent', 'deadline' or 'standard'.
        budget_tokens: prompt and answer tokens over the whole program.
        turn_deadline_s: time for one turn; 0 means none.
        tools: names of the tools that the model may call.
        agents: whether the model may spawn sub-agents.
        objective: share of turns that must meet `turn_deadline_s`.
    """

    name: str
    service: str
    priority: typing.Literal['urgent', 'deadline', 'standard']
    budget_tokens: int
    turn_deadline_s: float
    tools: tuple[str, ...] = ()
    agents: bool = False
    objective: float = 0.99


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds that hold for every program.

    Attributes:
        step_limit: steps of one turn.
        repeat_limit: identical tool calls of one turn.
        answer_tokens: longest answer of one model call.
        body_bytes: largest request body of a caller.
        agent_share: part of what is left that a sub-agent may spend.
        attempt_limit: tries of one idempotent step.
    """

    step_limit: int = 24
    repeat_limit: int = 3
    answer_tokens: int = 512
    body_bytes: int = 262144
    agent_share: float = 0.25
    attempt_limit: int = 4


@dataclasses.dataclass(frozen=True)
class Declaration:
    """Everything that a deployment serves."""

    deployment: str
    limits: Limits
    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    tools: tuple[Tool, ...]
    contracts: tuple[Contract, ...]

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service, leaving ones included."""
        return self._servers_by_service.get(service, ())

    def server(self, name: str) -> BackendServer | None:
        """Return a backend server by name."""
        return self._servers.get(name)

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def tool(self, name: str) -> Tool | None:
        """Return a tool by name."""
        return self._tools.get(name)

    def contract(self, name: str) -> Contract | None:
        """Return a contract by name."""
        return self._contracts.get(name)

    @functools.cached_property
    def _servers(self):
        return {server.name: server for server in self.backend_servers}

    @functools.cached_property
    def _servers_by_service(self):
        grouped = {}
        for server in self.backend_servers:
            grouped.setdefault(server.service, []).append(server)
        return {name: tuple(rows) for name, rows in grouped.items()}

    @functools.cached_property
    def _services(self):
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _tools(self):
        return {tool.name: tool for tool in self.tools}

    @functools.cached_property
    def _contracts(self):
        return {contract.name: contract for contract in self.contracts}


def load(path: str) -> Declaration:
    """Read and check a declaration file.

    Raises:
        ValidationFailed: the file holds mistakes, all of which are listed.
    """
    return _build(findings.Document.load(path))


def parse(text: str, file: str = 'declaration') -> Declaration:
    """Check a declaration given as TOML text.

    Raises:
        ValidationFailed: the text holds mistakes, all of which are listed.
    """
    return _build(findings.Document(text, file))


def _build(document):
    document.report_unknown_keys(TABLES)
    deployment = document.tree.get('deployment', '')
    if not isinstance(deployment, str) or not deployment:
        document.add_finding('deployment', 'must be a name')
    declared = Declaration(
        deployment=deployment,
        limits=document.read_table(Limits, 'limits') or Limits(),
        failure_domains=document.read_tables(FailureDomain, 'failure_domains'),
        services=document.read_tables(Service, 'services'),
        backend_servers=document.read_tables(BackendServer, 'backend_servers'),
        tools=document.read_tables(Tool, 'tools'),
        contracts=document.read_tables(Contract, 'contracts'),
    )
    if not document.findings:
        _check(document, declared)
    document.raise_findings()
    return declared


def _check(document, declared):
    _check_unique(document, declared)
    _check_servers(document, declared)
    _check_services(document, declared)
    _check_tools(document, declared)
    _check_contracts(document, declared)


def _check_unique(document, declared):
    for table in TABLES[2:]:
        seen = set()
        for index, row in enumerate(getattr(declared, table)):
            if row.name in seen:
                document.add_finding(
                    f'{table}[{index}].name', f'{row.name!r} repeats'
                )
            seen.add(row.name)


def _check_servers(document, declared):
    domains = {domain.name for domain in declared.failure_domains}
    for index, server in enumerate(declared.backend_servers):
        place = f'backend_servers[{index}]'
        document.check_address(f'{place}.address', server.address)
        if declared.service(server.service) is None:
            document.add_finding(f'{place}.service', 'names no service')
        if server.failure_domain not in domains:
            document.add_finding(
                f'{place}.failure_domain', 'names no failure domain'
            )
        for key in ('slots', 'prefill_tokens_per_s', 'decode_tokens_per_s'):
            if getattr(server, key) <= 0:
                document.add_finding(f'{place}.{key}', 'must be above 0')


def _check_services(document, declared):
    for index, service in enumerate(declared.services):
        if not declared.servers_of(service.name):
            document.add_finding(
                f'services[{index}].name', 'has no backend server'
            )
        if service.kind == 'model' and not service.model:
            document.add_finding(f'services[{index}].model', 'is missing')


def _check_tools(document, declared):
    for index, tool in enumerate(declared.tools):
        service = declared.service(tool.service)
        if service is None or service.kind != 'plain':
            document.add_finding(
                f'tools[{index}].service', 'names no plain service'
            )


def _check_contracts(document, declared):
    for index, contract in enumerate(declared.contracts):
        place = f'contracts[{index}]'
        service = declared.service(contract.service)
        if service is None or service.kind != 'model':
            document.add_finding(f'{place}.service', 'names no model service')
        if contract.budget_tokens <= 0:
            document.add_finding(f'{place}.budget_tokens', 'must be above 0')
        if not 0 < contract.objective < 1:
            document.add_finding(
                f'{place}.objective', 'must lie between 0 and 1'
            )
        for name in contract.tools:
            if declared.tool(name) is None:
                document.add_finding(
                    f'{place}.tools', f'{name!r} names no tool'
                )
