"""Tests of the daemon."""

import asyncio
import os
import signal

import pytest

from balsamdale import daemon
from balsamdale import entry
from balsamdale import errors
from balsamdale import instance


class Served:
    """An instance, or an API, that records what is asked of it."""

    def __init__(self, name, steps, failing_steps):
        self._name = name
        self._steps = steps
        self._failing_steps = failing_steps

    async def listen(self):
        """Listen, as an API does."""

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def leave(self):
        self._perform('leave')

    async def close(self):
        self._perform('close')

    def _perform(self, action):
        step = f'{self._name}.{action}'
        self._steps.append(step)
        if step in self._failing_steps:
            raise errors.KeyValueUnavailable(step, False)


@pytest.mark.parametrize(
    'failing_steps',
    [
        ('instance.leave',),
        ('entry.close',),
        ('instance.leave', 'entry.close', 'instance.close'),
    ],
)
def test_stop_is_carried_out_to_its_end_whatever_fails(
    monkeypatch, failing_steps
):
    """Guards against open calls that are cut as the store is away."""
    steps = []
    monkeypatch.setattr(
        instance,
        'Instance',
        lambda *_: Served('instance', steps, failing_steps),
    )
    monkeypatch.setattr(
        entry, 'EntryApi', lambda _: Served('entry', steps, failing_steps)
    )
    monkeypatch.setattr(daemon, '_build_dependencies', lambda _: None)
    with pytest.raises(errors.KeyValueUnavailable):
        asyncio.run(daemon._run(None))
    assert steps == ['instance.leave', 'entry.close', 'instance.close']
