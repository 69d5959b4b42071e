"""Tests of the decision log."""

import json
import os

from balsamdale import decisions


def read_lines(descriptor):
    return [
        json.loads(text) for text in os.read(descriptor, 10**6).splitlines()
    ]


def test_line_carries_instance_event_and_inputs():
    reader, writer = os.pipe()
    log = decisions.DecisionLog(writer, 'e1')
    assert log.add(5.0, 'request', {'id': 'q', 'took_s': 0.1})
    log.flush()
    assert read_lines(reader) == [
        {
            'at_s': 5.0,
            'instance': 'e1',
            'event': 'request',
            'id': 'q',
            'took_s': 0.1,
        }
    ]


def test_lines_beyond_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    log = decisions.DecisionLog(writer, 'e1', lines_per_s=10.0)
    were_buffered = [log.add(5.0, 'x', {}) for _ in range(50)]
    assert sum(were_buffered) == 10
    assert log.dropped_count == 40
    assert log.add(6.0, 'x', {})
    log.flush()
    assert read_lines(reader)[-1]['lines_dropped'] == 40


def test_reader_that_does_not_read_holds_nothing_up():
    reader, writer = os.pipe()
    log = decisions.DecisionLog(writer, 'e1', lines_per_s=1e9)
    for _ in range(20000):
        log.add(5.0, 'x', {'text': 'y' * 100})
        log.flush()
    assert log.dropped_count
    assert log.add(5.0, 'x', {}) is False
    os.read(reader, 10**6)
    log.flush()


def test_closed_output_is_survived():
    reader, writer = os.pipe()
    os.close(reader)
    log = decisions.DecisionLog(writer, 'e1')
    log.add(5.0, 'x', {})
    log.flush()
    assert log.dropped_count == 1


def test_lines_of_a_process_that_is_killed_in_its_stop_are_not_lost():
    """Guards against a stop that leaves no trace of its last requests."""
    reader, writer = os.pipe()
    log = decisions.DecisionLog(writer, 'e1')
    log.add(5.0, 'before', {})
    log.write_through()
    log.add(5.1, 'stopping', {})
    lines = read_lines(reader)
    assert [line['event'] for line in lines] == ['before', 'stopping']
    assert not log.waiting_bytes


def test_lines_written_through_wait_for_a_reader_that_does_not_read():
    reader, writer = os.pipe()
    log = decisions.DecisionLog(writer, 'e1', lines_per_s=1e9)
    log.write_through()
    for _ in range(2000):
        log.add(5.0, 'x', {'text': 'y' * 100})
    waiting_bytes = log.waiting_bytes
    assert waiting_bytes
    os.read(reader, 10**6)
    log.add(5.0, 'x', {})
    assert log.waiting_bytes < waiting_bytes
