"""Fills in a settings template the way the platform does: values, lists and sections.

A placeholder is `{{name}}`, `{{name|json}}`, `{{.}}` (the current entry), `{{@}}` (its key or index)
or `{{,}}` (a comma except after the last entry). `{{#name}}...{{/name}}` is rendered for each entry
of a list or table, or once for another value that is present and not false; `{{^name}}...{{/name}}`
is rendered if there is no value or it is false.
"""
import json
import re

SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]\2\}\}).)*?)\{\{/\2\}\}', re.DOTALL)
PLACEHOLDER = re.compile(r'\{\{([\w.]+|@|,)(\|json)?\}\}')


def look_up(name, scopes):
    """Value of a dotted name in the innermost scope that has it, or None."""
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        found = scope
        for word in name.split('.'):
            if isinstance(found, dict):
                found = found.get(word)
            elif isinstance(found, list) and word.isdigit() and int(word) < len(found):
                found = found[int(word)]
            else:
                found = None
        if found is not None:
            return found
    return None


def format_value(value, as_json):
    """Text of a value; empty if there is none."""
    if value is None:
        return ''
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    return ','.join(map(str, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    """Returns `template` filled in with `fields`, a table of plain values, lists and tables.

    >>> fields = {'a': {'b': 1}, 'names': ['x', 'y'], 'zero': 0, 'off': False}
    >>> render('{{a.b}} {{a|json}} {{names}} {{names.1}} {{absent}}|', fields)
    '1 {"b": 1} x,y y |'
    >>> render('{{#names}}{{@}}={{.}}{{,}}{{/names}} {{#a}}{{@}}={{.|json}}{{/a}}', fields)
    '0=x,1=y b=1'
    >>> render('{{#zero}}0 is a value{{/zero}}{{#off}}no{{/off}}{{#names.2}}no{{/names.2}}', fields)
    '0 is a value'
    >>> render('{{^off}}{{^absent}}nothing{{/absent}}{{/off}}{{^zero}}no{{/zero}}', fields)
    'nothing'
    """
    return render_in(template, [fields], '', '')


def render_in(template, scopes, key, separator):
    def section(match):
        kind, name, body = match.groups()
        value = look_up(name, scopes)
        absent = value is None or value is False
        if kind == '^' or absent:
            return render_in(body, scopes, key, separator) if (kind == '^') == absent else ''
        if not isinstance(value, (list, dict)):
            return render_in(body, scopes + [value], key, separator)
        entries = list(value.items() if isinstance(value, dict) else enumerate(value))
        return ''.join(render_in(body, scopes + [entry], str(name_of_entry),
                                 ',' if number < len(entries) else '')
                       for number, (name_of_entry, entry) in enumerate(entries, 1))

    def placeholder(match):
        name, as_json = match.groups()
        special = {'@': key, ',': separator}
        return special[name] if name in special else format_value(look_up(name, scopes), as_json)
    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, template))
