"""Keeps the decisions under load free of I/O and of clocks."""

import ast
import pathlib

import balsamdale.scheduling

FORBIDDEN = {'aiohttp', 'asyncio', 'os', 'random', 'socket', 'time', 'zmq'}


def test_decisions_import_nothing_that_does_io():
    folder = pathlib.Path(balsamdale.scheduling.__file__).parent
    imported = set()
    for path in folder.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported.update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                imported.add(node.module)
    assert 'dataclasses' in imported
    assert not {name.partition('.')[0] for name in imported} & FORBIDDEN
