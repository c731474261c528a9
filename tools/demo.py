#!/usr/bin/env python3
"""Runs a small fleet under load with faults and prints the resulting measures.

usage: tools/demo.py [--user quetzal|kyushu] [--seconds N]
"""
import argparse
import json
import subprocess
import tempfile
import time

from bench import ROOT, Bench, fleet


def say(text):
    print(time.strftime('%H:%M:%S ') + text, flush=True)


def control(bench, *arguments, quiet=False):
    """Runs jackdawvanectl against the store of the fleet."""
    command = [str(ROOT / 'build/jackdawvanectl'), '--store', bench.fleet.state['store'],
               *arguments]
    say('$ jackdawvanectl ' + ' '.join(arguments))
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise SystemExit(done.stdout + done.stderr)
    if not quiet:
        print(done.stdout, end='', flush=True)
    return done.stdout


def edit(bench):
    """Adds a read-only route while the fleet runs."""
    user = bench.fleet.user
    change = bench.folder / 'change.json'
    change.write_text('// A route for look-ups that accepts data of up to 2 s of age.\n' + json.dumps({
        'routes': {'lookup': {'pool': user['pool'], 'writes': False, 'max_staleness_ms': 2000}}}))
    control(bench, 'check', str(change))
    control(bench, 'apply', str(change))
    control(bench, 'history')


def table(results):
    gaps = [gap for fault in results['faults'] for gap in fault['gap_ms'].values() if gap]
    organisations = results['organisations']
    served = min(organisations.items(), key=lambda item: item[1]['served_share'])
    wrongful = sum(each['wrongful_refusals'] for each in organisations.values())
    offered = sum(each['offered'] for each in organisations.values())
    rows = [
        ('reads from replicas', f'{100 * results["replica_read_share"]:.1f} %'),
        ('failover gap, longest', f'{max(gaps):.0f} ms' if gaps else 'no fault'),
        ('worst-served organisation', f'{served[0]}: {100 * served[1]["served_share"]:.1f} % served'),
        ('wrongful refusals', f'{wrongful} of {offered} requests'),
        ('orders acknowledged', str(results['orders']['acknowledged'])),
        ('acknowledged orders missing', str(results['orders']['acknowledged_but_missing']['count'])),
        ('orders run twice', str(results['orders']['run_twice']['count'])),
        ('violations of session consistency and others', str(len(results['violations']))),
    ]
    width = max(len(name) for name, _value in rows)
    for name, value in rows:
        print(f'  {name:<{width}}  {value}')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--user', choices=fleet.USERS, default='quetzal')
    parser.add_argument('--seconds', type=int, default=24)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix='jackdawvane-') as folder:
        say(f'starting 9 VMs, 9 backend servers, store and network for {options.user}')
        with Bench(folder, user=options.user) as bench:
            edit(bench)
            domain = bench.fleet.user['domains'][1][0]

            def kill():
                say('killing the primary of group g1')
                running = {name for name in bench.fleet.state['processes']
                           if name.startswith('g1-') and bench.fleet.alive(name)}
                bench.command('kill-primary', group='g1')
                time.sleep(0.1)
                bench.killed = [name for name in running if not bench.fleet.alive(name)]

            def restart():
                # The cut that follows may hit another server of this group; two lost servers of
                # three would leave it without a majority.
                for name in bench.killed:
                    say(f'restarting {name}')
                    bench.command('restart', process=name)

            def cut():
                say(f'cutting off failure domain {domain}')
                bench.command('cut', places=[domain, '*'])

            def heal():
                say('healing the network')
                bench.command('heal')

            say(f'load for {options.seconds} s')
            results = bench.load(duration_ms=options.seconds * 1000,
                                 faults=[(4, kill), (7, restart), (12, cut), (16, heal)])
            print()
            table(results)


if __name__ == '__main__':
    main()
