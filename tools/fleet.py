#!/usr/bin/env python3
"""Runs a fleet on loopback: stand-ins, network relay and entry daemons of one user.

usage: tools/fleet.py up FOLDER [--user quetzal|kyushu] [--vms N] [--lag-ms MS] [--no-link]
                                [--no-daemons] [--build DIR] [--net 127.N]
       tools/fleet.py down FOLDER
       tools/fleet.py status FOLDER
       tools/fleet.py kill|restart|freeze|thaw|stop FOLDER PROCESS
       tools/fleet.py kill-primary FOLDER GROUP
       tools/fleet.py cut|silence FOLDER PLACE PLACE      (* means every place except the clients)
       tools/fleet.py heal FOLDER
       tools/fleet.py fault FOLDER PROCESS JSON           (POST /fault of a stand-in)

`up` writes all settings files into FOLDER, including load.json and direct.json for
jackdawvane-load. Each injected fault is also posted as a mark to a running jackdawvane-load, which
measures the time without service that follows.
"""
import argparse
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

CALLER_PORT, PEER_PORT, BACKEND_PORT, STORE_PORT = 7000, 7100, 7200, 7300
CONTROL_PORT, LOAD_PORT = 7900, 7901
RELAYED = 100  # added to the last octet of an address to get its relayed address
USERS = {
    'quetzal': dict(
        net='127.1', route='orders', pool='repuestos-db', slots=3, connections=20, clients_ms=3,
        store_region='guate-central',
        domains=[('mixco', 'guate-central'), ('villa-nueva', 'guate-central'),
                 ('xela', 'occidente')]),
    'kyushu': dict(
        net='127.2', route='records', pool='repair-ledger', slots=2, connections=30, clients_ms=1,
        store_region='fukuoka',
        domains=[('hakata', 'fukuoka'), ('kokura', 'fukuoka'), ('sendai', 'kagoshima')]),
}
# Rate limits of the organisations in requests per second; a few are large.
RATES = {'org-1': 60, 'org-2': 60, 'org-3': 30, 'org-4': 15, 'org-5': 15, 'org-6': 10,
         'org-7': 10, 'org-8': 10}
OFFERED_SHARE = 0.7  # offered load as a share of the limit


def post(address, target, body, timeout=5):
    """Posts JSON to a control endpoint and returns the decoded JSON answer."""
    request = urllib.request.Request(f'http://{address}{target}', json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return json.loads(answer.read() or b'null')


def get(address, target, timeout=5):
    with urllib.request.urlopen(f'http://{address}{target}', timeout=timeout) as answer:
        return json.loads(answer.read())


class Fleet:
    """The processes of a fleet; their description is kept in FOLDER/fleet.json."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.file = self.folder / 'fleet.json'
        self.state = json.loads(self.file.read_text()) if self.file.exists() else {}

    def save(self):
        self.file.write_text(json.dumps(self.state, indent=1))

    def process(self, name):
        if name not in self.state.get('processes', {}):
            sys.exit(f'no process {name}; known: {", ".join(self.state.get("processes", {}))}')
        return self.state['processes'][name]

    def alive(self, name):
        """Whether the process runs; compares its command line in case the id was reused."""
        entry = self.process(name)
        try:
            command = pathlib.Path(f'/proc/{entry["pid"]}/cmdline').read_bytes()
        except OSError:
            return False
        return entry['settings'].encode() in command

    def start(self, name):
        entry = self.process(name)
        with open(self.folder / f'{name}.out', 'ab') as output:
            started = subprocess.Popen([entry['program'], '--settings', entry['settings']],
                                       stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                                       start_new_session=True)
        entry['pid'] = started.pid

    def signal(self, name, number):
        if not self.alive(name):
            sys.exit(f'{name} is not running')
        os.kill(self.process(name)['pid'], number)

    def add(self, name, program, settings, control):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=1))
        self.state['processes'][name] = dict(program=str(self.build / program),
                                             settings=str(path), control=control, pid=0)

    # -- description of the fleet

    def describe(self, options):
        user = dict(USERS[options.user])
        user['net'] = options.net or user['net']
        self.build = pathlib.Path(options.build).resolve()
        self.user, self.link = user, not options.no_link
        self.relays, self.backends, self.vms = [], [], []
        self.state = dict(user=options.user, processes={}, link=f'{user["net"]}.250.1:{CONTROL_PORT}',
                          load=f'{user["net"]}.250.1:{LOAD_PORT}')
        store = self.endpoint(9, 1, STORE_PORT)
        self.state['store'] = store[0]
        self.add('store', 'jackdawvane-platform', dict(listen=store[0], list_lag_ms=1000),
                 store[0])
        for group in range(1, 4):
            for place in range(1, 4):
                self.add_backend(group, place, options.lag_ms)
        if not options.no_daemons:
            for number in range(options.vms):
                self.add_vm(number, store[1])
        self.finish_vms()
        if self.link:
            self.add_link()

    def endpoint(self, place, host, port, **kinds):
        """Returns the listen endpoint and the relayed one that other processes connect to."""
        real = f'{self.user["net"]}.{place}.{host}:{port}'
        if not self.link:
            return real, real
        relayed = f'{self.user["net"]}.{place}.{host + RELAYED}:{port}'
        self.relays.append(dict(listen=relayed, to=real, **kinds))
        return real, relayed

    def add_backend(self, group, place, lag_ms):
        name = f'g{group}-{self.user["domains"][place - 1][0]}'
        real, relayed = self.endpoint(place, 50 + group, BACKEND_PORT)
        self.backends.append(dict(name=name, group=f'g{group}', place=place, real=real,
                                  relayed=relayed))
        self.add(name, 'jackdawvane-backend',
                 dict(id=name, listen=real, advertised=relayed, slots=self.user['slots'],
                      connection_limit=self.user['connections'], lag_ms=lag_ms,
                      data_file=str(self.folder / f'{name}.log')), real)

    def add_vm(self, number, store):
        place = number % 3 + 1
        domain, region = self.user['domains'][place - 1]
        host = 10 + number // 3
        caller = self.endpoint(place, host, CALLER_PORT)
        peer = self.endpoint(place, host, PEER_PORT, udp=True)
        name = f'vm-{domain}-{number // 3 + 1}'
        settings = dict(vm=name, region=region, failure_domain=domain,
                        address=caller[0].split(':')[0], caller_port=CALLER_PORT,
                        peer_port=PEER_PORT, store=store, peer_secret='loopback-bench-secret',
                        log=dict(level='info', file=str(self.folder / f'{name}.log')))
        if self.link:
            settings.update(advertised_caller=caller[1], advertised_peer=peer[1])
        self.vms.append(dict(name=name, caller=caller, peer=peer, domain=domain, region=region,
                             settings=settings))

    def finish_vms(self):
        for vm in self.vms:
            vm['settings']['seeds'] = [other['peer'][1] for other in self.vms
                                       if other is not vm][:3]
            self.add(vm['name'], 'jackdawvaned', vm['settings'], vm['caller'][0])

    def add_link(self):
        net = self.user['net']
        places = {domain: dict(prefix=f'{net}.{number}.', region=region)
                  for number, (domain, region) in enumerate(self.user['domains'], 1)}
        places['store'] = dict(prefix=f'{net}.9.', region=self.user['store_region'])
        places['clients'] = dict(prefix=f'{net}.100.', clients=True)
        self.add('link', 'jackdawvane-link',
                 dict(control=self.state['link'], places=places,
                      delays=dict(clients_us=self.user['clients_ms'] * 1000),
                      relays=self.relays), self.state['link'])

    # -- contents of the store and settings of the load tool

    def key(self, organisation):
        return f'bench-key-of-{organisation}'

    def configuration(self):
        groups = {}
        for backend in self.backends:
            domain, region = self.user['domains'][backend['place'] - 1]
            rows = groups.setdefault(backend['group'], dict(backend_servers={}))
            rows['backend_servers'][backend['name']] = dict(
                endpoint=backend['relayed'], place=dict(region=region, failure_domain=domain),
                slots=self.user['slots'], connection_limit=self.user['connections'],
                state='active')
        return dict(
            revision=1,
            routes={self.user['route']: dict(pool=self.user['pool'])},
            pools={self.user['pool']: dict(groups=groups)},
            organisations={name: dict(rate=rate, burst=rate, weight=1)
                           for name, rate in RATES.items()},
            keys={hashlib.sha256(self.key(name).encode()).hexdigest():
                  dict(organisation=name, label='bench') for name in RATES},
            recent_edits=[])

    def publish(self):
        value = json.dumps(self.configuration())
        answer = post(self.state['store'], '/store',
                      dict(operation='compare_and_swap', key='config', value=value))
        if answer.get('status') != 'ok':
            sys.exit(f'the store rejected the configuration: {answer}')
        entries = [dict(vm=vm['name'], peer=vm['peer'][1], caller=vm['caller'][1],
                        place=dict(region=vm['region'], failure_domain=vm['domain']))
                   for vm in self.vms]
        post(self.state['store'], '/vms', dict(set=entries))

    def write_load_settings(self):
        address = f'{self.user["net"]}.100.1'
        load = dict(
            route=self.user['route'], address=address, control=self.state['load'],
            vms=[vm['caller'][1] for vm in self.vms], duration_ms=20000,
            backends=[dict(id=backend['name'], group=backend['group'], endpoint=backend['real'])
                      for backend in self.backends],
            organisations=[dict(id=name, keys=[self.key(name)], rate=rate, burst=rate,
                                arrivals_per_second=rate * OFFERED_SHARE)
                           for name, rate in RATES.items()])
        (self.folder / 'load.json').write_text(json.dumps(load, indent=1))
        if self.vms:
            direct = dict(route=self.user['route'], key=self.key('org-1'), partition='part-0',
                          address=f'{self.user["net"]}.1.1', backend=self.backends[0]['real'],
                          vm=self.vms[0]['caller'][0])
            (self.folder / 'direct.json').write_text(json.dumps(direct, indent=1))

    # -- commands

    def up(self, options):
        if any(self.alive(name) for name in self.state.get('processes', {})):
            sys.exit('this fleet is already running; stop it with down first')
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [*self.folder.glob('*.log'), *self.folder.glob('*.out')]:
            old.unlink()
        self.describe(options)
        first = [name for name in self.state['processes'] if not name.startswith('vm-')]
        try:
            for name in first:
                self.start(name)
            self.wait_for(first)
            self.publish()
            for vm in self.vms:
                self.start(vm['name'])
        finally:
            self.save()
        self.write_load_settings()
        print(f'{len(self.state["processes"])} processes run; settings are in {self.folder}')

    def wait_for(self, names, seconds=10):
        end = time.monotonic() + seconds
        for name in names:
            while True:
                try:
                    get(self.process(name)['control'], '/inspect')
                    break
                except OSError:
                    if time.monotonic() > end or not self.alive(name):
                        sys.exit(f'{name} did not answer; see {self.folder / name}.out')
                    time.sleep(0.05)

    def down(self, _options):
        # The daemons stop before the store, because a graceful stop returns rate shares to it.
        names = self.state.get('processes', {})
        self.end([name for name in names if name.startswith('vm-')])
        self.end([name for name in names if not name.startswith('vm-')])

    def end(self, names):
        running = [name for name in names if self.alive(name)]
        for name in running:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        end = time.monotonic() + 10
        while any(self.alive(name) for name in running) and time.monotonic() < end:
            time.sleep(0.05)
        for name in running:
            if self.alive(name):
                self.signal(name, signal.SIGKILL)
                print(f'{name} did not stop within 10 s and was killed')

    def status(self, _options):
        for name, entry in self.state.get('processes', {}).items():
            print(name, entry['pid'], 'runs' if self.alive(name) else 'stopped', entry['control'])

    def mark(self, name, group=''):
        try:
            post(self.state['load'], '/mark', dict(name=name, group=group), timeout=1)
        except OSError:
            pass  # No load tool is running.

    def send(self, options, number):
        group = options.process.split('-')[0]
        self.mark(f'{options.command} {options.process}',
                  group if group in ('g1', 'g2', 'g3') else '')
        self.signal(options.process, number)

    def kill(self, options):
        self.send(options, signal.SIGKILL)

    def freeze(self, options):
        self.send(options, signal.SIGSTOP)

    def thaw(self, options):
        self.signal(options.process, signal.SIGCONT)

    def stop(self, options):
        self.send(options, signal.SIGTERM)

    def restart(self, options):
        if self.alive(options.process):
            sys.exit(f'{options.process} is already running')
        self.start(options.process)
        self.save()

    def kill_primary(self, options):
        highest, primary = 0, None
        for name in self.state['processes']:
            if not name.startswith(options.group + '-') or not self.alive(name):
                continue
            status = get(self.process(name)['control'], '/inspect')['status']
            if status['role'] == 'primary' and status['accepted_term'] > highest:
                highest, primary = status['accepted_term'], name
        if primary is None:
            sys.exit(f'{options.group} has no primary')
        self.mark(f'kill {primary}', options.group)
        self.signal(primary, signal.SIGKILL)
        print(primary)

    def link_fault(self, body, name):
        self.mark(name)
        post(self.state['link'], '/fault', body)

    def cut(self, options):
        self.link_fault(dict(cut=[options.places]), f'cut {" ".join(options.places)}')

    def silence(self, options):
        self.link_fault(dict(silence=[options.places]), f'silence {" ".join(options.places)}')

    def heal(self, _options):
        post(self.state['link'], '/fault', dict(heal_all=True))

    def fault(self, options):
        self.mark(f'fault {options.process}')
        post(self.process(options.process)['control'], '/fault', json.loads(options.json))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(dest='command', required=True)
    arguments = {
        'up': [], 'down': [], 'status': [], 'heal': [], 'kill-primary': ['group'],
        'cut': ['places'], 'silence': ['places'], 'fault': ['process', 'json'],
        **{name: ['process'] for name in ('kill', 'restart', 'freeze', 'thaw', 'stop')}}
    for name, positional in arguments.items():
        command = commands.add_parser(name)
        command.add_argument('folder')
        for argument in positional:
            command.add_argument(argument, **({'nargs': 2} if argument == 'places' else {}))
        if name == 'up':
            command.add_argument('--user', choices=USERS, default='quetzal')
            command.add_argument('--vms', type=int, default=9)
            command.add_argument('--lag-ms', type=int, default=50)
            command.add_argument('--net', help='first two octets of all addresses')
            command.add_argument('--no-link', action='store_true')
            command.add_argument('--no-daemons', action='store_true')
            command.add_argument('--build', default=pathlib.Path(__file__).parent / '../build')
    options = parser.parse_args()
    getattr(Fleet(options.folder), options.command.replace('-', '_'))(options)


if __name__ == '__main__':
    main()
