#!/usr/bin/env python3
"""Verifies that the test of each guarantee fails when the mechanism behind it is disabled.

Reads tests/mutations/*.json. Each entry disables one mechanism by a text replacement in a copy of
the sources, builds the named test there and expects it to fail. An entry whose text is not found,
whose build fails, whose test still passes or whose test fails on the unchanged sources is an error.

usage: tools/mutation-check.py [NAME...]
"""
import json
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "build-mutation"
PARALLEL_JOBS = "4"  # Most entries change one file, so more jobs would only take cores from others.
TEST_SECONDS = 300
SOURCES = ["CMakeLists.txt", "include", "platform", "src", "tests"]


def run(command, **options):
    return subprocess.run(command, capture_output=True, text=True, check=False, **options)


def copy_sources():
    tree = WORK / "tree"
    for name in SOURCES:
        source, target = ROOT / name, tree / name
        target.parent.mkdir(parents=True, exist_ok=True)
        # Keeps the times of unchanged files, so that ninja rebuilds only what changed.
        if source.is_dir():
            shutil.copytree(source, target, dirs_exist_ok=True, copy_function=copy_if_changed)
        else:
            copy_if_changed(source, target)
    return tree


def copy_if_changed(source, target):
    source, target = pathlib.Path(source), pathlib.Path(target)
    if not target.exists() or target.read_bytes() != source.read_bytes():
        shutil.copyfile(source, target)
    return target


def build(targets):
    return run(["cmake", "--build", str(WORK / "build"), "--parallel", PARALLEL_JOBS, "--target",
                *targets])


def run_test(entry):
    """Runs the entry's test; returns its result, or None if it timed out."""
    binary = WORK / "build" / "tests" / entry["target"]
    try:
        return run([str(binary), "--gtest_filter=" + entry["filter"]], timeout=TEST_SECONDS)
    except subprocess.TimeoutExpired:
        return None


def failing_unchanged(entries):
    """Names of the entries whose test fails on the unchanged sources, so that a failure with the
    mechanism disabled would prove nothing."""
    built = build(sorted({entry["target"] for entry in entries}))
    if built.returncode != 0:
        sys.exit("build failed:\n" + built.stdout[-2000:])
    results = [(entry["name"], run_test(entry)) for entry in entries]
    return [name for name, tested in results if tested is None or tested.returncode != 0]


def check(tree, entry):
    path = tree / entry["file"]
    original = path.read_text()
    if original.count(entry["from"]) != 1:
        return "text to replace found %d times" % original.count(entry["from"])
    path.write_text(original.replace(entry["from"], entry["to"]))
    try:
        built = build([entry["target"]])
        if built.returncode != 0:
            return "build failed:\n" + built.stdout[-2000:]
        tested = run_test(entry)
        if tested is None:
            return "the test did not end within %d s" % TEST_SECONDS
        if "[==========] 0 tests" in tested.stdout:
            return "the filter selects no test"
        if tested.returncode == 0:
            return "the test passes without the mechanism"
        failed = sorted({line.split("]")[1].split(",")[0].split(" (")[0].strip()
                         for line in tested.stdout.splitlines() if line.startswith("[  FAILED  ]")
                         and "listed below" not in line and "FAILED TEST" not in line})
        print("  fails as expected: " + ", ".join(failed[:4] or ["crash"]))
        return None
    finally:
        path.write_text(original)


def main():
    entries = []
    for path in sorted((ROOT / "tests" / "mutations").glob("*.json")):
        entries += json.loads(path.read_text())
    names = sys.argv[1:]
    tree = copy_sources()
    configured = run(["cmake", "-S", str(tree), "-B", str(WORK / "build"), "-G", "Ninja",
                      "-DCMAKE_BUILD_TYPE=Debug"])
    if configured.returncode != 0:
        sys.exit(configured.stderr)
    bad = 0
    chosen = [entry for entry in entries if not names or entry["name"] in names]
    for name in failing_unchanged(chosen):
        bad += 1
        print("PROBLEM: the test of %s fails with the mechanism in place" % name, flush=True)
    for number, entry in enumerate(chosen, 1):
        print("[%d/%d] %s: %s" % (number, len(chosen), entry["name"], entry["disables"]), flush=True)
        problem = check(tree, entry)
        if problem:
            bad += 1
            print("  PROBLEM: " + problem, flush=True)
    print("%d mechanisms checked, %d problems" % (len(chosen), bad))
    sys.exit(1 if bad or not chosen else 0)


if __name__ == "__main__":
    main()
