"""Encoding of messages and records for the wire and for disk.

A frame is a msgpack array of version, type name and body. Types are frozen
data classes that the decorator `message` registers.
"""

import dataclasses
import typing

import msgspec

from balsamdale import errors

__all__ = ['VERSION', 'decode', 'encode', 'message']

VERSION = 1

T = typing.TypeVar('T')

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_TYPES: dict[str, type] = {}


@typing.dataclass_transform(frozen_default=True)
def message(cls: type[T]) -> type[T]:
    """Make a class a frozen data class that frames can carry.

    Raises:
        ValueError: another registered class has the same name.
    """
    if cls.__name__ in _TYPES:
        raise ValueError(
            f'a message named {cls.__name__!r} is registered already'
        )
    frozen = dataclasses.dataclass(frozen=True)(cls)
    _TYPES[cls.__name__] = frozen
    return frozen


def encode(value: object) -> bytes:
    """Encode a registered message."""
    return _ENCODER.encode((VERSION, type(value).__name__, value))


def decode(frame: bytes) -> object:
    """Decode a frame.

    Raises:
        UnknownMessage: the frame is malformed, or its version or type is
            unknown.
    """
    try:
        version, name, body = _ENVELOPE.decode(frame)
        if version != VERSION:
            raise errors.UnknownMessage(f'version {version}')
        return _decoder(name).decode(body)
    except msgspec.MsgspecError as error:
        raise errors.UnknownMessage(str(error)) from error


def _decoder(name):
    decoder = _DECODERS.get(name)
    if decoder is None:
        if name not in _TYPES:
            raise errors.UnknownMessage(f'type {name}')
        decoder = msgspec.msgpack.Decoder(_TYPES[name])
        _DECODERS[name] = decoder
    return decoder
