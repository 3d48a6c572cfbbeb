"""Runs the bench day of each user under each policy; makes table and plot.

Environment: BENCH_USERS, BENCH_SEEDS and BENCH_POLICIES (lists separated by
commas) select the runs; BENCH_JOBS is the number of runs at once.
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

RUN_TIMEOUT_S = 150
STOP_TIMEOUT_S = 30
HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[2]
running = set()
stopping = threading.Event()


def env_list(variable, fallback):
    """Returns a list from an environment variable."""
    return os.environ.get(variable, fallback).split(",")


def stop_run(process):
    """Stops a run, which stops the processes that it started."""
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def run_one(build, user, policy, seed):
    """Runs one case in a process; returns its result, None if it failed."""
    folder = build / "bench" / f"{user}-{policy}-{seed}"
    if stopping.is_set():
        return None
    process = subprocess.Popen([
        sys.executable, HERE / "run.py", "--root", ROOT, "--build", build,
        "--folder", folder, "--user", user, "--policy", policy,
        "--seed", seed])
    running.add(process)
    try:
        status = process.wait(RUN_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        stop_run(process)
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
    """Stops all runs, each of which stops its processes."""
    stopping.set()
    for process in list(running):
        process.terminate()


def write_reports(folder, results):
    """Writes summary, plot and table, and prints the table."""
    rows = report.summarise(results)
    (folder / "summary.json").write_text(json.dumps(rows, indent=1))
    (folder / "bench.svg").write_text(report.plot(rows))
    text = report.table(rows) + "\n\n" + report.goal(rows) + "\n"
    (folder / "table.md").write_text(text)
    print(text)


def main():
    """Runs all cases; returns 1 if one of them failed."""
    build = pathlib.Path(os.environ.get("BUILD", "build")).resolve()
    (build / "bench").mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGTERM, on_term)
    signal.signal(signal.SIGINT, on_term)
    started_s = time.monotonic()
    cases = [(user, policy, seed)
             for seed in env_list("BENCH_SEEDS", "1,2")
             for user in env_list("BENCH_USERS", "addis,brazos")
             for policy in env_list("BENCH_POLICIES",
                                 "first-fit,strict,guarantee")]
    with concurrent.futures.ThreadPoolExecutor(
            int(os.environ.get("BENCH_JOBS", "2"))) as pool:
        results = list(pool.map(lambda case: run_one(build, *case), cases))
    done = [result for result in results if result is not None]
    if done:
        write_reports(build / "bench", done)
    print(f"bench: {len(done)} of {len(cases)} runs in "
          f"{time.monotonic() - started_s:.0f} s")
    return 0 if len(done) == len(cases) else 1


if __name__ == "__main__":
    sys.exit(main())
