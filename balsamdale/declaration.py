"""The declaration: services, servers, tools and contracts of a deployment.

The declaration is one TOML document in the operators' version control. Once
accepted it is stored in the platform's key-value service.
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

# `_check_unique_names` skips the first two: they are not arrays of tables.
TOP_LEVEL_KEYS = (
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
    """A part of a region whose instances and servers can fail together."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of backend servers that serve the same requests.

    Attributes:
        name: unique name.
        kind: 'model' for model engines, 'plain' for any other server.
        model: model name that engines expect; empty for plain services.
        idempotent: whether a caller's plain request may be repeated; each
            tool on the service has a flag of its own.
    """

    name: str
    kind: typing.Literal['model', 'plain']
    model: str = ''
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """One model engine or plain server.

    Attributes:
        name: unique name.
        service: name of the service that it belongs to.
        address: IP address and port.
        failure_domain: name of its failure domain.
        slots: requests that it can run at the same time.
        cache_tokens: capacity of its prefix cache in prompt tokens.
        prefill_tokens_per_s: prefill rate of a prompt.
        decode_tokens_per_s: decode rate of one answer.
        import_tokens_per_s: rate of importing an exported prefix; 0 if the
            engine cannot export.
        export_tokens: most prompt tokens that exported prefixes may occupy.
        honours_fencing: whether it rejects orders with an outdated fencing
            number.
        state: 'active' receives new work; 'leaving' only finishes the work
            that it has.
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
    """A tool that models may call; it runs on a plain service.

    Attributes:
        name: unique name.
        service: name of the plain service that runs it.
        description: text that tells the model what the tool does.
        idempotent: whether a call may be repeated.
        expected_pause_s: expected pause of a turn while a call runs.
        timeout_s: timeout of one call.
    """

    name: str
    service: str
    description: str
    idempotent: bool
    expected_pause_s: float = 0.5
    timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Contract:
    """Service, budget, priority and deadline that a program runs under.

    Attributes:
        name: unique name.
        service: name of the model service that the program runs on.
        priority: 'urgent', 'deadline' or 'standard'.
        budget_tokens: prompt and answer tokens of the whole program.
        turn_deadline_s: deadline of a turn, counted from its acceptance; 0
            means none.
        tools: names of the tools that the model may call.
        agents: whether the model may spawn sub-agents.
        objective: share of turns that should meet `turn_deadline_s`.
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
    """Limits that apply to every program.

    Attributes:
        step_limit: most steps of one turn.
        repeat_limit: most identical tool calls of one turn.
        answer_tokens: longest answer of one model call.
        body_bytes: largest request body of a caller.
        agent_share: share of a program's available tokens that a sub-agent
            gets as its budget.
        attempt_limit: most attempts at one step.
    """

    step_limit: int = 24
    repeat_limit: int = 3
    answer_tokens: int = 512
    body_bytes: int = 262144
    agent_share: float = 0.25
    attempt_limit: int = 4


@dataclasses.dataclass(frozen=True)
class Declaration:
    """A checked declaration, with look-up of its entries by name."""

    deployment: str
    limits: Limits
    failure_domains: tuple[FailureDomain, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    tools: tuple[Tool, ...]
    contracts: tuple[Contract, ...]

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service in any state."""
        return self._servers_by_service.get(service, ())

    def server(self, name: str) -> BackendServer | None:
        """Return a backend server by name, or None if it is not declared."""
        return self._servers.get(name)

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None if it is not declared."""
        return self._services.get(name)

    def tool(self, name: str) -> Tool | None:
        """Return a tool by name, or None if it is not declared."""
        return self._tools.get(name)

    def contract(self, name: str) -> Contract | None:
        """Return a contract by name, or None if it is not declared."""
        return self._contracts.get(name)

    @functools.cached_property
    def _servers(self):
        return {server.name: server for server in self.backend_servers}

    @functools.cached_property
    def _servers_by_service(self):
        servers_by_service = {}
        for server in self.backend_servers:
            servers_by_service.setdefault(server.service, []).append(server)
        return {
            name: tuple(servers)
            for name, servers in servers_by_service.items()
        }

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
        ValidationFailed: the file is invalid; lists every mistake.
    """
    return _build(findings.Document.load(path))


def parse(text: str, file: str = 'declaration') -> Declaration:
    """Parse and check a declaration given as TOML text.

    Args:
        text: the declaration.
        file: file name that findings show.

    Raises:
        ValidationFailed: the text is invalid; lists every mistake.
    """
    return _build(findings.Document(text, file))


def _build(document):
    document.report_unknown_keys(TOP_LEVEL_KEYS)
    deployment = document.tree.get('deployment', '')
    if not isinstance(deployment, str) or not deployment:
        document.add_finding('deployment', 'must be a non-empty string')
    declaration = Declaration(
        deployment=deployment,
        limits=document.read_table(Limits, 'limits') or Limits(),
        failure_domains=document.read_tables(FailureDomain, 'failure_domains'),
        services=document.read_tables(Service, 'services'),
        backend_servers=document.read_tables(BackendServer, 'backend_servers'),
        tools=document.read_tables(Tool, 'tools'),
        contracts=document.read_tables(Contract, 'contracts'),
    )
    if not document.findings:
        _check(document, declaration)
    document.raise_findings()
    return declaration


def _check(document, declaration):
    _check_unique_names(document, declaration)
    _check_servers(document, declaration)
    _check_services(document, declaration)
    _check_tools(document, declaration)
    _check_contracts(document, declaration)


def _check_unique_names(document, declaration):
    for table in TOP_LEVEL_KEYS[2:]:
        seen_names = set()
        for index, entry in enumerate(getattr(declaration, table)):
            if entry.name in seen_names:
                document.add_finding(
                    f'{table}[{index}].name',
                    f'{entry.name!r} is declared more than once',
                )
            seen_names.add(entry.name)


def _check_servers(document, declaration):
    domain_names = {domain.name for domain in declaration.failure_domains}
    for index, server in enumerate(declaration.backend_servers):
        key_prefix = f'backend_servers[{index}]'
        document.check_address(f'{key_prefix}.address', server.address)
        if declaration.service(server.service) is None:
            document.add_finding(
                f'{key_prefix}.service', 'is not the name of a service'
            )
        if server.failure_domain not in domain_names:
            document.add_finding(
                f'{key_prefix}.failure_domain',
                'is not the name of a failure domain',
            )
        for key in ('slots', 'prefill_tokens_per_s', 'decode_tokens_per_s'):
            if getattr(server, key) <= 0:
                document.add_finding(f'{key_prefix}.{key}', 'must be above 0')


def _check_services(document, declaration):
    for index, service in enumerate(declaration.services):
        if not declaration.servers_of(service.name):
            document.add_finding(
                f'services[{index}].name', 'has no backend server'
            )
        if service.kind == 'model' and not service.model:
            document.add_finding(f'services[{index}].model', 'is missing')


def _check_tools(document, declaration):
    for index, tool in enumerate(declaration.tools):
        service = declaration.service(tool.service)
        if service is None or service.kind != 'plain':
            document.add_finding(
                f'tools[{index}].service', 'is not the name of a plain service'
            )


def _check_contracts(document, declaration):
    for index, contract in enumerate(declaration.contracts):
        key_prefix = f'contracts[{index}]'
        service = declaration.service(contract.service)
        if service is None or service.kind != 'model':
            document.add_finding(
                f'{key_prefix}.service', 'is not the name of a model service'
            )
        if contract.budget_tokens <= 0:
            document.add_finding(
                f'{key_prefix}.budget_tokens', 'must be above 0'
            )
        if not 0 < contract.objective < 1:
            document.add_finding(
                f'{key_prefix}.objective', 'must be above 0 and below 1'
            )
        for name in contract.tools:
            if declaration.tool(name) is None:
                document.add_finding(
                    f'{key_prefix}.tools',
                    f'{name!r} is not the name of a tool',
                )
