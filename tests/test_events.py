"""Tests of the parser of server-sent events."""

import pytest

from balsamdale import events

STREAM = b'id: 1\ndata: ab\n\nid: 2\r\ndata: c\r\ndata: d\r\n\r\n: hi\n\n'


@pytest.mark.parametrize('size', range(1, len(STREAM) + 1))
def test_any_split_gives_the_same_events(size):
    reader = events.EventReader()
    for start in range(0, len(STREAM), size):
        reader.feed(STREAM[start : start + size])
    assert reader.count == 2
    assert bytes(reader.output) == b'ab\nc\nd\n'
    assert reader.is_complete


def test_broken_event_is_not_clean():
    reader = events.EventReader()
    reader.feed(b'id: 1\ndata: ab\n\nid: 2\nda')
    assert reader.count == 1
    assert not reader.is_complete
    reader.feed(b'ta: x\n')
    assert not reader.is_complete


@pytest.mark.parametrize('size', range(1, len(STREAM)))
def test_cut_event_is_not_complete(size):
    """Only after an empty line is no event open."""
    reader = events.EventReader()
    reader.feed(STREAM[:size])
    boundaries = (b'\n\n', b'\r\n\r\n')
    assert reader.is_complete == STREAM[:size].endswith(boundaries)


def test_comments_after_an_event_are_passed_on():
    reader = events.EventReader()
    assert reader.feed_whole_events(b'data: a\n\n: hi\n\nid: 2\n') == (
        b'data: a\n\n: hi\n\n'
    )
    assert reader.incomplete_bytes == len(b'id: 2\n')


def test_event_that_ends_after_its_id_is_not_complete():
    reader = events.EventReader()
    reader.feed(b'id: 1\ndata: ab\n\nid: 2\n')
    assert reader.count == 1
    assert not reader.is_complete
