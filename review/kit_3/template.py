"""Renders a settings template as the users' page on deployment says.

Only what `deploy/settings.toml.tmpl` uses is supported: values, values as
JSON, and sections that depend on whether a value is there.
"""

import json
import re

__all__ = ['render']

SECTION = re.compile(
    r'\{\{([#^])([a-z_.0-9]+)\}\}\n?(.*?)\{\{/\2\}\}\n?', re.DOTALL
)
VALUE = re.compile(r'\{\{([a-z_.0-9]+)(\|json)?\}\}')


def render(template: str, fields: dict) -> str:
    """Return the settings file for the fields of a process."""

    def section(match):
        has_value = bool(_find(fields, match[2]))
        return match[3] if has_value == (match[1] == '#') else ''

    def value(match):
        found = _find(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return '' if found is None else str(found)

    return VALUE.sub(value, SECTION.sub(section, template))


def _find(fields, path):
    found = fields
    for part in path.split('.'):
        if isinstance(found, list):
            found = found[int(part)]
        elif isinstance(found, dict):
            found = found.get(part)
        else:
            return None
    return found
