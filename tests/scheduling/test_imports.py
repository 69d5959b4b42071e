"""Keeps the decisions under load free of I/O and of clocks."""

import ast
import pathlib

import balsamdale.scheduling

FORBIDDEN = {
    'aiohttp',
    'asyncio',
    'os',
    'random',
    'socket',
    'time',
    'zmq',
    # Writes the decision log.
    'balsamdale.decisions',
    # Layers above the decisions.
    'balsamdale.attempts',
    'balsamdale.link',
    'balsamdale.relay',
}


def test_decisions_import_nothing_that_does_io():
    folder = pathlib.Path(balsamdale.scheduling.__file__).parent
    imported = set()
    for path in folder.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported.update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                imported.add(node.module)
                imported.update(
                    f'{node.module}.{alias.name}' for alias in node.names
                )
    assert 'dataclasses' in imported
    assert 'balsamdale.wire' in imported
    assert not imported & FORBIDDEN
