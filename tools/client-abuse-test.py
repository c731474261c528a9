#!/usr/bin/env python3
"""Tests of jackdawvane-entry against clients that misbehave.

Each test starts jackdawvane-site (platform and backend servers) and one jackdawvane-entry on loopback
addresses and lets a crowd of clients misbehave in one way. It checks that the process stays alive,
that its memory and open descriptors stay under a bound, and that one ordinary request is answered
while the crowd is still connected. It checks no times and no share of served requests.

usage: tools/client-abuse-test.py [TEST...] [--except=TEST...]
"""
import asyncio
import json
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
NET = '127.29'
SITE, VM, OTHER_VM = f'{NET}.9.1', f'{NET}.1.1', f'{NET}.2.1'
SESSION_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7000, 7001, 7100, 7101
# Settings of the tested process. They are below those of the smallest VM (160 MB, 4,300
# descriptors), so that a small crowd reaches them. An idle process uses 12 MB and 40 descriptors.
MEMORY_MB = 64
DESCRIPTORS = 1300
# Peak of the resident memory. The unit of memory_mb is 1,000,000 bytes, that of /proc 1024.
PEAK_BOUND_KB = MEMORY_MB * 1000 * 1000 // 1024
DESCRIPTOR_BOUND = DESCRIPTORS - 50
CROWD = 300
LARGE_CROWD = 950          # over the session limit that DESCRIPTORS leaves
HTTP_CROWD = 1350          # over DESCRIPTORS
HALF_LINE = 258000         # bytes
ORDINARY_TRIES_S = 30      # an ordinary caller repeats a refused request for this long
CROWD_S = 12               # longest duration of the misbehaviour


class Bench:
    """The tested process with its platform and one group of backend servers."""

    def __init__(self, folder):
        self.folder, self.processes = pathlib.Path(folder), {}

    def start(self, name, program, settings, descriptors=None):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))

        def limit():
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        with open(self.folder / f'{name}.log', 'ab') as output:
            self.processes[name] = subprocess.Popen(
                [str(ROOT / 'build' / program), '--settings', str(path)], stdin=subprocess.DEVNULL,
                stdout=output, stderr=output, start_new_session=True, preexec_fn=limit)

    def start_all(self):
        members = [dict(id=f'ledger-{number}', group='ledger', domain=f'east-{number}',
                        listen=f'{NET}.{50 + number}.1:7200', advertised=f'{NET}.{50 + number}.1:7200')
                   for number in range(3)]
        self.start('site', 'jackdawvane-site', dict(control=f'{SITE}:7302', store=f'{SITE}:7300',
                                            promotion=f'{SITE}:7301', members=members))
        self.wait(lambda: self.control('/inspect'))
        route = dict(prefix='/', timeout_ms=2000, target_latency_ms=500, priority=1, max_attempts=2,
                     public=False, service='ledger', type='primary', name='orders', host='orders')
        tenants = [dict(name=name, priority=1, rate_per_s=2000, burst=2000, api_keys=[f'key-{name}'])
                   for name in ('crowd', 'ordinary')]
        service = dict(name='ledger', health_check_path='/health', max_connections=22, protocol='h1',
                       tls=False, sync_replica_count=0)
        self.control('/config', dict(version=1, routes=[route], tenants=tenants, services=[service],
                                     limits=dict(idle_timeout_ms=15000, tx_idle_ms=3000)))
        # The second VM is not under test; a VM gets its share of the rates once it knows another one.
        self.start_vm('other', OTHER_VM, 'east-1')
        self.start_vm('tested', VM, 'east-0')

    def start_vm(self, name, address, domain):
        settings = dict(
            vm=name, address=address, region='east', failure_domain=domain,
            regions={f'east-{number}': 'east' for number in range(3)},
            session_listen=f'{address}:{SESSION_PORT}', ready_listen=f'{address}:{READY_PORT}',
            peer_port=PEER_PORT, metrics_port=METRICS_PORT, peer_secret='loopback-abuse-secret',
            store=f'{SITE}:7300', promotion=f'{SITE}:7301', descriptors=DESCRIPTORS,
            memory_mb=MEMORY_MB, grace_s=6,
            log=dict(level='info', output='stdout', lines_per_second=200))
        self.start(name, 'jackdawvane-entry', settings, DESCRIPTORS)

    def control(self, target, body=None):
        data = json.dumps(body or {}).encode()
        with urllib.request.urlopen(f'http://{SITE}:7302{target}', data, timeout=5) as answer:
            return answer.read()

    @staticmethod
    def wait(call):
        for _ in range(100):
            try:
                return call()
            except OSError:
                time.sleep(0.1)
        raise RuntimeError('a stand-in did not answer')

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def usage(self):
        """Peak and current resident memory in KiB and open descriptors; None if it has ended."""
        process = self.processes['tested']
        if process.poll() is not None:
            return None
        folder = pathlib.Path(f'/proc/{process.pid}')
        fields = dict(line.split(':', 1) for line in (folder / 'status').read_text().splitlines())
        return (int(fields['VmHWM'].split()[0]), int(fields['VmRSS'].split()[0]),
                len(list((folder / 'fd').iterdir())))


class Client:
    """A connection whose end by the server is not an error."""

    def __init__(self, port=SESSION_PORT, receive_buffer=None):
        self.port, self.receive_buffer = port, receive_buffer
        self.reader = self.writer = None

    async def open(self, start=True):
        raw = socket.socket()
        raw.setblocking(False)
        if self.receive_buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(raw, (VM, self.port))
        except BaseException:
            raw.close()
            raise
        # The stream reads ahead by twice its limit at most.
        self.reader, self.writer = await asyncio.open_connection(
            sock=raw, limit=self.receive_buffer or 2 ** 16)
        if start:
            await self.send(b'STARTUP orders key-crowd\r\n')
            await self.reader.readline()
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def ordinary_request():
    """One read on a session of its own. Returns the answer's last lines."""
    client = Client()
    try:
        await client.open(start=False)
        await client.send(b'STARTUP orders key-ordinary\r\n')
        text = await client.reader.readline()
        if text.startswith(b'READY'):
            await client.send(b'QUERY 1 READ item\r\n')
            text = await client.reader.readline() + await client.reader.readline()
        return text
    finally:
        client.close()


async def ordinary_request_is_answered():
    end, seen = time.monotonic() + ORDINARY_TRIES_S, 'nothing'
    while time.monotonic() < end:
        try:
            seen = await asyncio.wait_for(ordinary_request(), 5)
            if b'COMPLETE' in seen:
                return None
        except (OSError, asyncio.TimeoutError) as failure:
            seen = repr(failure)
        await asyncio.sleep(0.2)
    return f'no ordinary request was answered; last: {seen}'


# Each test's behaviour of one client, after which its connection stays open.

async def half_line(client):
    await client.open()
    await client.send(b'QUERY 1 READ ' + b'x' * HALF_LINE)


async def half_line_in_pieces(client):
    await client.open()
    await client.send(b'QUERY 1 READ ')
    for _ in range(HALF_LINE // 2000):
        await client.send(b'x' * 2000)
        await asyncio.sleep(0.02)


async def pipelined_without_reading(client):
    client.receive_buffer = 4096
    await client.open()
    for number in range(30):
        await client.send(b'QUERY %d READ ' % number + b'x' * 30000 + b'\r\n')


async def over_the_line_limit(client):
    await client.open()
    await client.send(b'QUERY 1 READ ')
    for _ in range(64):
        await client.send(b'x' * 65536)


async def legal_messages_in_one_piece(client):
    await client.open()
    await client.send(b''.join(b'QUERY %d READ ' % number + b'x' * 500000 + b'\r\n'
                               for number in range(3)))


async def byte_wise_sender(client):
    await client.open()
    await client.send(b'QUERY 1 READ ' + b'x' * 200000)
    for _ in range(100):
        await client.send(b'x')
        await asyncio.sleep(0.05)


async def slow_reader(client):
    client.receive_buffer = 4096
    await client.open()
    await client.send(b''.join(b'QUERY %d READ large\r\n' % number for number in range(12)))
    for _ in range(300):
        await client.reader.read(1)
        await asyncio.sleep(0.05)


async def session_values(client):
    await client.open()
    for number in range(8):
        await client.send(b'QUERY %d SET v%d ' % (number, number) + b'x' * 100000 + b'\r\n')
        await client.reader.readline()
        await client.reader.readline()


async def silent(client):
    await client.open(start=False)


async def silent_http(client):
    client.port = READY_PORT
    await client.open(start=False)


async def half_http_request(client):
    client.port = METRICS_PORT
    await client.open(start=False)
    await client.send(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n' + b'x' * 500000)


async def write_large_item():
    client = await Client().open()
    await client.send(b'QUERY 1 WRITE large ' + b'x' * 900000 + b'\r\n')
    answer = await client.reader.readline()
    client.close()
    if not answer.startswith(b'COMPLETE'):
        raise OSError(f'large item was not written: {answer}')


TESTS = {half_line: CROWD, half_line_in_pieces: CROWD, pipelined_without_reading: CROWD,
         over_the_line_limit: CROWD, legal_messages_in_one_piece: CROWD, byte_wise_sender: CROWD,
         slow_reader: CROWD // 2, session_values: CROWD, silent: LARGE_CROWD,
         silent_http: HTTP_CROWD, half_http_request: CROWD}


async def misbehave(behaviour, client):
    try:
        await asyncio.wait_for(behaviour(client), CROWD_S)
    except (OSError, asyncio.TimeoutError, ValueError):
        pass  # The server may refuse or close the connection.


async def play(bench, behaviour, count):
    problem = await ordinary_request_is_answered()
    if problem:
        return [f'before the test: {problem}'], bench.usage()
    if behaviour is slow_reader:
        await write_large_item()
    clients = [Client() for _ in range(count)]
    try:
        await asyncio.gather(*(misbehave(behaviour, client) for client in clients))
        problem = await ordinary_request_is_answered()
        used = bench.usage()
    finally:
        for client in clients:
            client.close()
    return [problem] if problem else [], used


def run(behaviour, count):
    with tempfile.TemporaryDirectory(prefix='jackdawvane-abuse-') as folder:
        bench = Bench(folder)
        try:
            bench.start_all()
            problems, used = asyncio.run(play(bench, behaviour, count))
        except (OSError, RuntimeError) as failure:
            problems, used = [f'the run failed: {failure!r}'], bench.usage()
        finally:
            bench.stop_all()
    if used is None:
        problems.append('jackdawvane-entry is not running')
        figures = ''
    else:
        peak, resident, descriptors = used
        figures = f'peak {peak / 1000:.0f} of {PEAK_BOUND_KB / 1000:.0f} MB, ' \
                  f'then {resident / 1000:.0f} MB, {descriptors} descriptors'
        if peak > PEAK_BOUND_KB:
            problems.append('memory over the bound')
        if descriptors > DESCRIPTOR_BOUND:
            problems.append(f'more than {DESCRIPTOR_BOUND} descriptors')
    print(f'{"FAILED" if problems else "ok"} {behaviour.__name__}, {count} clients: {figures}', flush=True)
    for problem in problems:
        print(f'    {problem}', flush=True)
    return not problems


def main():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, 4096), hard), hard))
    option = '--except='
    left_out = {each.removeprefix(option) for each in sys.argv[1:] if each.startswith(option)}
    names = [each for each in sys.argv[1:] if not each.startswith(option)]
    unknown = (set(names) | left_out) - {behaviour.__name__ for behaviour in TESTS}
    if unknown:
        sys.exit(f'unknown: {", ".join(sorted(unknown))}')
    results = [run(behaviour, count) for behaviour, count in TESTS.items()
               if (not names or behaviour.__name__ in names) and behaviour.__name__ not in left_out]
    print(f'{results.count(False)} of {len(results)} tests failed')
    sys.exit(1 if False in results else 0)


if __name__ == '__main__':
    main()
