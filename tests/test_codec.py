"""Tests of the encoding of messages."""

import pytest

from balsamdale import codec


def test_two_messages_of_one_name_are_refused():
    namespace = {'__annotations__': {'number': int}}
    codec.message(type('OnlyInThisTest', (), dict(namespace)))
    with pytest.raises(ValueError, match='OnlyInThisTest'):
        codec.message(type('OnlyInThisTest', (), dict(namespace)))
