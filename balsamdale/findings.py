"""Validation of TOML documents against data classes.

Each mistake is recorded as a finding with its file, line and key, so that one
check reports all of them.
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
    """One mistake in a document.

    Attributes:
        file: name of the file.
        line: number of the line, from 1; 0 if it is unknown.
        key: dotted key, such as 'tools[1].name'; empty for the whole file.
        text: description of the mistake.
    """

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.key}: {self.text}'


class Document:
    """A parsed TOML document that records the findings of its checks.

    Args:
        text: the TOML source.
        file: file name that findings show.

    Attributes:
        file: file name that findings show.
        findings: the findings recorded so far.
        tree: the parsed document; empty if the source is not valid TOML.
    """

    def __init__(self, text: str, file: str):
        self.file = file
        self.findings: list[Finding] = []
        self._lines = text.splitlines()
        self.tree = self._parse(text)

    @classmethod
    def load(cls, path: str) -> 'Document':
        """Read and parse a file; a syntax error becomes a finding.

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
        """Record a mistake.

        Args:
            key: dotted key, such as 'tools[1].name'.
            text: description of the mistake.
            line: number of the line; None to look it up by the key.
        """
        line_number = self._find_line(key) if line is None else line
        self.findings.append(Finding(self.file, line_number, key, text))

    def read_table(self, cls: type[T], key: str) -> T | None:
        """Build a data class from the table at a key.

        Args:
            cls: the data class; its fields are the keys of the table.
            key: top-level key of the table; empty for the whole document.

        Returns:
            The object, or None if findings were recorded.
        """
        value = self.tree.get(key, {}) if key else self.tree
        return self._build_object(cls, value, key)

    def read_tables(self, cls: type[T], key: str) -> tuple[T, ...]:
        """Build a data class from each table of an array of tables.

        Args:
            cls: the data class; its fields are the keys of each table.
            key: top-level key of the array.

        Returns:
            The objects; tables with findings are left out.
        """
        tables = self.tree.get(key, [])
        if not isinstance(tables, list):
            self.add_finding(key, 'must be an array of tables')
            return ()
        objects = (
            self._build_object(cls, table, f'{key}[{index}]')
            for index, table in enumerate(tables)
        )
        return tuple(item for item in objects if item is not None)

    def report_unknown_keys(self, known_keys: typing.Collection[str]) -> None:
        """Record a finding for each top-level key that is not a known key."""
        for key in self.tree:
            if key not in known_keys:
                self.add_finding(key, 'unknown key')

    def check_address(self, key: str, address: str) -> None:
        """Record a finding unless an address is an IP address and a port."""
        host, _, port = address.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError:
            self.add_finding(
                key, f'{address!r} is not an IP address and a port'
            )
            return
        if not port.isdigit() or not 0 < int(port) < 65536:
            self.add_finding(key, f'{address!r} has no valid port')

    def raise_findings(self) -> None:
        """Raise an error if there are findings.

        Raises:
            ValidationFailed: at least one finding was recorded.
        """
        if self.findings:
            raise errors.ValidationFailed(self.findings)

    def _parse(self, text):
        try:
            return tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            match = re.search(r'line (\d+)', str(error))
            line = int(match.group(1)) if match else 0
            self.add_finding('', f'invalid TOML: {error}', line)
            return {}

    def _build_object(self, cls, value, key):
        if not isinstance(value, dict):
            self.add_finding(key, 'must be a table')
            return None
        fields = {field.name: field for field in dataclasses.fields(cls)}
        type_hints = typing.get_type_hints(cls)
        previous_count = len(self.findings)
        for name in value.keys() - fields.keys():
            self.add_finding(_join_key(key, name), 'unknown key')
        arguments = {}
        for name, field in fields.items():
            if name in value:
                arguments[name] = self._convert(
                    value[name], type_hints[name], key, name
                )
            elif _is_required(field):
                self.add_finding(_join_key(key, name), 'is missing')
        if len(self.findings) > previous_count:
            return None
        return cls(**arguments)

    def _convert(self, value, type_hint, key, name):
        try:
            return msgspec.convert(value, type_hint)
        except msgspec.ValidationError as error:
            self.add_finding(_join_key(key, name), str(error))
            return None

    def _find_line(self, key):
        """Return the line number of a dotted key, such as 'tools[1].name'.

        Returns:
            The line of the key, or else that of its table's header, or 0.
        """
        header_line, field_name = 0, key
        match = re.fullmatch(r'(\w+)(?:\[(\d+)\])?(?:\.(\w+))?', key)
        if match and (match.group(2) or match.group(3)):
            header_line = self._find_header(
                match.group(1), int(match.group(2) or 0)
            )
            field_name = match.group(3) or ''
        for number, line in enumerate(
            self._lines[header_line:], header_line + 1
        ):
            if field_name and re.match(
                rf'\s*{re.escape(field_name)}\s*=', line
            ):
                return number
            if (
                number > header_line + 1
                and header_line
                and line.startswith('[')
            ):
                break
        return header_line

    def _find_header(self, name, index):
        """Return the line number of a table's header, or 0."""
        current_index = -1
        for number, line in enumerate(self._lines, 1):
            if re.match(rf'\s*\[+{re.escape(name)}\]+', line):
                current_index += 1
                if current_index == index:
                    return number
        return 0


def _join_key(key, name):
    return f'{key}.{name}' if key else name


def _is_required(field):
    has_no_default = field.default is dataclasses.MISSING
    return has_no_default and field.default_factory is dataclasses.MISSING
