"""Fills in a template of settings, as the platform's pages describe."""

import json
import re

SECTION = re.compile(r'{{([#^])([\w.]+)}}\n?(.*?){{/\2}}\n?', re.DOTALL)
VALUE = re.compile(r'{{([\w.]+)(\|json)?}}')


def fill(text, fields):
    """Return the text with its sections and values filled in."""

    def section(match):
        kind, name, body = match.groups()
        value = _find(fields, name)
        is_shown = value is not None and value is not False
        return fill(body, fields) if is_shown == (kind == '#') else ''

    def value(match):
        found = _find(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return '' if found is None else str(found)

    return VALUE.sub(value, SECTION.sub(section, text))


def _find(fields, name):
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value
