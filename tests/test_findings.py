"""Tests of findings: a check reports every mistake with its line and key."""

import pytest

from balsamdale import declaration
from balsamdale import errors
from balsamdale import settings
from harness import fleet

TEXT = (fleet.EXAMPLES / 'pollenwacht.toml').read_text()


def findings_of(text):
    """Return the findings of a declaration as pairs of line and key."""
    with pytest.raises(errors.ValidationFailed) as raised:
        declaration.parse(text, 'file.toml')
    return [(finding.line, finding.key) for finding in raised.value.findings]


def line_of(text, substring, nth=0):
    """Return the number of the nth line, from 0, that contains a substring."""
    lines = enumerate(text.splitlines(), 1)
    return [number for number, line in lines if substring in line][nth]


def test_all_mistakes_are_reported_together_with_their_lines():
    text = TEXT.replace('slots = 16', 'slots = "x"', 1)
    text = text.replace('kind = "plain"', 'kind = "plian"')
    text = text.replace('[limits]', '[limits]\nstep_limt = 3')
    assert sorted(findings_of(text)) == sorted(
        [
            (line_of(text, 'step_limt'), 'limits.step_limt'),
            (line_of(text, 'plian'), 'services[1].kind'),
            (line_of(text, '"x"'), 'backend_servers[5].slots'),
        ]
    )


def test_names_must_resolve():
    text = TEXT.replace('tools = ["pollen_counts"]', 'tools = ["none"]')
    line = line_of(text, '["none"]')
    assert findings_of(text) == [(line, 'contracts[1].tools')]


def test_text_that_is_not_toml_names_the_line():
    assert findings_of('deployment = "x"\nslots = = 3\n')[0][0] == 2


def test_both_examples_are_valid():
    for name in ('pollenwacht', 'tenaga'):
        declaration.load(str(fleet.EXAMPLES / f'{name}.toml'))


def test_settings_list_every_mistake(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(
        'instance_id = "a"\nfailure_domain = "d"\n'
        'entry_address = "localhost:80"\nlink_address = "127.0.0.1:x"\n'
        'key_value_addresses = []\nlog_level = "loud"\nkeyfile = ""\n'
    )
    with pytest.raises(errors.ValidationFailed) as raised:
        settings.load(str(path))
    assert [finding.key for finding in raised.value.findings] == ['keyfile']
    path.write_text(path.read_text().replace('keyfile = ""\n', ''))
    with pytest.raises(errors.ValidationFailed) as raised:
        settings.load(str(path))
    assert [finding.line for finding in raised.value.findings] == [3, 4, 5, 6]
