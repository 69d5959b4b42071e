"""Tests of the explanation of a request from the logs of instances."""

import json

from balsamdale import porcelain


def write_log(path, *lines):
    path.write_text('\n'.join(json.dumps(line) for line in lines) + '\nnoise')
    return str(path)


def test_request_is_told_with_what_its_instance_believed(tmp_path):
    first_path = write_log(
        tmp_path / 'a',
        {'at_s': 1.0, 'instance': 'a', 'event': 'store_regained'},
        {'at_s': 2.0, 'instance': 'a', 'event': 'store_lost'},
        {'at_s': 3.0, 'instance': 'a', 'event': 'link_lost', 'peer': 'd'},
        {
            'at_s': 3.2,
            'instance': 'a',
            'event': 'quota_limiter_silent',
            'limiter': 'e',
        },
        {
            'at_s': 4.0,
            'instance': 'a',
            'event': 'request',
            'id': 'q',
            'outcome': 'no_quorum',
            'server': 's',
        },
        {
            'at_s': 3.5,
            'instance': 'a',
            'event': 'server_unreachable',
            'server': 's',
            'id': 'other',
        },
        {'at_s': 5.0, 'instance': 'a', 'event': 'store_regained'},
    )
    second_path = write_log(
        tmp_path / 'b',
        {'at_s': 2.5, 'instance': 'b', 'event': 'store_lost'},
    )
    explanation = porcelain.explain_request('q', [first_path, second_path])
    assert [line['event'] for line in explanation] == [
        'store_lost',
        'link_lost',
        'quota_limiter_silent',
        'server_unreachable',
        'request',
    ]


def test_unknown_request_has_no_lines(tmp_path):
    path = write_log(
        tmp_path / 'a', {'at_s': 1.0, 'instance': 'a', 'event': 'started'}
    )
    assert porcelain.explain_request('q', [path]) == []
