"""Three entry VMs, two groups of backend servers, and callers that run transactions. One VM at a
time is cut off from the other VMs for 1.9 s; it still reaches the store and the backend servers.
With TROUBLE=0 nothing is cut."""
import asyncio
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / 'tools'))
import soak  # noqa: E402
from soak_callers import Caller  # noqa: E402
from soak_judge import Evidence, pinned  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
CUT_S, PAUSE_S, LAST_CUT_S, CALLERS = 1.9, 3.0, 85, 30
soak.organisations = lambda: {'org-a': dict(rate_per_s=200, burst=200),
                              'org-b': dict(rate_per_s=200, burst=200),
                              'org-hot': dict(rate_per_s=200, burst=200)}


class Fleet(soak.Soak):
    def start(self, name, program, settings):
        folder = 'target' if program == 'jackdawvane-entry' else 'build-review'
        command = [str(ROOT / folder / program)]
        environment = dict(os.environ)
        if program == 'jackdawvane-entry':
            environment['JACKDAWVANE_SETTINGS'] = settings
        else:
            command += ['--settings', settings]
        with open(self.folder / f'{name}.log', 'ab') as output:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                env=environment, start_new_session=True)


class Clerk(Caller):
    """A caller that runs transactions only."""

    async def run(self):
        while not self.stopping:
            try:
                await self.open(self.random.choice(('orders', 'stock')))
                while not self.stopping and self.random.random() > 0.1:
                    await self.operate()
                    await asyncio.sleep(self.random.uniform(0.1, 0.6))
            except (soak_ended, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(self.random.uniform(0.05, 0.4))
            finally:
                self.close()

    async def read(self):
        return await self.transaction()

    read_with_value = execute = write = read


from soak_callers import Ended as soak_ended  # noqa: E402


def write_record(path, fleet, callers, record, problems):
    begin = fleet.started
    lines = [(at, f'event {text}') for at, text in fleet.events]
    for caller in callers:
        for each in caller.statements.values():
            lines.append((each['sent'], f'sent {each["id"]} session={each["session"]} '
                          f'transaction={each["transaction"]} vm={each["vm"]} {each["text"]}'))
            if each['answered']:
                lines.append((each['answered'], f'answered {each["id"]} '
                              f'error={each["error"] or "none"}'))
    for run in record['runs']:
        lines.append((run['at'], f'run {run["id"]} at {run["member"]} '
                      f'connection={run["connection"]} state={run["state"]} {run["text"]}'))
    lines.sort()
    with open(path, 'w') as out:
        out.writelines(f'{text}\n' for text in problems)
        wanted = {word for text in problems for word in [text.split()[1].rstrip(':')]}
        if wanted:  # keeps the record of a broken rule short
            near = [at for at, text in lines if any(name in text for name in wanted)]
            lines = [each for each in lines if min(near) - 1 < each[0] < max(near) + 1]
        out.writelines(f'{at - begin:9.3f} {text}\n' for at, text in lines)


async def play(fleet, path):
    fleet.start_all()
    await fleet.listening(f'{fleet.site}:{soak.CONTROL_PORT}')
    await fleet.listening(f'{fleet.site}:7900')
    for vm in fleet.vms:
        fleet.start_vm(vm['name'])
    await fleet.configure()
    await fleet.ready()
    vms = [(vm['net'] + '.101', soak.SESSION_PORT) for vm in fleet.vms]
    callers = [Clerk(number, vms, fleet.callers_address, ('org-a', 'org-b')[number % 2],
                     fleet.keys[('org-a', 'org-b')[number % 2]][0], random.random())
               for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(4)
    problems, number, record = [], 0, {}
    while not problems and time.monotonic() - fleet.started < LAST_CUT_S:
        cut = fleet.vms[number % len(fleet.vms)]['name']
        pairs = [[cut, vm['name']] for vm in fleet.vms if vm['name'] != cut]
        if TROUBLE:
            await fleet.link(dict(cut=pairs))
            fleet.note(f'cut {pairs}')
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            await fleet.link(dict(heal=pairs))
            fleet.note(f'healed {pairs}')
        await asyncio.sleep(PAUSE_S)
        number += 1
        record, state = await fleet.control('/record'), await fleet.control('/inspect')
        problems = list(pinned(Evidence(callers, record, state)))
    for caller in callers:
        caller.stop()
    await asyncio.wait(tasks, timeout=8)
    served = sum(each['ok'] for caller in callers for each in caller.operations)
    print(f'{number} rounds, {served} transactions served, {len(problems)} broken')
    write_record(path, fleet, callers, record, problems)
    return 1 if problems else 0 if served > 500 else 2


def main():
    record = pathlib.Path(__file__).with_name('record.txt')
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(1, f'127.{random.randint(40, 120)}', folder, 3, [])
        try:
            return asyncio.run(play(fleet, record))
        except (OSError, RuntimeError, asyncio.IncompleteReadError) as failure:
            print(f'the case could not run: {failure!r}')
            return 2
        finally:
            fleet.stop_all()


sys.exit(main())
