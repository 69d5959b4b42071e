"""Tests of the table that shows where the time of requests went."""

import json

import pytest

from harness import request_times


def line(at_s, took_s, server='x', **fields):
    entry = {
        'at_s': at_s,
        'instance': 'entry-a',
        'event': 'request',
        'outcome': 'ok',
        'server': server,
        'tries': 1,
        'took_s': took_s,
        **fields,
    }
    # A bench prints its own time and the machine before a line.
    return f'  1.5 entry-a {json.dumps(entry, separators=(",", ":"))}'


def test_requests_are_read_from_whole_lines_only(capsys):
    lines = [
        'no line of a log',
        line(12.0, 2.0, opened_s=0.5, first_event_s=1.0, events=3),
        line(13.0, 1.0, event='started'),
        line(13.0, 1.0)[:-9],
    ]
    (request,) = request_times.read_requests(lines)
    assert request.arrived_s == 10.0
    assert request.is_stream
    assert request.event_gap_s == pytest.approx(0.5)
    assert 'unreadable' in capsys.readouterr().err


def test_servers_hold_requests_from_sending_to_the_end():
    lines = [
        line(12.0, 2.0, opened_s=0.5),
        line(14.0, 3.0),
        line(14.0, 3.0, server='y'),
        line(12.0, 1.0, server='', tries=0, outcome='no_room'),
    ]
    held = request_times.HeldRequests(request_times.read_requests(lines))
    assert [held.at('x', at_s) for at_s in (10.4, 10.6, 11.5, 13.0)] == [
        0,
        1,
        2,
        1,
    ]
    assert sorted(held.at_all(11.5)) == [1, 2]
