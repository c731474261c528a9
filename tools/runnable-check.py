#!/usr/bin/env python3
"""Checks that every script, test, mutation and day file can be run, without running it.

A script that no longer starts, a test file that is in no test program, a mutation whose text is gone
or an entry of KNOWN-RED.txt without its test would else go unnoticed: it just never fails. Needs the
programs in build/.

usage: tools/runnable-check.py
"""
import json
import os
import pathlib
import re
import runpy
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build'


def output_of(*command):
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def tracked(*patterns):
    """Paths under version control, and new ones, that match any of `patterns`."""
    listed = output_of('git', '-C', str(ROOT), 'ls-files', '--cached', '--others',
                       '--exclude-standard', *patterns)
    return [ROOT / line for line in listed.splitlines() if (ROOT / line).exists()]


def shell_scripts():
    """Shell scripts that cannot be parsed."""
    for path in tracked('*.sh'):
        checked = subprocess.run(['bash', '-n', path], capture_output=True, text=True, check=False)
        if checked.returncode:
            yield f'{path.relative_to(ROOT)}: {checked.stderr.strip()}'


def python_scripts():
    """Scripts whose imports or definitions fail; those of the review run in tools/review-check.py."""
    sys.path.insert(0, str(ROOT / 'tools'))
    for path in tracked('*.py'):
        try:
            if ROOT / 'tools' in path.parents:
                runpy.run_path(str(path), run_name='checked')
            else:
                compile(path.read_text(), str(path), 'exec')
        except Exception as problem:  # whatever keeps the script from starting
            yield f'{path.relative_to(ROOT)}: {problem!r}'


def test_files():
    """Test files that no test program is built from."""
    for path in tracked('tests/*_test.cpp'):
        if not os.access(BUILD / 'tests' / path.stem, os.X_OK):
            yield f'{path.relative_to(ROOT)}: no program build/tests/{path.stem}'


def mutations():
    """Mutations that cannot be applied, or whose filter selects no test."""
    for path in tracked('tests/mutations/*.json'):
        for entry in json.loads(path.read_text()):
            name = f'{path.name}: {entry["name"]}'
            source = ROOT / entry['file']
            found = source.read_text().count(entry['from']) if source.exists() else 0
            if found != 1:
                yield f'{name}: text to replace found {found} times'
            program = BUILD / 'tests' / entry['target']
            if not program.exists():
                yield f'{name}: no test program {entry["target"]}'
            elif not output_of(program, f'--gtest_filter={entry["filter"]}', '--gtest_list_tests'):
                yield f'{name}: the filter selects no test'


def known_red():
    """Entries of KNOWN-RED.txt that name no test, crowd or script."""
    text = (ROOT / 'KNOWN-RED.txt').read_text()
    listed = output_of('ctest', '--test-dir', str(BUILD), '-N')
    tests = set(re.findall(r'Test +#\d+: (\S+)', listed))
    crowds = runpy.run_path(str(ROOT / 'tools/client-abuse-test.py'), run_name='checked')['TESTS']
    known = {'test': tests, 'crowd': {behaviour.__name__ for behaviour in crowds}}
    for kind, name in re.findall(r'^(test|crowd): *(\S+)', text, re.MULTILINE):
        if name not in known[kind]:
            yield f'KNOWN-RED.txt: {kind} {name} does not exist'
    seeds = (ROOT / 'tools/soak-seeds.txt').read_text()
    for name in re.findall(r'^seed: *(\S+ \S+)', text, re.MULTILINE):
        if not re.search(f'^{name} ', seeds, re.MULTILINE):
            yield f'KNOWN-RED.txt: seed {name} is not in tools/soak-seeds.txt'
    for name in re.findall(r'^review: (review/[^\s,]+)', text, re.MULTILINE):
        if not (ROOT / name).exists():
            yield f'KNOWN-RED.txt: {name} does not exist'


def day_files():
    """Day files that are no TOML; only a bench can play them."""
    for path in tracked('*.toml'):
        try:
            tomllib.loads(path.read_text())
        except tomllib.TOMLDecodeError as problem:
            yield f'{path.relative_to(ROOT)}: {problem}'


def main():
    sys.dont_write_bytecode = True
    checks = (shell_scripts, python_scripts, test_files, mutations, known_red, day_files)
    problems = [problem for check in checks for problem in check()]
    for problem in problems:
        print(f'FAILED: {problem}')
    print(f'runnable: {len(problems)} problems')
    sys.exit(1 if problems else 0)


if __name__ == '__main__':
    main()
