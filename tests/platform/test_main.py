"""Tests of what an instance loads when it starts on the platform."""

import json
import subprocess
import sys

import pytest

# Packages of others that each role needs to serve; more make starts slower.
LIBRARIES = {
    'absl',
    'aiohappyeyeballs',
    'aiohttp',
    'aiosignal',
    'attr',
    'cython_runtime',
    'frozenlist',
    'idna',
    'msgspec',
    'multidict',
    'propcache',
    'typing_extensions',
    'yarl',
}
ENTRY_MODULES = {'listener', 'serving', 'attempts', 'quorum', 'quota'}
ARCHIVE_MODULES = {'disk_archive', 'archive_service'}

LIST_MODULES = """
import json, sys
before = set(sys.modules)
from balsamdale.platform import __main__
__main__.ROLES[sys.argv[1]]()
print(json.dumps(sorted(set(sys.modules) - before)))
"""


def list_modules(role):
    """Return the modules that a new process loads for a role."""
    done = subprocess.run(
        [sys.executable, '-c', LIST_MODULES, role],
        capture_output=True,
        check=True,
    )
    return set(json.loads(done.stdout))


@pytest.mark.parametrize(
    ('role', 'needed', 'needless'),
    [
        ('entry', ENTRY_MODULES, ARCHIVE_MODULES),
        ('archive', ARCHIVE_MODULES, ENTRY_MODULES),
    ],
)
def test_role_loads_only_what_it_needs(role, needed, needless):
    modules = list_modules(role)
    libraries = {name.partition('.')[0] for name in modules}
    libraries -= sys.stdlib_module_names | {'balsamdale'}
    assert {name for name in libraries if name[0] != '_'} <= LIBRARIES
    own = {name.removeprefix('balsamdale.') for name in modules}
    assert needed <= own
    assert not needless & own
