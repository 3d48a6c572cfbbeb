#!/usr/bin/env python3
"""Soak: several members of one run of a gang end as failed.

  soak_gangs.py SEED [--traffic S] [--spread S] [--faults kill,dark]

Three hosts and 24 workers, and jobs of which the first runs fail: in each such
run several members of a gang end as failed, each at a moment of its own within
--spread, and their workers answer polls late.  The other members learn of it
later, and end as broken.  Beside gangs there are steps whose tasks fail each by
itself.  With `kill`, the planner's host is killed again and again; with `dark`,
workers do not answer for longer than a lease lasts, so that runs are given up
and their ends are listed later.

Prints `kept`; otherwise each violation, and exits with 1: a job is shown as
failed before as many runs of a gang, or of a task, have failed as its queue has
attempts (LOST); a run starts after so many failed ones were acknowledged
(BUDGET); a job is neither completed nor failed at the end, or not known; or a
violation that soak.py looks for.
"""
import argparse
import asyncio
import json
import math
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import soak  # noqa: E402
import stack_dump  # noqa: E402

WORKERS = 24
GANG_MIN, GANG_MAX = 6, WORKERS
GANG_TIMEOUT_S = 3.0
STOP_S = 0.2
WORK_MIN_S, WORK_MAX_S = 0.4, 1.2
BROKEN_MIN_S, BROKEN_MAX_S = 0.05, 1.0
ANSWER_DELAY_MAX_S = 0.3
SUBMIT_MIN_S, SUBMIT_MAX_S = 0.4, 1.0
DARK_MIN_S, DARK_MAX_S = 1.0, 4.0  # a lease lasts 2 s
SHARE_OF_GANGS = 0.8
FAILING_MAX_SHARE = 0.4  # of the members of a run
QUEUES = {"two": 2, "three": 3}  # attempts
END_TIMEOUT_S = 60


class Job:
    def __init__(self, rng, number):
        self.name = "%016x" % number
        self.queue = rng.choice(list(QUEUES))
        self.limit = QUEUES[self.queue]
        self.gang = rng.random() < SHARE_OF_GANGS
        self.count = rng.randint(GANG_MIN, GANG_MAX)
        # Of a gang, or of each task.
        self.failing_runs = rng.choice([1, 1, 1, 0, self.limit])
        self.failed = {}  # gang or task -> its runs that have failed
        self.acknowledged = {}  # the same of those that are acknowledged

    def body(self):
        return {"spec": "x", "phases": [
            {"count": self.count, "cpu": 1000, "mem_mb": 1000, "gpu": 1,
             "estimate_ms": 1000, "gang": self.gang}]}

    def key(self, task):
        return task.rpartition(".")[0] if self.gang else task

    def has_failed(self):
        return any(len(runs) >= self.limit for runs in self.failed.values())


class Gang:
    """One run of a gang: its members, once all are there how each ends."""

    def __init__(self):
        self.members = {}  # task -> (worker, run)
        self.broken = False


class Worker(standin.Worker):
    def __init__(self, name, rack, checker, world):
        self.world = world
        super().__init__(name, rack, checker)
        self.lease_limit_ms = soak.LEASE_MS

    def add_run(self, task, run_id):
        job, rng = self.world.jobs[task.split(".")[0]], self.world.rng
        run = standin.Run(task, run_id, math.inf)
        run.job, run.outcome = job, "alone"
        run.key = job.key(task)
        self.runs[task] = run
        if len(job.acknowledged.get(run.key, ())) >= job.limit:
            self.checker.violations.append(f"BUDGET {task} run {run_id}")
        if not job.gang:
            fails = len(job.failed.get(run.key, ())) < job.failing_runs
            run.outcome = "failed" if fails else "done"
            run.ends_at_s = time.monotonic() + rng.uniform(WORK_MIN_S,
                                                           WORK_MAX_S)
            return
        run.ends_at_s = time.monotonic() + GANG_TIMEOUT_S
        gang = self.world.gangs.setdefault((run.key, run_id), Gang())
        gang.members[task] = (self, run)
        if len(gang.members) == job.count and not gang.broken:
            self.plan(gang, job, run)

    def plan(self, gang, job, run):
        rng, now = self.world.rng, time.monotonic()
        work_s = rng.uniform(WORK_MIN_S, WORK_MAX_S)
        members = [member for _, member in gang.members.values()]
        for member in members:
            member.outcome, member.ends_at_s = "done", now + work_s
        if len(job.failed.get(run.key, ())) < job.failing_runs:
            failing = rng.sample(members, rng.randint(
                2, max(2, int(job.count * FAILING_MAX_SHARE))))
            for member in members:
                member.ends_at_s = math.inf
            for member in failing:
                member.outcome = "failed"
                member.ends_at_s = now + rng.uniform(0.05,
                                                     0.05 + self.world.spread_s)

    def percent(self, run):
        return 50

    def end_run(self, run, outcome):
        if self.runs.get(run.task) is not run:
            return
        super().end_run(run, outcome)
        if outcome == "failed":
            run.job.failed.setdefault(run.key, set()).add(run.run_id)
        gang = self.world.gangs.get((run.key, run.run_id))
        if gang is None or gang.broken:
            return
        if outcome == "done":
            for worker, member in gang.members.values():
                worker.end_run(member, "done")
            return
        gang.broken = True
        for _, member in gang.members.values():
            if member.outcome != "failed":
                member.outcome = "broken"
                member.ends_at_s = time.monotonic() + self.world.rng.uniform(
                    BROKEN_MIN_S, BROKEN_MAX_S)

    def end_due_runs(self):
        now = time.monotonic()
        if self.clock_ms() > self.lease_deadline_ms:
            self.unnoted_count = self.outcome_count
        for run in list(self.runs.values()):
            if self.clock_ms() > self.lease_deadline_ms:
                self.end_run(run, "lapsed")
            elif now >= run.ends_at_s:
                self.end_run(run, run.outcome)

    def stop(self, command):
        task, run_id = command["task"], command["run_id"]
        self.highest_run_ids[task] = max(self.highest_run_ids.get(task, 0),
                                         run_id)
        run = self.runs.get(task)
        if run is not None and run.run_id == run_id:
            asyncio.get_running_loop().call_later(
                self.world.rng.uniform(0, STOP_S), self.end_run, run,
                "stopped")
        return self.ok()

    async def renew_lease(self, command):
        for number, task, run_id, how, _ in self.outcomes:
            if number <= command["ack_cursor"] and how == "failed":
                job = self.world.jobs[task.split(".")[0]]
                job.acknowledged.setdefault(job.key(task), set()).add(run_id)
        answer = await super().renew_lease(command)
        await asyncio.sleep(self.world.rng.uniform(0, ANSWER_DELAY_MAX_S))
        return answer


class GangSoak(soak.Soak):
    def __init__(self, options):
        super().__init__(options.seed, options.traffic, False)
        self.options, self.spread_s = options, options.spread
        self.jobs, self.gangs = {}, {}

    async def start(self, folder):
        config = json.loads(json.dumps(soak.CONFIG))
        config["routes"] = [dict(config["routes"][0], name=name,
                                 path_prefix=f"/{name}/", max_attempts=limit)
                            for name, limit in QUEUES.items()]
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        for i in range(WORKERS):
            worker = Worker(f"w{i}", f"r{i // 8}", self.checker, self)
            worker.address = await standin.serve(
                standin.worker_handler(worker))
            self.workers.append(worker)
        for i in range(soak.HOST_COUNT):
            await self.start_host(folder, f"host-{i}")

    async def submit_jobs(self):
        until_s = time.monotonic() + self.options.traffic
        while time.monotonic() < until_s:
            job = Job(self.rng, len(self.jobs) + 1)
            self.jobs[job.name] = job
            status, _ = await soak.call_async(
                self.rng.choice(self.hosts), "POST", job.name, job.body(),
                job.queue)
            if status == 200:
                self.accepted.append(job.name)
            await asyncio.sleep(self.rng.uniform(SUBMIT_MIN_S, SUBMIT_MAX_S))
        self.stopping = True

    async def darken_workers(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            worker = self.rng.choice(self.workers)
            worker.unresponsive = True
            await asyncio.sleep(self.rng.uniform(DARK_MIN_S, DARK_MAX_S))
            worker.unresponsive = False

    async def look_at(self, job):
        """@return: whether the job has ended."""
        status, body = await soak.call_async(self.hosts[0], "GET", job.name,
                                             None, job.queue)
        state = json.loads(body)["state"] if status == 200 else status
        if state == "failed" and not job.has_failed():
            runs = {key: sorted(runs) for key, runs in job.failed.items()}
            self.checker.violations.append(
                f"LOST {job.name} is shown as failed, {job.limit} attempts, "
                f"gang: {job.gang}, runs that have failed: {runs}")
        return state in ("failed", "completed")

    async def run_hosts(self, folder):
        await self.start(folder)
        await asyncio.sleep(1.5)
        loop = asyncio.create_task(self.run_workers())
        faults = [fault() for kind, fault in (
            ("kill", self.kill_planners), ("dark", self.darken_workers))
            if kind in self.options.faults]
        await asyncio.sleep(1.5)
        await asyncio.gather(self.submit_jobs(), *faults)
        pending = [self.jobs[name] for name in self.accepted]
        until_s = time.monotonic() + END_TIMEOUT_S
        while pending and time.monotonic() < until_s:
            pending = [job for job in pending if not await self.look_at(job)]
            await asyncio.sleep(0.5)
        loop.cancel()
        return [job.name for job in pending]


def main():
    stack_dump.register()
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--traffic", type=float, default=10.0)
    parser.add_argument("--spread", type=float, default=1.0)
    parser.add_argument("--faults", type=lambda text: text.split(","),
                        default=[])
    run = GangSoak(parser.parse_args())
    folder = tempfile.mkdtemp(prefix="soak-gangs-")
    pending = asyncio.run(run.run(folder))
    several = sum(len(runs) for job in run.jobs.values()
                  for runs in job.failed.values() if job.gang)
    print(f"{len(run.accepted)} jobs accepted, {several} runs of gangs have "
          f"failed, logs in {folder}", file=sys.stderr)
    for violation in run.checker.violations:
        print("broken:", violation)
    for job in pending:
        print("not ended:", job)
    if run.checker.violations or pending or not run.accepted:
        return 1
    print("kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
