"""Drives fleet.py from scripts: runs a load with timed faults and reads the results."""
import argparse
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet  # noqa: E402  (found through the path above)

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Bench:
    """Context manager that starts a fleet in a folder and stops it on exit, also after an error."""

    def __init__(self, folder, user='quetzal', vms=9, lag_ms=50, link=True, net=None,
                 build=ROOT / 'build'):
        self.folder = pathlib.Path(folder)
        self.build = pathlib.Path(build)
        self.options = argparse.Namespace(user=user, vms=vms, lag_ms=lag_ms, no_link=not link, net=net,
                                          no_daemons=False, build=str(build))
        self.fleet = fleet.Fleet(folder)

    def __enter__(self):
        try:
            self.fleet.up(self.options)
            self.wait_until_ready()
        except BaseException:
            self.fleet.down(None)
            raise
        return self

    def __exit__(self, *_error):
        self.fleet.down(None)

    def wait_until_ready(self, seconds=20):
        """Waits until every VM has a configuration and confirmed terms for its servers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(self.is_ready(vm) for vm in self.vms()):
                return
            time.sleep(0.2)
        sys.exit('the fleet did not become ready in time; see the logs in ' + str(self.folder))

    def vms(self):
        return [name for name in self.fleet.state['processes'] if name.startswith('vm-')]

    def status_of(self, vm):
        return fleet.get(self.fleet.process(vm)['control'], '/admin/status')

    def is_ready(self, vm):
        try:
            status = self.status_of(vm)
        except OSError:
            return False
        owned = status.get('backend_servers') or []
        return status['revision'] > 0 and all(entry['term_confirmed'] for entry in owned)

    def command(self, name, **options):
        """Runs a command of fleet.py, for example command('kill', process='vm-xela-1')."""
        getattr(self.fleet, name.replace('-', '_'))(argparse.Namespace(command=name, **options))

    def store_fault(self, **fault):
        fleet.post(self.fleet.process('store')['control'], '/fault', fault)

    def inspect(self, name):
        return fleet.get(self.fleet.process(name)['control'], '/inspect')

    def load(self, faults=(), **changes):
        """Runs the load tool with changed settings; each fault is (seconds after start, function).

        Returns the results that the tool wrote, with its exit status added as 'exit_status'.
        """
        settings = json.loads((self.folder / 'load.json').read_text())
        settings.update(changes)
        path, output = self.folder / 'run.json', self.folder / 'run-result.json'
        path.write_text(json.dumps(settings))
        started = time.monotonic()
        with open(self.folder / 'run.txt', 'w') as text:
            tool = subprocess.Popen([str(self.build / 'jackdawvane-load'), 'run', '--settings',
                                     str(path), '--output', str(output)], stdout=text,
                                    stderr=text)
            for at, inject in sorted(faults, key=lambda fault: fault[0]):
                time.sleep(max(0, started + at - time.monotonic()))
                inject()
            status = tool.wait()
        results = json.loads(output.read_text())
        results['exit_status'] = status
        return results
