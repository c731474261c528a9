#!/usr/bin/env python3
"""Measures the resource use of entry daemons on loopback: connections, requests and store calls.

usage: tools/measure-capacity.py connections|requests|store [--folder FOLDER] [--net 127.N]
                                 [--log-level LEVEL]

connections  resident memory of one daemon with 0 to 4,000 idle client connections
requests     processor time of all daemons per request, at three request rates
store        store calls per second and processor time without traffic, with 3, 6 and 9 VMs

Runs the fleet of tools/fleet.py for its default user in FOLDER, without the network relay. The
number of connections stays within the hard limit of open files.
"""
import argparse
import os
import pathlib
import resource
import socket
import tempfile
import time

import bench
import fleet

CONNECTIONS = (0, 500, 1000, 2000, 4000)
SPARE_FILES = 200  # open files of this process that are not client connections
OFFERED = (40, 150, 450)  # requests per second in all
REQUEST_SECONDS = 20
IDLE_SECONDS = 30
SETTLING_SECONDS = 15  # time in which leases are acquired and rate shares distributed
TICKS = os.sysconf('SC_CLK_TCK')


def raise_file_limit():
    """Raises the soft limit of open files to the hard one and returns it; daemons inherit it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def resident_kib(pid):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise RuntimeError(f'process {pid} has no resident memory')


def processor_seconds(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def set_log_level(level):
    """Overrides the log level in the settings of the daemons."""
    finish = fleet.Fleet.finish_vms

    def finish_with_level(described):
        for vm in described.vms:
            vm['settings']['log']['level'] = level
        finish(described)

    fleet.Fleet.finish_vms = finish_with_level


def pids(running):
    return {name: running.fleet.process(name)['pid'] for name in running.vms()}


def processor_sum(running):
    return sum(processor_seconds(pid) for pid in pids(running).values())


def store_calls(running):
    return sum(running.inspect('store')['calls'].values())


def open_connection(address):
    """Opens a client connection and reads one answer, as on an idle keep-alive connection."""
    host, port = address.split(':')
    opened = socket.create_connection((host, int(port)), timeout=10)
    opened.sendall(b'GET /healthz HTTP/1.1\r\nHost: bench\r\n\r\n')
    if not opened.recv(4096).startswith(b'HTTP/1.1 200'):
        raise RuntimeError('the daemon did not answer GET /healthz with status 200')
    return opened


def measure_connections(options):
    limit = raise_file_limit()
    with bench.Bench(options.folder, vms=3, link=False, net=options.net) as running:
        name = running.vms()[0]
        pid = running.fleet.process(name)['pid']
        address = running.fleet.process(name)['control']
        held = []
        time.sleep(5)
        for wanted in CONNECTIONS:
            if wanted + SPARE_FILES > limit:
                print(f'{wanted} connections: not run, the limit of open files is {limit}')
                continue
            while len(held) < wanted:
                held.append(open_connection(address))
            time.sleep(2)
            before = processor_seconds(pid)
            time.sleep(5)
            spent = (processor_seconds(pid) - before) / 5
            print(f'{wanted} connections: {resident_kib(pid)} KiB resident, '
                  f'{100 * spent:.2f}% of a core', flush=True)
        for connection in held:
            connection.close()


def measure_requests(options):
    total = sum(fleet.RATES.values())
    limits = dict(fleet.RATES)
    # Raises the organisations' rate limits, so that they don't affect the measurement.
    for name in fleet.RATES:
        fleet.RATES[name] = limits[name] * 10
    with bench.Bench(options.folder, vms=3, link=False, net=options.net) as running:
        time.sleep(SETTLING_SECONDS)
        begin = processor_sum(running)
        time.sleep(IDLE_SECONDS)
        idle = (processor_sum(running) - begin) / IDLE_SECONDS
        print(f'no requests: {100 * idle / 3:.2f}% of a core per daemon', flush=True)
        for offered in OFFERED:
            organisations = [
                dict(id=name, keys=[running.fleet.key(name)], rate=fleet.RATES[name],
                     burst=fleet.RATES[name], arrivals_per_second=limits[name] * offered / total)
                for name in limits]
            before, calls = processor_sum(running), store_calls(running)
            begun = time.monotonic()
            results = running.load(organisations=organisations,
                                   duration_ms=REQUEST_SECONDS * 1000)
            lasted = time.monotonic() - begun
            spent, calls = processor_sum(running) - before, store_calls(running) - calls
            done = sum(one['done'] for one in results['organisations'].values())
            attempts = sum(one['attempts'] for one in results['organisations'].values())
            each = (spent - idle * lasted) / max(1, done)
            print(f'{offered} requests/s offered: {done} done of {attempts} attempts in '
                  f'{lasted:.1f} s, {1e6 * each:.0f} us of processor time per request above '
                  f'idle, {calls / lasted:.1f} store calls/s, '
                  f'exit status {results["exit_status"]}', flush=True)


def measure_store(options):
    for vms in (3, 6, 9):
        with bench.Bench(options.folder, vms=vms, link=False, net=options.net) as running:
            time.sleep(SETTLING_SECONDS)
            before, calls = processor_sum(running), store_calls(running)
            time.sleep(IDLE_SECONDS)
            spent, calls = processor_sum(running) - before, store_calls(running) - calls
            memory = max(resident_kib(pid) for pid in pids(running).values())
            print(f'{vms} VMs, 9 backend servers: {calls / IDLE_SECONDS:.2f} store calls/s, '
                  f'{100 * spent / IDLE_SECONDS / vms:.2f}% of a core per daemon, '
                  f'at most {memory} KiB resident', flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    kinds = dict(connections=measure_connections, requests=measure_requests, store=measure_store)
    parser.add_argument('what', choices=kinds)
    parser.add_argument('--folder')
    parser.add_argument('--net', default='127.5')
    parser.add_argument('--log-level', default='info', help='log level of the daemons')
    options = parser.parse_args()
    set_log_level(options.log_level)
    with tempfile.TemporaryDirectory() as scratch:
        options.folder = options.folder or scratch
        kinds[options.what](options)


if __name__ == '__main__':
    main()
