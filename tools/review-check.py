#!/usr/bin/env python3
"""Runs the scripts of the independent review against the program that the deploy file builds.

The scripts run in a copy of the folders that they use, so that the records that they write do not
change the repository. Exit status of a script: 0 the rule held, 1 it was broken, anything else: the
script could not run, which always fails the check. A broken rule fails it unless KNOWN-RED.txt
lists the script as "review: PATH".

usage: tools/review-check.py [--jobs N] [--times N] [--build FOLDER] [SCRIPT...]
"""
import argparse
import concurrent.futures
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ('review', 'deploy', 'tools')
TIMEOUT_S = 240
HELD, BROKEN = 0, 1


def scripts():
    """Paths of all scripts of the review, relative to the repository."""
    found = sorted((ROOT / 'review').glob('*/run.sh')) + sorted((ROOT / 'review/found').glob('*.sh'))
    shown = {path.with_suffix('') for path in found}
    found += [path for path in sorted((ROOT / 'review/found').glob('*.py'))
              if path.with_suffix('') not in shown]
    return [str(path.relative_to(ROOT)) for path in found]


def known_red():
    text = (ROOT / 'KNOWN-RED.txt').read_text()
    return set(re.findall(r'^review: (review/[^\s,]+)', text, re.MULTILINE))


def run(script, build):
    """Returns the exit status, None after a time-out, and the last lines that the script printed."""
    with tempfile.TemporaryDirectory(prefix='jackdawvane-review-') as folder:
        tree = pathlib.Path(folder)
        for name in FOLDERS:
            shutil.copytree(ROOT / name, tree / name)
        (tree / 'target').symlink_to(ROOT / 'target')
        (tree / 'build-review').symlink_to(build)
        command = ['bash' if script.endswith('.sh') else sys.executable, tree / script]
        process = subprocess.Popen(command, cwd=tree, stdin=subprocess.DEVNULL, text=True,
                                   stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                                   start_new_session=True)
        try:
            printed = process.communicate(timeout=TIMEOUT_S)[0]
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGINT)  # The script ends the processes that it started.
            return None, process.communicate()[0]
        return process.returncode, printed


def judge(script, status, red):
    """Returns the outcome as text, and whether the check fails."""
    if status == HELD:
        return 'held, but KNOWN-RED.txt lists it' if script in red else 'held', False
    if status == BROKEN:
        return ('broken, known (KNOWN-RED.txt)', False) if script in red else ('broken', True)
    return 'did not end' if status is None else f'could not run, status {status}', True


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('scripts', nargs='*', metavar='SCRIPT')
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--times', type=int, default=1, help='runs of each script')
    parser.add_argument('--build', type=pathlib.Path, default=ROOT / 'build',
                        help='folder with the stand-ins')
    options = parser.parse_args()
    red, failed = known_red(), 0
    plays = (options.scripts or scripts()) * options.times
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda script: (script, *run(script, options.build)), plays)
        for script, status, printed in results:
            outcome, fails = judge(script, status, red)
            failed += fails
            print(f'{"FAILED" if fails else "ok"}: {script}: {outcome}: '
                  f'{printed.strip().splitlines()[-1] if printed.strip() else "-"}', flush=True)
    print(f'{len(plays)} runs of review scripts, {failed} failed')
    sys.exit(1 if failed or not plays else 0)


if __name__ == '__main__':
    main()
