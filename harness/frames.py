"""Prints one frame of each message and record of a build.

The values are made from the declared types alone, so two builds in which a
message is the same print the same frame for it. Run it in the folder of the
build; nothing but the package's codec is used.
"""

import dataclasses
import importlib
import pkgutil
import types
import typing

import balsamdale
from balsamdale import codec

__all__ = ['example', 'load_messages']

PLAIN_VALUES = {
    int: 7,
    float: 1.5,
    bool: True,
    str: 'text',
    bytes: b'\x00\xff',
}


def load_messages() -> dict[str, type]:
    """Import all modules; return the registered classes by name."""
    for module in pkgutil.walk_packages(balsamdale.__path__, 'balsamdale.'):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)
    return dict(sorted(codec._TYPES.items()))


def example(kind: object) -> object:
    """Return a value of a type that a message may have as a field."""
    if kind in PLAIN_VALUES:
        return PLAIN_VALUES[kind]
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Literal:
        return arguments[-1]
    if origin in (types.UnionType, typing.Union):
        return example(arguments[0])
    if origin is tuple and arguments[-1:] == (Ellipsis,):
        return (example(arguments[0]),) * 2
    if origin is tuple:
        return tuple(example(argument) for argument in arguments)
    if origin is dict:
        return {example(arguments[0]): example(arguments[1])}
    if not dataclasses.is_dataclass(kind):
        raise TypeError(f'no example for a field of type {kind}')
    hints = typing.get_type_hints(kind)
    return kind(**{f.name: example(hints[f.name]) for f in _fields(kind)})


def _fields(kind):
    return [field for field in dataclasses.fields(kind) if field.init]


def main() -> None:
    """Print the name and the frame, in hexadecimal, of each message."""
    for name, kind in load_messages().items():
        print(name, codec.encode(example(kind)).hex())


if __name__ == '__main__':
    main()
