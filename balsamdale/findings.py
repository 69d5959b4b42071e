"""Access to checked TOML: data classes built with every mistake reported.

Mistakes are collected as findings with file, key and line, so that one run
of a check shows them all.
"""

import dataclasses
import ipaddress
import pathlib
import re
import tomllib
import typing

import msgspec

from balsamdale import errors

__all__ = ['Document', 'Finding']

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class Finding:
    """One mistake with its place; `line` is 0 where it is not known."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.key}: {self.text}'


class Document:
    """A parsed TOML text that collects findings while it is read.

    Args:
        text: the TOML source.
        file: name used in findings.
    """

    def __init__(self, text: str, file: str):
        self.file = file
        self.findings: list[Finding] = []
        self._lines = text.splitlines()
        self.tree = self._parse(text)

    @classmethod
    def load(cls, path: str) -> 'Document':
        """Read a file.

        Raises:
            ValidationFailed: the file cannot be read.
        """
        try:
            text = pathlib.Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            finding = Finding(path, 0, '', f'cannot be read: {error}')
            raise errors.ValidationFailed([finding]) from error
        return cls(text, path)

    def add_finding(
        self, key: str, text: str, line: int | None = None
    ) -> None:
        """Record a mistake at a dotted key."""
        found = self._line_of(key) if line is None else line
        self.findings.append(Finding(self.file, found, key, text))

    def read_table(self, cls: type[T], key: str) -> T | None:
        """Build a data class from the table at a key."""
        value = self.tree.get(key, {}) if key else self.tree
        return self._build(cls, value, key)

    def read_tables(self, cls: type[T], key: str) -> tuple[T, ...]:
        """Build a data class from each table of an array of tables."""
        rows = self.tree.get(key, [])
        if not isinstance(rows, list):
            self.add_finding(key, 'must be an array of tables')
            return ()
        built = (
            self._build(cls, row, f'{key}[{index}]')
            for index, row in enumerate(rows)
        )
        return tuple(row for row in built if row is not None)

    def report_unknown_keys(self, keys: typing.Collection[str]) -> None:
        """Record every top-level key that is not among those given."""
        for key in self.tree:
            if key not in keys:
                self.add_finding(key, 'unknown key')

    def check_address(self, key: str, address: str) -> None:
        """Record a finding unless an address is an IP number and a port."""
        host, _, port = address.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError:
            self.add_finding(key, f'{address!r} needs an IP number and a port')
            return
        if not port.isdigit() or not 0 < int(port) < 65536:
            self.add_finding(key, f'{address!r} has no valid port')

    def raise_findings(self) -> None:
        """Raise what was found.

        Raises:
            ValidationFailed: there is at least one finding.
        """
        if self.findings:
            raise errors.ValidationFailed(self.findings)

    def _parse(self, text):
        try:
            return tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            match = re.search(r'line (\d+)', str(error))
            line = int(match.group(1)) if match else 0
            self.add_finding('', f'not TOML: {error}', line)
            return {}

    def _build(self, cls, value, key):
        if not isinstance(value, dict):
            self.add_finding(key, 'must be a table')
            return None
        fields = {field.name: field for field in dataclasses.fields(cls)}
        hints = typing.get_type_hints(cls)
        before = len(self.findings)
        for name in value.keys() - fields.keys():
            self.add_finding(_join(key, name), 'unknown key')
        given = {}
        for name, field in fields.items():
            if name in value:
                given[name] = self._convert(
                    value[name], hints[name], key, name
                )
            elif _required(field):
                self.add_finding(_join(key, name), 'is missing')
        if len(self.findings) > before:
            return None
        return cls(**given)

    def _convert(self, value, hint, key, name):
        try:
            return msgspec.convert(value, hint)
        except msgspec.ValidationError as error:
            self.add_finding(_join(key, name), str(error))
            return None

    def _line_of(self, key):
        """Find the line of a dotted key such as 'tools[1].name'."""
        start, inner = 0, key
        match = re.fullmatch(r'(\w+)(?:\[(\d+)\])?(?:\.(\w+))?', key)
        if match and (match.group(2) or match.group(3)):
            start = self._header(match.group(1), int(match.group(2) or 0))
            inner = match.group(3) or ''
        for number, line in enumerate(self._lines[start:], start + 1):
            if inner and re.match(rf'\s*{re.escape(inner)}\s*=', line):
                return number
            if number > start + 1 and start and line.startswith('['):
                break
        return start

    def _header(self, name, index):
        seen = -1
        for number, line in enumerate(self._lines, 1):
            if re.match(rf'\s*\[+{re.escape(name)}\]+', line):
                seen += 1
                if seen == index:
                    return number
        return 0


def _join(key, name):
    return f'{key}.{name}' if key else name


def _required(field):
    no_default = field.default is dataclasses.MISSING
    return no_default and field.default_factory is dataclasses.MISSING
