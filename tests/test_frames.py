"""Tests that messages and records of earlier builds are still understood.

Old and new instances run side by side while a fleet is replaced, and a new
one reads the folder that an old one has written. Each file of golden frames
is named after the commit of its build; `harness.frames` prints such a file.
"""

import pathlib

import pytest

from balsamdale import codec
from balsamdale import errors
from harness import frames

FOLDER = pathlib.Path(__file__).parent / 'golden' / 'frames'
BUILDS = sorted(path.stem for path in FOLDER.glob('*.txt'))
# Messages of earlier builds that this one refuses: those of the allocation of
# slots, which no build sends unless it is turned on.
REMOVED = frozenset(
    (
        'AllocateSlot',
        'DomainLoadNoted',
        'ReportDomainLoad',
        'SlotAllocated',
        'SlotElsewhere',
        'SlotQueued',
        'SlotRefused',
        'SlotsHeld',
        'SlotsNoted',
    )
)


@pytest.fixture(scope='module')
def messages():
    return frames.load_messages()


@pytest.mark.parametrize('build', BUILDS)
def test_frames_of_an_earlier_build_mean_the_same_both_ways(build, messages):
    lines = (FOLDER / f'{build}.txt').read_text().splitlines()
    assert len(lines) > 100
    for line in lines:
        name, _, digits = line.partition(' ')
        frame = bytes.fromhex(digits)
        if name in REMOVED:
            with pytest.raises(errors.UnknownMessage):
                codec.decode(frame)
            continue
        value = frames.example(messages[name])
        assert codec.decode(frame) == value
        assert codec.encode(value) == frame


def test_no_message_is_removed_that_another_build_may_send(messages):
    assert not REMOVED & messages.keys()
    assert {'OpenTurn', 'StoreTurn', 'LendServerUnits'} & messages.keys()
