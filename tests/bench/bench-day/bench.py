"""The day of each user under each policy: all runs, table and plot.

Environment: BENCH_USERS, BENCH_SEEDS, BENCH_POLICIES (lists by commas)
narrow it; BENCH_JOBS is the number of runs at once.
"""

import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import report

RUN_LIMIT_S = 150
STOP_LIMIT_S = 30
HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[2]
running = set()
ending = threading.Event()


def names(variable, fallback):
    """A list from the environment."""
    return os.environ.get(variable, fallback).split(",")


def end(process):
    """Tells a run to stop all that it started, and waits for it."""
    process.terminate()
    try:
        process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def run_one(build, user, policy, seed):
    """One run in a process of its own; returns its result or None."""
    folder = build / "bench" / f"{user}-{policy}-{seed}"
    if ending.is_set():
        return None
    process = subprocess.Popen([
        sys.executable, HERE / "run.py", "--root", ROOT, "--build", build,
        "--folder", folder, "--user", user, "--policy", policy,
        "--seed", seed])
    running.add(process)
    try:
        status = process.wait(RUN_LIMIT_S)
    except subprocess.TimeoutExpired:
        end(process)
        status = "timeout"
    running.discard(process)
    if status != 0:
        print(f"bench: {folder.name} failed: {status}", file=sys.stderr)
        return None
    result = json.loads((folder / "result.json").read_text())
    print(f"bench: {folder.name} done, {result['jobs']} submissions in "
          f"{result['ended_s']:.0f} s", file=sys.stderr)
    return result


def on_term(signum, frame):
    """Ends all runs, each of which stops what it started."""
    ending.set()
    for process in list(running):
        process.terminate()


def write(folder, results):
    """JSON, table and plot."""
    rows = report.summarise(results)
    (folder / "summary.json").write_text(json.dumps(rows, indent=1))
    (folder / "bench.svg").write_text(report.plot(rows))
    text = report.table(rows) + "\n\n" + report.goal(rows) + "\n"
    (folder / "table.md").write_text(text)
    print(text)


def main():
    """All runs; the exit status is 1 if one of them failed."""
    build = pathlib.Path(os.environ.get("BUILD", "build")).resolve()
    (build / "bench").mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGTERM, on_term)
    signal.signal(signal.SIGINT, on_term)
    started_s = time.monotonic()
    cases = [(user, policy, seed)
             for seed in names("BENCH_SEEDS", "1,2")
             for user in names("BENCH_USERS", "addis,brazos")
             for policy in names("BENCH_POLICIES",
                                 "first-fit,strict,guarantee")]
    with concurrent.futures.ThreadPoolExecutor(
            int(os.environ.get("BENCH_JOBS", "2"))) as pool:
        results = list(pool.map(lambda case: run_one(build, *case), cases))
    done = [result for result in results if result is not None]
    if done:
        write(build / "bench", done)
    print(f"bench: {len(done)} of {len(cases)} runs in "
          f"{time.monotonic() - started_s:.0f} s")
    return 0 if len(done) == len(cases) else 1


if __name__ == "__main__":
    sys.exit(main())
