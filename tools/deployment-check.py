#!/usr/bin/env python3
"""Checks that the deployment can start: builds it as deploy/system.toml says, fills in its settings
template as a platform with the fewest and one with the most fields does, and lets the built program
check the results.

usage: tools/deployment-check.py [--no-build]
"""
import argparse
import pathlib
import subprocess
import sys
import tempfile
import tomllib

from settings_template import render

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE_BYTES = 64 * 1024

FEWEST = dict(
    node_name='vm-1', role='entry', instance_class='edge', serves=['edge'], ip_address='127.0.0.1',
    zone='d1', region='r1', zones={'d1': 'r1'},
    listen_addresses=dict(frontend='127.0.0.1:7000', ready='127.0.0.1:7001'),
    internal_port_range=[7100, 7115],
    limits=dict(memory_mb=260, max_file_descriptors=4200),
    bounds=dict(grace_period_s=6),
    platform=dict(address='127.0.0.1:7300'), cloud_api=dict(address='127.0.0.1:7301'))
MOST = dict(
    FEWEST, zones={'d1': 'r1', 'd2': 'r1', 'd3': 'r2'},
    contracts=['base', 'health', 'pressure'], seed_nodes=['127.0.0.1:7002'], data_directory=None,
    bounds=dict(grace_period_s=6, evacuation_timeout_ms=8000, warmup_overage=0.1,
                warmup_tolerance=20))
ZERO_BOUNDS = dict(MOST, bounds=dict(grace_period_s=6, evacuation_timeout_ms=0, warmup_overage=0,
                                     warmup_tolerance=0))
PLATFORMS = {'the fewest fields': FEWEST, 'the most fields': MOST, 'bounds of 0': ZERO_BOUNDS,
             'an empty list of contracts': dict(MOST, contracts=[])}


def problems_of(program, template, fields):
    """Text that the program prints about the filled-in template; empty if it accepts it."""
    with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
        file.write(render(template, fields))
        file.flush()
        checked = subprocess.run([program, '--settings', file.name, '--check'], check=False,
                                 capture_output=True, text=True, timeout=20)
    return checked.stderr or f'status {checked.returncode}' if checked.returncode else ''


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--no-build', action='store_true', help='use the programs as they are')
    options = parser.parse_args()
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    if not options.no_build:
        subprocess.run(deploy['build'], shell=True, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
    failed = 0
    for name, role in deploy['roles'].items():
        template = (ROOT / role['template']).read_text()
        if len(template.encode()) >= TEMPLATE_BYTES:
            failed += 1
            print(f'FAILED: {role["template"]} has {TEMPLATE_BYTES} bytes or more')
        for platform, fields in PLATFORMS.items():
            problems = problems_of(ROOT / role['run'].split()[0], template, fields)
            failed += bool(problems)
            print(f'{"FAILED" if problems else "ok"}: settings of role {name} on a platform with '
                  f'{platform}{": " + problems if problems else ""}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
