#!/usr/bin/env python3
"""Runs one host on a list of workers in which most entries are of no use.

Of 5,000 entries a third cannot be read, a third lack fields or have fields of
other types or out of range, and a third name workers that refuse
connections.  Jobs must
complete on the three good workers, and the host must stay small.

Prints one line for each check, and exits with 1 if one failed.
"""
import asyncio
import json
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import soak  # noqa: E402
import stack_dump  # noqa: E402

ENTRY_COUNT = 5000
ODD_VALUES = [None, -1, "x", [], {}, 2**63, -2**70, 1e308, "127.0.0.1:0",
              "127.0.0.1:65536", "127.0.0.1", "127.0.0.1:80\r\nX: y", "a\0",
              ["a"] * 1000, {"cpu": 2**62, "mem_mb": 2**62, "gpu": -1}]
JOB_COUNT = 40
GOOD_WORKERS = 3
# The address sanitizer needs many times the memory of the program.
MEMORY_MAX_MIB = 1024 if os.environ.get("SAN_FLAGS") else 64
LOG_LINES_MAX = 20000
COMPLETION_TIMEOUT_S = 20


def useless_entry(number, dead_address):
    """Returns the text of an entry of no use."""
    good = {"service": "desk", "address": dead_address, "zone": "dc",
            "version": "v1", "slots": 8, "state": "ready", "seq": 1,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
            "labels": ["a", "r9"], "born": number}
    if number % 3 == 0:
        return [b"\xff\xfe", b"{", b"[]", b"null", b"\x00" * 64,
                b'{"a":' * 20000, b"[" * 20000 + b"]" * 20000][number % 7]
    if number % 3 == 1:
        field = list(good)[number % len(good)]
        good[field] = ODD_VALUES[number % len(ODD_VALUES)]
    return json.dumps(good).encode()


def resident_mib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) // 1024
    return 0


def report(text, held):
    print(text if held else f"failed: {text}")
    return held


async def run(folder):
    run_soak = soak.Soak(1, 0, False)
    await run_soak.start(folder)
    for host in run_soak.hosts[1:]:
        await host.stop(9)
    dead_address = f"127.0.0.1:{soak.reserve_port()}"
    for number in range(ENTRY_COUNT):
        await run_soak.store.put("keyed.servers", "useless-%d" % number,
                                 useless_entry(number, dead_address))
    del run_soak.workers[GOOD_WORKERS:]
    workers = asyncio.create_task(run_soak.run_workers())
    await asyncio.sleep(3)
    host = run_soak.hosts[0]
    body = {"spec": "x", "phases": [{"count": 2, "cpu": 1000, "mem_mb": 1000,
                                     "gpu": 1, "estimate_ms": 400}]}
    jobs = ["%016x" % (number + 1) for number in range(JOB_COUNT)]
    accepted = [await soak.call_async(host, "POST", job, body)
                for job in jobs]
    incomplete = jobs
    for _ in range(COMPLETION_TIMEOUT_S * 2):
        answers = [(job, await soak.call_async(host, "GET", job))
                   for job in incomplete]
        incomplete = [job for job, (_, answer) in answers
                      if b"completed" not in answer]
        if not incomplete:
            break
        await asyncio.sleep(0.5)
    memory_mib = resident_mib(host.process.pid)
    with open(os.path.join(folder, host.name + ".log"), "rb") as log:
        text = log.read()
    lines = text.count(b"\n")
    workers.cancel()
    await host.stop(15)
    print(f"{memory_mib} MiB, {lines} lines", file=sys.stderr)
    held = [
        report("all jobs are accepted",
               all(status == 200 for status, _ in accepted)),
        report("all jobs complete", not incomplete),
        report("no task ran twice", not run_soak.checker.violations),
        report("the host stays small", memory_mib < MEMORY_MAX_MIB),
        report("the log stays short", lines < LOG_LINES_MAX),
        report("the log names entries of no use", b"is not usable" in text),
    ]
    return all(held)


def main():
    stack_dump.register()
    folder = tempfile.mkdtemp(prefix="worker-list-")
    return 0 if asyncio.run(run(folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
