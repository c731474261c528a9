#!/usr/bin/env python3
"""Randomized fault soak test of jackdawvane-entry with real processes.

Each seed starts the stand-in for the platform, the network relay and six VMs, runs callers with
SQL sessions, and injects faults in series and overlapping: VMs are killed, stopped, paused and
restarted; connections are delayed, cut, reset and silenced; backend servers crash, stop answering,
lag, turn slow, fail, lose answers, answer twice, refuse connections, are isolated and leave; the store is down or slow, loses answers,
forgets its history, refuses VMs and comes back from a copy; the configuration changes. Afterwards the checker compares the answers that
callers received with the statements that backend servers ran.

usage: tools/soak.py [--jobs N] [--keep] [--vms N] [--net N] [--faults SET] SEED...
                                                      (a seed is a number or FIRST-LAST)
       tools/soak.py --regression                     (the seeds of tools/soak-seeds.txt)
"""
import argparse
import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time

from soak_callers import Caller, Impatient, Keeper, Persistent, Stranger
from soak_judge import judge
from soak_refusals import RefusalFaults
from soak_slowness import SlownessFaults

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOAD_S = 18          # faults are injected within this time
RECOVERY_S = 5       # from the end of all faults until service is checked; over `config_apply_ms`
PROMOTION_S = 7      # a crashed primary stays away this long, so that it is replaced
TAIL_S = 3           # service is checked during this time
CALLERS = 24
REGIONS = {'east-1': 'east', 'east-2': 'east', 'west-1': 'west'}
VMS = 6               # default of --vms
SETS_OF_LARGE_FLEETS = {'changing': 18}  # VMs, so that most of them do not watch the store
FIRST_FAULTS = ('kill_vm', 'kill_herd', 'stop_vm', 'freeze_vm', 'crash_member', 'crash_member',
                'isolate_member', 'lag_group', 'lose_member_answers', 'leave_member', 'store_down',
                'store_odd', 'cut', 'cut', 'silence', 'change_configuration', 'reload')
FAULTS = FIRST_FAULTS + ('leave_member_for_long', 'leave_while_vms_are_turned_away',
                         'turn_vms_away')
# Backend servers leave while VMs cannot reach the store or are restarted.
LEAVING_FAULTS = ('leave_member_for_long', 'leave_while_vms_are_turned_away',
                  'leave_while_vms_are_turned_away', 'turn_vms_away', 'cut', 'stop_vm', 'kill_vm')
# The sets above keep their meaning for recorded seeds; new faults join the sets below, in which
# strangers call, too.
FAULT_SETS = {'all': FAULTS, 'first': FIRST_FAULTS, 'leaving': LEAVING_FAULTS,
              'doubled': ('double_member_answers',),
              'restored': ('restore_store', 'restore_between_promotions', 'change_configuration',
                           'crash_member'),
              'full': FAULTS + ('double_member_answers', 'double_member_answers', 'restore_store',
                              'restore_between_promotions'),
              'listeners': ('close_listener', 'close_listeners', 'crash_refusing'),
              'refusing': ('reset_cut', 'reset_cut', 'close_listener', 'close_listeners',
                           'crash_refusing'),
              'flapping': ('flapping_cut', 'flapping_cut', 'flapping_cut', 'crash_refusing'),
              'together': ('reset_cut', 'reset_cut', 'double_group_answers',
                           'double_group_answers', 'crash_refusing', 'crash_member', 'kill_vm',
                           'stop_vm', 'cut', 'close_listener')}
# Reads are sent twice; the answers of one attempt come late, twice or not at all.
FAULT_SETS['slow'] = ('slow_and_failing',) * 6 + ('double_member_answers', 'kill_vm', 'stop_vm',
                                                  'cut', 'lose_member_answers')
FAULT_SETS['changing'] = ('change_while_turned_away', 'change_while_turned_away',
                          'change_configuration', 'turn_vms_away', 'stop_vm', 'kill_vm', 'cut')
# Some callers keep their sessions; a write that was acknowledged beside a cut is judged, too.
STRICT_SETS = ('listeners', 'refusing', 'flapping', 'together')
SETS_WITH_STRANGERS = ('doubled', 'full')
SETS_WITH_IMPATIENT_CALLERS = ('slow',)
CONTRACTS = ('pressure', 'health')
# Passive health checks would take a failing server out before a read is also sent to it.
SETS_WITHOUT_CONTRACTS = ('slow',)
HOLDER_KEY = 'jackdawvane/duty/promotion'  # of the VM with the coordinator lease
STRANGERS = 2
GROUPS = ('ledger', 'parts')
STORE_PORT, PROMOTION_PORT, CONTROL_PORT = 7300, 7301, 7302
SESSION_PORT, READY_PORT, PEER_PORT, METRICS_PORT, MEMBER_PORT = 7000, 7001, 7100, 7101, 7200


def organisations():
    """Rate limits; the callers of `org-hot` exceed theirs."""
    return {'org-a': dict(rate_per_s=60, burst=60), 'org-b': dict(rate_per_s=30, burst=30),
            'org-hot': dict(rate_per_s=8, burst=8)}


class Soak(RefusalFaults, SlownessFaults):
    """Processes, faults and callers of one seed."""
    GROUPS, HOLDER_KEY = GROUPS, HOLDER_KEY

    def __init__(self, seed, net, folder, vms, faults, strangers=0, strict=False, impatient=False,
                 contracts=CONTRACTS):
        self.random = random.Random(seed)
        self.net, self.folder, self.vm_count, self.faults = net, pathlib.Path(folder), vms, faults
        self.processes, self.events, self.version = {}, [], 0
        self.strangers, self.strict = strangers, strict
        self.impatient, self.contracts = impatient, contracts
        self.refusals, self.cut_groups = collections.Counter(), set()
        self.disturbances = []  # [net of the VM or None for all, begin, end]
        self.leaves = []        # (backend server, begin, end)
        self.used_members = set()
        self.keys = {name: [f'key-of-{name}', f'spare-key-of-{name}'] for name in organisations()}
        self.revoked, self.added, self.removed = [], [], []
        self.document, self.watching = None, True
        self.known_routes = []  # (time, process of a VM, route, whether it is known)
        self.started = time.monotonic()
        self.describe()

    # -- settings

    def place(self, number):
        return f'{self.net}.{number}'

    def describe(self):
        domains = list(REGIONS)
        self.vms = [dict(name=f'vm-{number}', place=f'vm-{number}', domain=domains[number % 3],
                         net=self.place(110 + number)) for number in range(self.vm_count)]
        self.members = [dict(name=f'{group}-{number}', place=f'{group}-{number}', group=group,
                             domain=domains[number], net=self.place(50 + 10 * index + number))
                        for index, group in enumerate(GROUPS) for number in range(3)]
        self.site = self.place(9) + '.1'
        self.callers_address = self.place(100) + '.1'

    def write(self, name, settings):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=1))
        return str(path)

    def relays(self):
        """Endpoints that are reached through the relay, each with its relayed address."""
        wanted = [(self.site, STORE_PORT), (self.site, PROMOTION_PORT)]
        for vm in self.vms:
            wanted += [(vm['net'] + '.1', SESSION_PORT), (vm['net'] + '.1', PEER_PORT)]
        wanted += [(member['net'] + '.1', MEMBER_PORT) for member in self.members]
        return [dict(listen=f'{address[:-1]}101:{port}', to=f'{address}:{port}',
                     udp=port == PEER_PORT) for address, port in wanted]

    def start_all(self):
        places = {'store': dict(prefix=self.place(9) + '.', region='east'),
                  'callers': dict(prefix=self.place(100) + '.', clients=True)}
        for each in self.vms + self.members:
            places[each['place']] = dict(prefix=each['net'] + '.', region=REGIONS[each['domain']])
        link = dict(control=f'{self.site}:7900', places=places, relays=self.relays(),
                    delays=dict(clients_us=500, domains_us=300, regions_us=4000))
        site = dict(control=f'{self.site}:{CONTROL_PORT}', store=f'{self.site}:{STORE_PORT}',
                    promotion=f'{self.site}:{PROMOTION_PORT}',
                    members=[dict(id=member['name'], group=member['group'],
                                  domain=member['domain'], listen=f'{member["net"]}.1:{MEMBER_PORT}',
                                  advertised=f'{member["net"]}.101:{MEMBER_PORT}')
                             for member in self.members])
        self.start('site', 'jackdawvane-site', self.write('site', site))
        self.start('link', 'jackdawvane-link', self.write('link', link))
        for vm in self.vms:
            self.write(vm['name'], self.vm_settings(vm))

    def vm_settings(self, vm):
        address = vm['net'] + '.1'
        return dict(vm=vm['name'], address=address, region=REGIONS[vm['domain']],
                    failure_domain=vm['domain'], regions=REGIONS,
                    session_listen=f'{address}:{SESSION_PORT}', ready_listen=f'{address}:{READY_PORT}',
                    peer_port=PEER_PORT, metrics_port=METRICS_PORT,
                    advertised_peer=f'{vm["net"]}.101:{PEER_PORT}',
                    peer_secret='loopback-soak-secret', contracts=self.contracts,
                    store=f'{self.site[:-1]}101:{STORE_PORT}',
                    promotion=f'{self.site[:-1]}101:{PROMOTION_PORT}', descriptors=1024, grace_s=6,
                    log=dict(level='info', output='stdout', lines_per_second=200))

    # -- processes

    def start(self, name, program, settings):
        with open(self.folder / f'{name}.log', 'ab') as output:
            self.processes[name] = subprocess.Popen(
                [str(ROOT / 'build' / program), '--settings', settings], stdin=subprocess.DEVNULL,
                stdout=output, stderr=output, start_new_session=True)

    def start_vm(self, name):
        self.start(name, 'jackdawvane-entry', str(self.folder / f'{name}.json'))

    def signal(self, name, number):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    # -- control calls

    async def post(self, address, target, body=None):
        """Posts JSON to a stand-in; returns its JSON answer, or None if the status is not 200."""
        host, port = address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=2 ** 27)
        data = json.dumps({} if body is None else body).encode()
        writer.write(f'POST {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n'
                     f'Content-Length: {len(data)}\r\n\r\n'.encode() + data)
        head = await reader.readuntil(b'\r\n\r\n')
        length = [line for line in head.decode().lower().split('\r\n') if 'content-length' in line]
        answer = await reader.readexactly(int(length[0].split(':')[1])) if length else b'null'
        writer.close()
        return json.loads(answer or b'null') if b' 200 ' in head.split(b'\r\n')[0] else None

    async def control(self, target, body=None):
        return await self.post(f'{self.site}:{CONTROL_PORT}', target, body)

    async def link(self, body):
        await self.post(f'{self.site}:7900', '/fault', body)

    async def store(self, **fault):
        await self.control('/fault', dict(store=fault))

    async def member(self, name, **fault):
        await self.control('/fault', dict(member=dict(member=name, **fault)))

    async def configure(self):
        """Publishes the configuration as a new version; retries until the store accepts it."""
        self.version += self.random.randint(1, 5)
        routes = [dict(name='r1', host='orders', type='primary', service='ledger'),
                  dict(name='r2', host='catalogue', type='bounded_staleness', service='ledger',
                       max_staleness_ms=1500),
                  dict(name='r3', host='stock', type='read_your_writes', service='parts',
                       max_staleness_ms=2500)]
        routes += [dict(name=f'r-{host}', host=host, type='primary', service='parts')
                   for host in self.added if host not in self.removed]
        for route in routes:
            route.update(prefix='/', timeout_ms=2000, target_latency_ms=500, priority=1,
                         max_attempts=2, public=False)
        tenants = [dict(name=name, priority=1, **limits,
                        api_keys=[key for key in self.keys[name] if key not in self.revoked])
                   for name, limits in organisations().items()]
        self.document = dict(version=self.version, routes=routes, tenants=tenants,
                        services=[dict(name=group, health_check_path='/health', max_connections=22,
                                       protocol='h1', tls=False, sync_replica_count=0)
                                  for group in GROUPS],
                        limits=dict(idle_timeout_ms=15000, tx_idle_ms=3000))
        await self.publish()

    async def publish(self):
        """Writes the newest configuration; retries until the store accepts it."""
        while await self.control('/config', self.document) is None:
            await asyncio.sleep(0.1)

    # -- faults; each returns when it has ended

    def note(self, text):
        self.events.append((time.monotonic(), text))

    @contextlib.contextmanager
    def disturbed(self, nets):
        """Exempts VMs (None means all) from the checks of reaction times while the block runs."""
        entries = [[net, time.monotonic(), float('inf')] for net in nets]
        self.disturbances += entries
        yield
        for entry in entries:
            entry[2] = time.monotonic()

    @contextlib.contextmanager
    def member_for_fault(self):
        """Reserves a backend server that no other crash or leave uses; None if all are in use."""
        free = [each['name'] for each in self.members if each['name'] not in self.used_members]
        name = self.random.choice(free) if free else None
        self.used_members.add(name)
        yield name
        self.used_members.discard(name)

    async def kill_vm(self, count=1):
        chosen = self.random.sample(self.vms, count)
        with self.disturbed(vm['net'] for vm in chosen):
            for vm in chosen:
                self.signal(vm['name'], signal.SIGKILL)
                self.note(f'killed {vm["name"]}')
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            self.restart_ended()

    async def kill_herd(self):
        await self.kill_vm(self.random.choice([self.vm_count // 2, self.vm_count]))

    async def stop_vm(self):
        vm = self.random.choice(self.vms)
        name = vm['name']
        with self.disturbed([vm['net']]):
            self.signal(name, signal.SIGTERM)
            self.note(f'stopped {name}')
            deadline = time.monotonic() + 6
            while self.processes[name].poll() is None and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if self.processes[name].poll() is None:
                self.note(f'{name} did not exit within its grace period')
                self.signal(name, signal.SIGKILL)
            await asyncio.sleep(0.2)
            self.restart_ended()

    def restart_ended(self):
        for vm in self.vms:
            if self.processes[vm['name']].poll() is not None:
                self.start_vm(vm['name'])

    async def freeze_vm(self):
        vm = self.random.choice(self.vms)
        with self.disturbed([vm['net']]):
            self.signal(vm['name'], signal.SIGSTOP)
            self.note(f'paused {vm["name"]}')
            await asyncio.sleep(self.random.uniform(0.3, 5))
            self.signal(vm['name'], signal.SIGCONT)
            self.note(f'resumed {vm["name"]}')

    async def crash_member(self):
        with self.member_for_fault() as name:
            if name is None:
                return
            await self.member(name, state=self.random.choice(['crashed', 'dark']))
            self.note(f'backend server {name} is unavailable')
            await asyncio.sleep(self.random.uniform(1, 6))
            await self.member(name, state='running')
            self.note(f'backend server {name} runs again')

    async def isolate_member(self):
        name = self.random.choice(self.members)['name']
        await self.member(name, isolated=True)
        self.note(f'{name} isolated from its group')
        await asyncio.sleep(self.random.uniform(1, 5))
        await self.member(name, isolated=False)

    async def lag_group(self):
        group = self.random.choice(GROUPS)
        for member in self.members:
            if member['group'] == group:
                await self.member(member['name'], lag_ms=self.random.choice([300, 1000, 2500]))
        self.note(f'replicas of {group} lag')
        await asyncio.sleep(self.random.uniform(1, 4))
        for member in self.members:
            await self.member(member['name'], lag_ms=8)

    async def lose_member_answers(self):
        await self.member(self.random.choice(self.members)['name'], lose_answers=3)

    async def double_member_answers(self):
        """A backend server sends a share of its answers twice, in some runs cut off."""
        name = self.random.choice(self.members)['name']
        fault = dict(double_answers=self.random.choice([0.03, 0.1, 0.3]),
                     double_cuts=self.random.choice([0, 0, 0.3]),
                     double_delay_ms=self.random.choice([10, 100, 300]))
        await self.member(name, **fault)
        self.note(f'backend server {name} answers twice: {fault}')
        await asyncio.sleep(self.random.uniform(2, 6))
        await self.member(name, double_answers=0)
        self.note(f'backend server {name} answers once')

    async def leave_member(self, seconds=3):
        """A backend server announces that it leaves, keeps serving, then crashes and restarts."""
        with self.member_for_fault() as name:
            if name is None:
                return
            await self.member(name, leaving=True)
            begin = time.monotonic()
            self.note(f'backend server {name} announces that it leaves')
            await asyncio.sleep(seconds)
            self.leaves.append((name, begin, time.monotonic()))
            await self.member(name, state='crashed', leaving=False)
            self.note(f'backend server {name} crashed after it left')
            await asyncio.sleep(0.5)
            await self.member(name, state='running')

    async def leave_member_for_long(self):
        await self.leave_member(self.random.uniform(8, 14))

    async def store_down(self):
        milliseconds = self.random.randint(500, 6000)
        with self.disturbed([None]):
            await self.store(down_ms=milliseconds, silent=self.random.random() < 0.5)
            self.note(f'store down for {milliseconds} ms')
            await asyncio.sleep(milliseconds / 1000)

    async def store_odd(self):
        refused = [vm['net'] + '.1' for vm in self.random.sample(self.vms, 2)]
        fault = self.random.choice([dict(lose_answers=4), dict(delay_ms=400),
                                    dict(forget_history=True), dict(refused=refused)])
        with self.disturbed([None]):
            await self.store(**fault)
            self.note(f'store: {fault}')
            await asyncio.sleep(self.random.uniform(1, 4))
            await self.store(delay_ms=0, refused=[])

    async def restore_store(self):
        """The store comes back from a copy; in some runs it was written a lot since, or the VM with
        the coordinator lease has been killed since. The operator writes its document again."""
        with self.disturbed([None]):
            await self.store(copy=True)
            await asyncio.sleep(self.random.uniform(2, 6))
            await self.write_elsewhere(self.random.choice([0, 300]))
            if self.random.random() < 0.5:
                await self.kill_holder()
            milliseconds = self.random.randint(50, 1500)
            await self.store(restored_ms=milliseconds)
            self.note(f'store down for {milliseconds} ms, then restored from its copy')
            await asyncio.sleep(milliseconds / 1000)
            await self.publish()
            self.note(f'configuration {self.version} written again')

    async def restore_between_promotions(self):
        """A primary crashes after the copy, another one after the store has come back from it."""
        with self.disturbed([None]):
            await self.store(copy=True)
            await self.write_elsewhere(300)
            await self.kill_holder()
            await self.crash_primary(GROUPS[0])
            await self.store(restored_ms=500)
            self.note('store down for 500 ms, then restored from its copy')
            await asyncio.sleep(0.5)
            await self.publish()
            await self.crash_primary(GROUPS[1])

    async def crash_primary(self, group):
        members = (await self.control('/inspect'))['groups'][group]['members']
        name = max((each for each in members if each['primary']), key=lambda each: each['term'])['id']
        self.used_members.add(name)
        await self.member(name, state='crashed')
        self.note(f'primary {name} crashed')
        await asyncio.sleep(PROMOTION_S)
        await self.member(name, state='running')
        self.used_members.discard(name)

    async def write_elsewhere(self, count):
        for number in range(count):
            await self.post(f'{self.site}:{STORE_PORT}', '/kv-txn',
                            dict(writes=[dict(key=f'other/{number}', value='', lease=0)]))

    @staticmethod
    def decoded(value):
        return base64.b64decode(value).decode()

    async def kill_holder(self):
        holder = await self.holder()
        if holder in self.processes:
            self.signal(holder, signal.SIGKILL)
            self.note(f'killed {holder}, which had the coordinator lease')
            await asyncio.sleep(self.random.uniform(0.2, 3))
            self.restart_ended()

    async def watch_routes(self, vms):
        """Asks each VM for the newest routes while `watching` is set."""
        while self.watching:
            for vm, address in zip(self.vms, vms):
                process = f'{vm["name"]} ({self.processes[vm["name"]].pid})'
                for route in self.added[-2:]:
                    probe = Caller(900, [address], self.callers_address, 'org-a',
                                   self.keys['org-a'][0], 0)
                    asked = time.monotonic()
                    known = await probe.knows(route)
                    if known is not None and process.endswith(
                            f'({self.processes[vm["name"]].pid})'):
                        self.known_routes.append((asked, process, route, known))
            await asyncio.sleep(0.2)

    async def turn_vms_away(self):
        """The store refuses some VMs for 4 to 14 s and serves the others."""
        count = self.random.choice([2, self.vm_count // 2, self.vm_count - 1])
        await self.turn_away(count, self.random.uniform(4, 14))

    async def leave_while_vms_are_turned_away(self):
        away = asyncio.create_task(self.turn_away(self.vm_count // 2, 14))
        await asyncio.sleep(0.3)
        await self.leave_member_for_long()
        await away

    async def turn_away(self, count, seconds):
        nets = [vm['net'] for vm in self.random.sample(self.vms, count)]
        with self.disturbed(nets):
            await self.store(refused=[net + '.1' for net in nets])
            self.note(f'store refuses {nets}')
            await asyncio.sleep(seconds)
            await self.store(refused=[])
            self.note('store serves all VMs')

    async def change_while_turned_away(self):
        """Routes are added and removed while the store serves some VMs, others each time."""
        for _ in range(self.random.randint(2, 4)):
            away = asyncio.create_task(self.turn_away(self.vm_count // 2,
                                                      self.random.uniform(0.5, 2)))
            for _ in range(self.random.randint(3, 6)):
                await asyncio.sleep(self.random.uniform(0.02, 0.3))
                present = [host for host in self.added if host not in self.removed]
                if present and self.random.random() < 0.5:
                    self.removed.append(present[0])
                else:
                    self.added.append(f'added-{len(self.added)}')
                await self.configure()
                self.note(f'configuration {self.version}, {len(self.removed)} routes removed')
            await away

    async def cut(self):
        vm = self.random.choice(self.vms)
        other = self.random.choice(['store', '*', self.random.choice(self.members)['place'],
                                    self.random.choice(self.vms)['place']])
        pair = [vm['place'], other]
        with self.disturbed([each['net'] for each in self.vms if each['place'] in pair]):
            await self.link(dict(cut=[pair]))
            self.note(f'cut {pair}')
            await asyncio.sleep(self.random.uniform(0.5, 5))
            await self.link(dict(heal=[pair]))
            self.note(f'healed {pair}')

    async def silence(self):
        first = self.random.choice(self.vms)['place']
        second = self.random.choice(['store', self.random.choice(self.members)['place'],
                                     self.random.choice(self.vms)['place']])
        with self.disturbed([None]):
            await self.link(dict(silence=[[first, second]]))
            self.note(f'silenced {first} {second}')

    async def change_configuration(self):
        for _ in range(self.random.choice([1, 1, 5])):
            if self.random.random() < 0.5:
                self.added.append(f'added-{len(self.added)}')
            else:
                name = self.random.choice(list(self.keys))
                spare = f'{name}-key-{len(self.keys[name])}'
                self.keys[name].append(spare)
                self.revoked.append(spare)
            await self.configure()
            self.note(f'configuration {self.version}')
            await asyncio.sleep(self.random.uniform(0.05, 0.4))

    async def reload(self):
        name = self.random.choice(self.vms)['name']
        path = self.folder / f'{name}.json'
        path.write_text(path.read_text() + '\n')
        self.signal(name, signal.SIGHUP)
        self.note(f'reloaded {name}')

    async def inject(self):
        """Injects five to nine faults at random times; some runs repeat the first 1 s later."""
        kinds = [getattr(self, name) for name in self.faults]
        plan = [(self.random.uniform(2, LOAD_S - 3), self.random.choice(kinds))
                for _ in range(self.random.randint(5, 9))]
        if self.random.random() < 0.4:  # repeats the first fault after 1 s
            plan.append((min(plan[0][0] + 1, LOAD_S - 3), plan[0][1]))

        async def inject_at(at, fault):
            await asyncio.sleep(at)
            await fault()
        await asyncio.gather(*(inject_at(at, fault) for at, fault in plan))

    async def heal(self):
        await self.link(dict(heal_all=True))
        await self.store(down_ms=0, delay_ms=0, lose_answers=0, refused=[])
        for member in self.members:
            await self.member(member['name'], state='running', leaving=False, isolated=False,
                              lag_ms=8, lose_answers=0, double_answers=0, extra_work_ms=0,
                              fail_share=0)
        for vm in self.vms:
            self.signal(vm['name'], signal.SIGCONT)
        self.restart_ended()
        self.note('all faults ended')

    # -- the run

    async def listening(self, address):
        for _ in range(100):
            try:
                return await self.post(address, '/inspect')
            except OSError:
                await asyncio.sleep(0.1)
        raise RuntimeError(f'no stand-in answered on {address}')

    async def ready(self):
        for _ in range(100):
            try:
                for vm in self.vms:
                    reader, writer = await asyncio.open_connection(vm['net'] + '.1', READY_PORT)
                    writer.write(b'GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n')
                    status = await asyncio.wait_for(reader.readline(), 1)
                    writer.close()
                    if b' 200 ' not in status:
                        raise OSError('not ready')
                return
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
        raise RuntimeError('the VMs did not become ready in time')

    async def run(self):
        self.start_all()
        await self.listening(f'{self.site}:{CONTROL_PORT}')
        await self.listening(f'{self.site}:7900')
        for vm in self.vms:
            self.start_vm(vm['name'])
        await self.configure()
        await self.ready()
        vms = [(vm['net'] + '.101', SESSION_PORT) for vm in self.vms]
        callers = []
        for number in range(CALLERS):
            organisation = 'org-hot' if number % 6 == 0 else ('org-a', 'org-b')[number % 2]
            kind = Keeper if self.strict and number % 2 else Caller
            if self.impatient:
                kind = Persistent if number % 4 else Impatient
            callers.append(kind(number, vms, self.callers_address, organisation,
                                self.keys[organisation][0], self.random.random()))
        callers += [Stranger(CALLERS + number, vms, self.callers_address, 'org-a',
                             self.keys['org-a'][0], number) for number in range(self.strangers)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        if 'restore_store' in self.faults:
            tasks.append(asyncio.create_task(self.watch_routes(vms)))
        await self.inject()
        await self.heal()
        await asyncio.sleep(RECOVERY_S)
        tail_from = time.monotonic()
        await asyncio.sleep(TAIL_S)
        for caller in callers:
            caller.stop()
        self.watching = False
        await asyncio.gather(*tasks)
        problems = await self.final_configuration(vms)
        record, state = await self.control('/record'), await self.control('/inspect')
        (self.folder / 'record.json').write_text(json.dumps(
            dict(record, statements=[each for caller in callers
                                     for each in caller.statements.values()])))
        self.ended_by_themselves(problems)
        problems += judge(callers, record, state, self.events, organisations(), tail_from,
                          self.leaves, self.disturbances,
                          [each for each in self.known_routes if each[2] not in self.removed],
                          self.strict)
        return problems, callers

    async def final_configuration(self, vms):
        """Checks that every VM serves each route and refuses each removed one and each revoked key."""
        problems = []
        for address in vms:
            probes = [(host, self.keys['org-a'][0], host not in self.removed)
                      for host in self.added]
            probes += [('orders', key, False) for key in self.revoked]
            for host, key, expected in probes:
                probe = Caller(900, [address], self.callers_address, 'org-a', key, 0)
                served = await probe.probe(host)
                if served != expected:
                    problems.append(f'{address[0]}: {host} with {key}: served {served}')
        return problems

    def ended_by_themselves(self, problems):
        for name, process in self.processes.items():
            if process.poll() is not None:
                problems.append(f'{name} ended with status {process.returncode}')


def run_seed(seed, net, keep, vms, faults):
    with tempfile.TemporaryDirectory(prefix='jackdawvane-soak-') as folder:
        soak = Soak(seed, net, folder, vms, FAULT_SETS[faults],
                    strangers=STRANGERS if faults in SETS_WITH_STRANGERS else 0,
                    strict=faults in STRICT_SETS, impatient=faults in SETS_WITH_IMPATIENT_CALLERS,
                    contracts=() if faults in SETS_WITHOUT_CONTRACTS else CONTRACTS)
        callers = []
        try:
            problems, callers = asyncio.run(soak.run())
        except (OSError, RuntimeError, asyncio.IncompleteReadError) as failure:
            problems = [f'the run failed: {failure!r}']
        finally:
            soak.stop_all()
        operations = sum(len(caller.operations) for caller in callers)
        served = sum(operation['ok'] for caller in callers for operation in caller.operations)
        print(f'seed {seed} {faults}: {len(soak.events)} events, {operations} operations, {served} served, '
              f'{len(problems)} problems', flush=True)
        if problems or keep:
            kept = pathlib.Path(tempfile.gettempdir()) / f'jackdawvane-soak-{seed}'
            kept.mkdir(exist_ok=True)
            for file in pathlib.Path(folder).iterdir():
                (kept / file.name).write_bytes(file.read_bytes())
            begin = soak.started
            (kept / 'events.txt').write_text(
                ''.join(f'{at - begin:8.3f} {text}\n' for at, text in soak.events))
            (kept / 'problems.txt').write_text(''.join(f'{each}\n' for each in problems))
            print(f'    logs in {kept}', flush=True)
        kinds = collections.Counter(problem.partition(':')[0] for problem in problems)
        if problems:
            print(f'    problems by kind: {dict(kinds)}', flush=True)
        for problem in problems[:8]:
            print(f'    FAILED: {problem}', flush=True)
        return len(problems)


def regression_runs():
    """Seeds and sets of faults listed in soak-seeds.txt. Those that KNOWN-RED.txt lists as
    "seed: SEED SET" are not run, and printed."""
    known = set(re.findall(r'^seed: *(\S+ \S+)', (ROOT / 'KNOWN-RED.txt').read_text(), re.MULTILINE))
    lines = (ROOT / 'tools' / 'soak-seeds.txt').read_text().splitlines()
    for line in lines:
        if line and not line.startswith('#'):
            seed, faults = line.split()[:2]
            if f'{seed} {faults}' in known:
                print(f'known failing, not run: seed {seed} {faults}', flush=True)
            else:
                yield int(seed), faults


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('seeds', nargs='*', metavar='SEED')
    parser.add_argument('--regression', action='store_true')
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--vms', type=int, help=f'default: {VMS}, or {SETS_OF_LARGE_FLEETS}')
    parser.add_argument('--faults', choices=FAULT_SETS, default='all')
    parser.add_argument('--net', type=int, default=30,
                        help='use the addresses 127.NET and up; other soaks need others')
    parser.add_argument('--keep', action='store_true', help='keep the logs of every seed')
    options = parser.parse_args()
    runs = list(regression_runs()) if options.regression else []
    for text in options.seeds:
        first, _, last = text.partition('-')
        runs += [(seed, options.faults) for seed in range(int(first), int(last or first) + 1)]
    running, failed = {}, 0
    while runs or running:
        free = [slot for slot in range(options.jobs) if slot not in running]
        if runs and free:
            child = os.fork()
            seed, faults = runs.pop(0)
            if child == 0:
                vms = options.vms or SETS_OF_LARGE_FLEETS.get(faults, VMS)
                os._exit(min(1, run_seed(seed, f'127.{options.net + free[0]}', options.keep, vms,
                                         faults)))
            running[free[0]] = child
            continue
        ended, status = os.wait()
        running = {slot: child for slot, child in running.items() if child != ended}
        failed += status != 0
    print(f'{failed} seeds failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
