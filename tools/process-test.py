#!/usr/bin/env python3
"""Runs the real binaries under faults and checks the guarantees that must always hold.

Each case runs load against a new fleet on loopback and injects and removes a fault. It fails when
an acknowledged order is missing or ran twice, an order marked "not run" ran, a session read an
older state than it had seen, a caller got the answer to another request or a partial one,
statements of two transactions shared a connection, a backend server counted more connections than
its limit, a backend server received a caller's key, or no order was acknowledged after the fault.
Times are not asserted.

usage: tools/process-test.py [CASE...]
"""
import pathlib
import sys
import tempfile
import time

from bench import Bench, fleet

LOAD_MS = 9000
FAULT_AT, HEAL_AT = 2.5, 5.5


def kill_primary(bench):
    bench.command('kill-primary', group='g1')


def primary_of(bench, group):
    found = (0, None)
    for name in bench.fleet.state['processes']:
        if name.startswith(group + '-'):
            status = bench.inspect(name)['status']
            if status['role'] == 'primary':
                found = max(found, (status['accepted_term'], name))
    return found[1]


def freeze_primary(bench):
    bench.frozen = primary_of(bench, 'g1')
    bench.command('freeze', process=bench.frozen)


def thaw(bench):
    bench.command('thaw', process=bench.frozen)


def freeze_vm(bench):
    bench.frozen = bench.vms()[0]
    bench.command('freeze', process=bench.frozen)


def kill_vm(bench):
    bench.command('kill', process=bench.vms()[0])


def stop_vm(bench):
    bench.command('stop', process=bench.vms()[0])


def restart_vm(bench):
    bench.command('restart', process=bench.vms()[0])


def cut_domain(bench):
    bench.command('cut', places=[domain_of(bench), '*'])


def domain_of(bench):
    return bench.fleet.user['domains'][0][0]


def heal(bench):
    bench.command('heal')


def silence(bench):
    places = [domain for domain, _region in bench.fleet.user['domains']]
    bench.command('silence', places=places[:2])


def store_outage(bench):
    bench.store_fault(outage_ms=4000)


def store_outage_and_kill(bench):
    bench.store_fault(outage_ms=4000)
    kill_primary(bench)


def crossed_answers(bench):
    for name in bench.fleet.state['processes']:
        if name.startswith('g1-'):
            bench.command('fault', process=name, json='{"crossed": 3}')


def lagging_replicas(bench):
    for name in bench.fleet.state['processes']:
        if name.startswith('g1-'):
            bench.command('fault', process=name, json='{"lag_ms": 700}')


CASES = {
    'no-fault': (lambda bench: None, lambda bench: None),
    'primary-killed': (kill_primary, lambda bench: None),
    'primary-frozen': (freeze_primary, thaw),
    'vm-killed': (kill_vm, restart_vm),
    'vm-frozen': (freeze_vm, thaw),
    'vm-stopped': (stop_vm, restart_vm),
    'domain-cut': (cut_domain, heal),
    'connections-silent': (silence, lambda bench: None),
    'store-down': (store_outage, lambda bench: None),
    'store-down-and-primary-killed': (store_outage_and_kill, lambda bench: None),
    'answers-crossed': (crossed_answers, lambda bench: None),
    'replicas-lagging': (lagging_replicas, lambda bench: None),
}


def problems_of(bench, results):
    """Returns a text for each violated guarantee."""
    found = []
    if results['violations']:
        found.append(f'violations: {results["violations"]}')
    for kind in ('acknowledged_but_missing', 'not_run_but_run', 'run_twice'):
        if results['orders'][kind]['count']:
            found.append(f'{kind}: {results["orders"][kind]}')
    if results['exit_status'] not in (0, 2):
        found.append(f'the load tool ended with status {results["exit_status"]}')
    limit = bench.fleet.user['connections']
    for name, seen in results['backends'].items():
        if not isinstance(seen, dict):
            continue  # The server was killed by the fault and has no counts.
        if seen['interleavings'] or seen['names_run_twice']:
            found.append(f'{name}: {seen}')
        if seen['highest_connections'] > limit or seen['refused_connections']:
            found.append(f'{name}: {seen["highest_connections"]} connections, limit {limit}, '
                         f'{seen["refused_connections"]} refused')
    if results['orders']['acknowledged'] == 0:
        found.append('no order was acknowledged')
    gaps = [gap for fault in results['faults'] for gap in fault['gap_ms'].values()]
    if any(gap is None or gap < 0 for gap in gaps):
        found.append(f'no order after the fault: {results["faults"]}')
    return found


def received_keys(bench):
    """Names of the backend servers that received a key."""
    keys = [bench.fleet.key(name).encode() for name in fleet.RATES]
    leaks = []
    for name in bench.fleet.state['processes']:
        if name.startswith('g') and bench.fleet.alive(name):
            address = bench.fleet.process(name)['control']
            with fleet.urllib.request.urlopen(f'http://{address}/inspect?record') as answer:
                record = answer.read()
            if any(key in record for key in keys):
                leaks.append(name)
    return leaks


def run(name):
    inject, undo = CASES[name]
    with tempfile.TemporaryDirectory(prefix='jackdawvane-') as folder:
        with Bench(pathlib.Path(folder), net='127.3') as bench:
            results = bench.load(duration_ms=LOAD_MS, faults=[
                (FAULT_AT, lambda: inject(bench)), (HEAL_AT, lambda: undo(bench))])
            found = problems_of(bench, results)
            leaks = received_keys(bench)
            if leaks:
                found.append(f'a caller\'s key reached {", ".join(leaks)}')
    gaps = [round(gap) for fault in results['faults'] for gap in fault['gap_ms'].values() if gap]
    print(f'    {results["orders"]["acknowledged"]} orders acknowledged, '
          f'{results["orders"]["unknown"]} unknown, gaps {gaps} ms')
    return found


def main():
    names = sys.argv[1:] or list(CASES)
    failed = 0
    for number, name in enumerate(names, 1):
        print(f'[{number}/{len(names)}] {name}', flush=True)
        started = time.monotonic()
        for problem in run(name):
            failed += 1
            print(f'    FAILED: {problem}', flush=True)
        print(f'    {time.monotonic() - started:.0f} s', flush=True)
    print(f'{len(names)} process tests, {failed} problems')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
