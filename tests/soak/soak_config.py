#!/usr/bin/env python3
"""Soak: hosts that learn of the operator's changes at different times.

  soak_config.py SEED [--traffic S] [--faults lost,slow,kill,freeze]

Three hosts, and an operator that adds and removes queues and keys.  With `lost`,
answers to a host's reads of the operator's topic are lost, so that it learns of
a change seconds after the others; with `slow`, the store's answers take up to
SLOW_MAX_S for some seconds, so that hosts relay requests to the planner's host;
with `kill` and `freeze`, the planner's host is killed or frozen meanwhile.

Prints `kept`; otherwise each violation, and exits with 1.  Of one process of a
host, by the answers that callers have had from it:

CONFIG    it refuses a queue or a key that each version from the newest one that
          it has shown until now has
DENIED    it does not know a job that it has accepted or has shown
STATE     it shows an earlier state of a job than before
NOT RUN   it says of a job that is known to be accepted that it is not accepted

and the violations that soak.py looks for.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import soak  # noqa: E402
import stack_dump  # noqa: E402

QUEUES_MAX = 5
SHARE_OF_NEWEST = 0.5
CHANGE_MIN_S, CHANGE_MAX_S = 0.2, 1.5
CALLERS = 6
CALL_PAUSE_MAX_S = 0.06
LOST_PAUSE_MAX_S = 1.0
SLOW_MIN_S, SLOW_MAX_S = 0.07, 0.25
SLOW_FOR_MIN_S, SLOW_FOR_MAX_S = 1.0, 4.0
SLOW_PAUSE_MAX_S = 2.0
HOST_FAULT_MIN_S, HOST_FAULT_MAX_S = 1.5, 5.0
FREEZE_MAX_S = 2.5
RANKS = {"queued": 0, "running": 1, "completed": 2, "failed": 2,
         "cancelled": 2}


class Store(standin.Store):
    """slow_s: each answer takes this much longer.  lose_for: hosts whose next
    answer to a read of the operator's topic is lost."""

    def __init__(self):
        super().__init__()
        self.slow_s = 0.0
        self.lose_for = set()

    async def handle(self, path, query, body, host=None):
        loses = (path == "/log-read" and query["topic"][0] == "keyed.op"
                 and host in self.lose_for)
        self.lose_for.discard(host if loses else None)
        answer = await super().handle(path, query, body, host)
        if loses:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.slow_s)
        return answer


class Shown:
    """What one process of a host has shown to callers."""

    def __init__(self):
        self.version = 1
        self.ranks = {}  # job -> of its state


class ConfigSoak(soak.Soak):
    def __init__(self, options):
        super().__init__(options.seed, options.traffic, False)
        self.kinds = options.faults
        self.store = Store()
        self.store.rng = random.Random(options.seed + 1)
        # Version -> (names of queues, keys); a queue's name is that of its
        # path, and both are never used again.
        self.versions = {1: ({"q"}, {"k"})}
        self.version, self.numbers = 1, 0
        self.shown = {}  # (host, how often it was stopped) -> Shown
        self.jobs, self.cancelled = {}, set()  # job -> queue and key

    async def change(self):
        queues, keys = map(set, self.versions[self.version])
        for names, kept, prefix in ((queues, "q", "n"), (keys, "k", "key")):
            if len(names) < QUEUES_MAX or self.rng.random() < 0.3:
                self.numbers += 1
                names.add(f"{prefix}{self.numbers}")
            if len(names) > QUEUES_MAX or self.rng.random() < 0.3:
                names.discard(self.rng.choice(sorted(names - {kept} or names)))
                names.add(kept)
        config = json.loads(json.dumps(soak.CONFIG))
        config["version"] = self.version + self.rng.randint(1, 3)
        config["routes"] = [dict(config["routes"][0], name=name,
                                 path_prefix=f"/{name}/")
                            for name in sorted(queues)]
        config["tenants"][0]["api_keys"] = sorted(keys)
        self.version = config["version"]
        self.versions[self.version] = (queues, keys)
        await self.store.put("keyed.op", "config",
                             json.dumps(config).encode())

    async def change_again_and_again(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(CHANGE_MIN_S, CHANGE_MAX_S))
            await self.change()

    def newest(self, names):
        """Of these queues or keys."""
        return max(names, key=lambda name: int(name.strip("nkeyq") or 0))

    def first_version(self, queue, key):
        """The first version with both."""
        return min(version for version, (queues, keys) in self.versions.items()
                   if queue in queues and key in keys)

    def violation(self, kind, host, text):
        self.checker.violations.append(f"{kind}: {host.name}: {text}")

    def judge(self, host, before, method, job, queue, key, status, state):
        """BEFORE: what the host had shown when the request was sent: the
        newest version, and the state of the job."""
        shown = self.shown.setdefault((host, host.stops), Shown())
        what = f"{method} {queue}/{job} by {key}: {status} {state}"
        since, rank = before
        if status in (401, 404):
            if all(queue in queues and key in keys
                   for number, (queues, keys) in self.versions.items()
                   if number >= since):
                self.violation("CONFIG", host, f"{what}, after it had shown "
                                               f"version {since}")
            return
        if status == 410 and rank is not None:
            self.violation("DENIED", host, what)
        if status == 503 and method == "POST" and rank is not None:
            self.violation("NOT RUN", host, what)
        if status != 200:
            return
        shown.version = max(shown.version, self.first_version(queue, key))
        if method == "POST":
            shown.ranks.setdefault(job, 0)
        elif method == "GET":
            if rank is not None and RANKS[state] < rank:
                self.violation("STATE", host, f"{what}, rank {rank} before")
            shown.ranks[job] = max(RANKS[state], shown.ranks.get(job, 0))

    async def call_and_judge(self, method, job, queue, key, body=None):
        host = self.rng.choice(self.hosts)
        stops = host.stops
        shown = self.shown.setdefault((host, stops), Shown())
        before = (shown.version, shown.ranks.get(job))
        running = host.process.returncode is None and not host.being_killed
        status, text = await asyncio.get_running_loop().run_in_executor(
            None, soak.call, host, method, job, body, queue, key)
        state = json.loads(text).get("state") if status == 200 else None
        if running and host.stops == stops and not host.being_killed:
            self.judge(host, before, method, job, queue, key, status, state)
        return status

    async def call_again_and_again(self):
        phases = [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 400}]
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0, CALL_PAUSE_MAX_S))
            queue, key = (
                self.newest(names) if self.rng.random() < SHARE_OF_NEWEST
                else self.rng.choice(sorted(names))
                for names in self.versions[self.version])
            recent = self.accepted[-10:]
            if recent and self.rng.random() < 0.5:
                job = self.rng.choice(recent)
                method = self.rng.choice(["GET", "GET", "GET", "POST",
                                          "DELETE"])
                if method == "DELETE":
                    self.cancelled.add(job)
                await self.call_and_judge(
                    method, job, queue, key,
                    self.jobs[job] if method == "POST" else None)
                continue
            job = "%016x" % (len(self.jobs) + 1)
            self.jobs[job] = {"spec": "x", "phases": phases}
            if await self.call_and_judge("POST", job, queue, key,
                                         self.jobs[job]) == 200:
                self.accepted.append(job)

    def planner(self):
        terms = self.terms()
        return terms[-1][1] if terms else self.hosts[0]

    async def lose_reads(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0, LOST_PAUSE_MAX_S))
            host = (self.planner() if self.rng.random() < 0.6
                    else self.rng.choice(self.hosts))
            self.store.lose_for.add(host.name)
            self.faults.append("lost")

    async def slow_down(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0, SLOW_PAUSE_MAX_S))
            self.store.slow_s = self.rng.uniform(SLOW_MIN_S, SLOW_MAX_S)
            await asyncio.sleep(self.rng.uniform(SLOW_FOR_MIN_S,
                                                 SLOW_FOR_MAX_S))
            self.store.slow_s = 0.0
            self.faults.append("slow")

    async def trouble_hosts(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(HOST_FAULT_MIN_S,
                                                 HOST_FAULT_MAX_S))
            kind = self.rng.choice([kind for kind in self.kinds
                                    if kind in ("kill", "freeze")])
            host = self.planner()
            self.faults.append(kind)
            if kind == "kill":
                await host.stop(signal.SIGKILL)
                await host.start()
                continue
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.3, FREEZE_MAX_S))
            host.process.send_signal(signal.SIGCONT)

    def is_expected_end(self, job, state):
        return state == "completed" or (state == "cancelled"
                                        and job in self.cancelled)

    async def run_hosts(self, folder):
        await self.start(folder)
        await asyncio.sleep(1.5)
        loop = asyncio.create_task(self.run_workers())
        await asyncio.sleep(1.5)
        tasks = [self.change_again_and_again()]
        tasks += [self.call_again_and_again() for _ in range(CALLERS)]
        if "lost" in self.kinds:
            tasks.append(self.lose_reads())
        if "slow" in self.kinds:
            tasks.append(self.slow_down())
        if "kill" in self.kinds or "freeze" in self.kinds:
            tasks.append(self.trouble_hosts())
        tasks = [asyncio.create_task(task) for task in tasks]
        await asyncio.sleep(self.duration_s)
        self.stopping = True
        await asyncio.gather(*tasks)
        self.store.lose_for.clear()
        incomplete = await self.wait_until_completed()
        loop.cancel()
        return incomplete


def main():
    stack_dump.register()
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--traffic", type=float, default=15.0)
    parser.add_argument("--faults", type=lambda text: text.split(","),
                        default=["lost", "slow"])
    run = ConfigSoak(parser.parse_args())
    folder = tempfile.mkdtemp(prefix="soak-config-")
    incomplete = asyncio.run(run.run(folder))
    print(f"{len(run.accepted)} jobs accepted, version {run.version}, faults: "
          + " ".join(run.faults) + f", logs in {folder}", file=sys.stderr)
    for violation in run.checker.violations:
        print("broken:", violation)
    for job, status, body in incomplete:
        print("not completed:", job, status, body)
    if run.checker.violations or incomplete or not run.accepted:
        return 1
    print("kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
