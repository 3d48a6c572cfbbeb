#!/usr/bin/env python3
"""Randomized soak: no job waits beside free workers after the traffic.

  soak_waiting.py SEED [--traffic S] [--finish S] [--check S] [--load FACTOR]
                  [--hosts N] [--workers N] [--faults KINDS] [--busy N]
                  [--timed FACTOR] [--last QUEUE] [--kill S] [--wait S]
                  [--scene rack | reserved | suspect | silent]
                  [--kind gpu | cpu | mem_mb | cores]

Hosts and workers of three data centres, wide gangs that start and end
together, and as much traffic as the workers can just bear.  The traffic ends.
FINISH_S later, and for CHECK_S, no accepted job may stand for --wait S with
nothing running while a step's turn has come, there is room for its waiting
tasks twice over, and under half of the accelerators are in use.  All of this
is judged by what the workers run, and not within CONTACT_S after a fault, or
after a moment when this process did not run.

KINDS, separated by commas: kill term freeze (hosts), busy silent lost (store),
dark crash failing (workers), config, silent-workers silent-store (their open
connections are not answered any more, nor closed; new ones work).  Faults end
before the traffic does.
--scene: a few jobs that lead to such a wait, instead of random ones.
--timed: factor of the share of jobs that run several times, by the clock.
--last: only this queue gets jobs in the last seconds, in a burst.
--kill: the planner's host is killed S after the traffic.
--busy: processes that compute beside.  --kind: of what under half has to be in
use; cases by another kind go to standard error.

With silent connections as the only faults, no lease may lapse.

Prints `kept`; otherwise each job that waited and each other violation, and
exits with 1.  Jobs that waited so before FINISH_S go to standard error.
"""
import argparse
import asyncio
import json
import math
import multiprocessing
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

DATA_CENTRES = ["bole", "merkato", "kality"]
RACK_WORKERS = 8
SPEEDS = [0.8, 1.0, 1.25]
ROOM = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}
HEARTBEAT_MS = 1500
LEASE_MS = 6000
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
REMOTE_FACTOR = 3.0
CONTACT_S = 3.0
EARLY_S = 0.25
FAULTS_END_S = 4.0  # before the traffic does
WAIT_MAX_S = 3.0
LOOK_S = 0.1
PAUSE_S = 0.6  # for so long this process, and each worker, did not run
STEP_S = 0.05
# Kinds of faults, and groups of connections.
SILENT_GROUPS = ["silent-workers", "silent-store"]
LONG_S = 60.0
ACCELERATOR_CPU = 8000
SETTINGS = ("lease_ttl_ms: 6000\nlease_limit_ms: 6000\nstop_ms: 200\n"
            "worker_heartbeat_ms: 1500\ncapacity_notice_ms: 3000\n"
            "key_validity_ms: 5000\nfar_factor: 3\ncpu_share: 0.25\n"
            "connection_limit: 2000\ndescriptor_limit: 4100\n"
            "link_mbps: 1000.0\n")
KEY = f"k%d-{os.getpid()}"  # no other soak's hosts accept it
# Of the queues: jobs per second at load 1, and the jobs' figures.
QUEUES = {
    "wash": {
        "per_s": 0.63, "priority": 1, "max_attempts": 2, "slack_factor": 3.0,
        "target_latency_ms": 1000, "work_s": (8.5, 0.3, 11.0), "steps": 1.2,
        "width": (5.0, 0.8, 30), "cpu": 52000, "mem_mb": 140000,
        "gpu": [1, 2, 4, 8, 8], "gang": 1.0, "same_rack": 0.6, "needs": 0.3,
        "apart": 0.0, "est_off": 0.9, "uneven": 0.3, "error": 0.02,
        "poison": 0.01, "cancel": 0.05, "timed": 0.1, "every_s": 2.0,
        "times": 6},
    "route": {
        "per_s": 1.91, "priority": 0, "max_attempts": 3, "slack_factor": 1.5,
        "target_latency_ms": 250, "work_s": (2.5, 0.5, 8.0), "steps": 1.0,
        "width": (3.4, 0.8, 21), "cpu": 15000, "mem_mb": 31000,
        "gpu": [1, 2, 4, 8, 8], "gang": 1.0, "same_rack": 0.8, "needs": 0.0,
        "apart": 0.0, "est_off": 0.9, "uneven": 0.15, "error": 0.02,
        "poison": 0.0, "cancel": 0.05, "timed": 0.0, "every_s": 4.5,
        "times": 6},
    "settle": {
        "per_s": 0.74, "priority": 2, "max_attempts": 4, "slack_factor": 3.0,
        "target_latency_ms": 3000, "work_s": (6.1, 0.3, 11.0), "steps": 1.3,
        "width": (16.0, 0.8, 94), "cpu": 11000, "mem_mb": 16000, "gpu": [1],
        "gang": 0.0, "same_rack": 0.0, "needs": 0.12, "apart": 0.12,
        "est_off": 0.5, "uneven": 0.15, "error": 0.05, "poison": 0.03,
        "cancel": 0.15, "timed": 0.06, "every_s": 4.5, "times": 8}}
GUARANTEED_SHARES = [0.21, 0.17, 0.13, 0.11]
BURST_FACTOR = 2.5
LAST_BURST_S = 8.0


def draw(rng, mean, spread, largest):
    """A log-normal figure of this mean."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(mean * rng.lognormvariate(-sigma * sigma / 2, sigma), largest)


class Job:
    """A job, what its tasks need, and how long they take."""

    def __init__(self, rng, name, racks, timed_factor):
        self.name = "%016x" % rng.getrandbits(64)
        self.queue, kind = name, QUEUES[name]
        self.key = KEY % rng.randrange(len(GUARANTEED_SHARES))
        self.error_share = 1.0 if rng.random() < kind["poison"] else (
            kind["error"])
        self.is_cancelled = rng.random() < kind["cancel"]
        self.rng, self.uneven = rng, kind["uneven"]
        self.failing_runs = 0  # the first so many runs fail
        self.fails = {}  # task or gang -> ends `failed`
        self.accepted, self.ended = False, False
        self.work_s, self.steps = [], []
        step_count = int(kind["steps"] + rng.random())
        for number in range(step_count):
            work_s = draw(rng, *kind["work_s"])
            step = {"count": max(1, round(draw(rng, *kind["width"]))),
                    "cpu": kind["cpu"], "mem_mb": kind["mem_mb"],
                    "gpu": rng.choice(kind["gpu"]), "estimate_ms": int(
                        1000 * work_s * rng.lognormvariate(
                            0, kind["est_off"]))}
            if rng.random() < kind["gang"]:
                step["gang"] = True
                if rng.random() < kind["same_rack"]:
                    step["same_rack"] = True
            if rng.random() < kind["needs"]:
                if rng.random() < 0.5:
                    step["affinity"] = rng.choice(racks)
                else:
                    step["requirements"] = "a"
            if rng.random() < kind["apart"]:
                step["anti_affinity"] = rng.randint(1, 3)
            if number > 0:
                step["depends_on"] = [number - 1]
            self.work_s.append(work_s)
            self.steps.append(step)
        self.body = {"spec": "x", "phases": self.steps}
        self.draw_times(rng, kind, timed_factor)

    @classmethod
    def of_one_step(cls, rng, name, work_s, **step):
        """A job of the queue that neither fails nor is cancelled."""
        job, kind = cls(rng, name, ["r"], 0), QUEUES[name]
        job.error_share, job.is_cancelled = 0.0, False
        job.work_s, job.steps = [work_s], [dict(
            {"cpu": kind["cpu"], "mem_mb": kind["mem_mb"], "gpu": 1,
             "estimate_ms": int(1000 * work_s)}, **step)]
        job.body["phases"] = job.steps
        return job

    def draw_times(self, rng, kind, timed_factor):
        """Draws whether it runs several times."""
        self.times, self.interval_s, self.start_s = 1, 0, None
        if rng.random() < kind["timed"] * timed_factor:
            self.times = kind["times"]
            self.interval_s = kind["every_s"]
            self.start_s = rng.uniform(1.0, 25.0)  # after it is submitted

    def submit_now(self):
        if self.start_s is not None:
            self.start_s += time.time()
            self.body.update(times=self.times,
                             start_at_ms=int(1000 * self.start_s),
                             interval_ms=int(1000 * self.interval_s))
        return self.body

    def is_due(self, occurrence):
        return self.start_s is None or (
            time.time() >= self.start_s + occurrence * self.interval_s
            + EARLY_S)

    def tasks(self, occurrence, number):
        return [f"{self.name}.{occurrence}.{number}.{index}"
                for index in range(self.steps[number]["count"])]

    def is_done(self, occurrence, number, completed):
        tasks = self.tasks(occurrence, number)
        count = sum(task in completed for task in tasks)
        return count > 0 if self.steps[number].get("gang") else (
            count == len(tasks))

    def waiting_step(self, completed):
        """(occurrence, step) whose turn has come, or None; ended is set if
        all are done."""
        done = True
        for occurrence in range(self.times):
            for number in range(len(self.steps)):
                if not self.is_done(occurrence, number, completed):
                    done = False
                    if self.is_due(occurrence):
                        return occurrence, number
                    break
        self.ended = done
        return None


class GangWorker(standin.Worker):
    """A worker that guards its processors, memory and accelerators.  Members
    of a gang work from when all are there, and end together."""

    def __init__(self, name, rack, checker, world):
        self.world, self.runs, self.speed = world, {}, 1.0
        super().__init__(name, rack, checker)
        self.lease_limit_ms = LEASE_MS
        self.cpus_milli, self.memory_mib = ROOM["cpu"], ROOM["mem_mb"]

    def free(self):
        left = dict(ROOM)
        for run in self.runs.values():
            for kind in left:
                left[kind] -= run.step[kind]
        return left

    def tasks_that_fit(self, step):
        left = self.free()
        return min(left[kind] // step[kind] for kind in left)

    def has_room(self, task):
        return self.tasks_that_fit(self.world.step_of(task)[2]) >= 1

    def add_run(self, task, run_id):
        job, number, step = self.world.step_of(task)
        run = standin.Run(task, run_id, time.monotonic())
        run.step, run.job = step, job
        run.since_s, run.ends_at_s = run.ends_at_s, math.inf
        run.gang = (task.rpartition(".")[0], run_id)
        self.runs[task] = run
        if not step.get("gang"):
            self.set_end(run, [self], job.work_s[number]
                         * self.world.rng.uniform(1, 1 + job.uneven))
            return
        members = self.world.gangs.setdefault(run.gang, {})
        members[task] = (self, run)
        if len(members) == step["count"]:
            workers = [worker for worker, _ in members.values()]
            self.set_end(run, workers, job.work_s[number])
            for _, member in members.values():
                member.work_s, member.ends_at_s = run.work_s, run.ends_at_s
                if member is not run:
                    member.outcome = "done"
            if run.outcome == "failed":  # before the others are done
                run.ends_at_s -= 0.1 * run.work_s

    def draw_outcome(self, job):
        if job.failing_runs > 0:
            job.failing_runs -= 1
            return "failed"
        return ("failed" if self.world.rng.random() < job.error_share
                else "done")

    def set_end(self, run, workers, work_s):
        step = run.step
        racks = {worker.rack for worker in workers}
        if step.get("same_rack") and len(racks) > 1 or (
                step.get("affinity") and racks != {step["affinity"]}):
            work_s *= REMOTE_FACTOR
        run.work_s = work_s / min(worker.speed for worker in workers)
        run.outcome = self.draw_outcome(run.job)
        run.ends_at_s = time.monotonic() + run.work_s

    def percent(self, run):
        return 0 if run.ends_at_s == math.inf else super().percent(run)

    def end_run(self, run, outcome):
        if self.runs.get(run.task) is not run:
            return
        super().end_run(run, outcome)
        if outcome == "lapsed" and self.world.only_silent:
            self.checker.violations.append(f"LAPSED {run.task} on {self.name}")
        if outcome == "failed":
            key = run.gang[0] if run.step.get("gang") else run.task
            run.job.fails[key] = run.job.fails.get(key, 0) + 1
        members = self.world.gangs.pop(run.gang, {})
        for worker, member in members.values():
            worker.end_run(member, "done" if outcome == "done" else "broken")

    def end_due_runs(self):
        now = time.monotonic()
        if self.clock_ms() > self.lease_deadline_ms:
            self.unnoted_count = self.outcome_count
        for run in list(self.runs.values()):
            if self.clock_ms() > self.lease_deadline_ms:
                self.end_run(run, "lapsed")
            elif now >= run.ends_at_s:
                self.end_run(run, "failed" if self.fail_all else run.outcome)
            elif (run.ends_at_s == math.inf
                  and now >= run.since_s + GANG_TIMEOUT_S):
                self.end_run(run, "alone")

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

    def reset(self):
        lost, self.runs = self.runs, {}
        super().reset()
        for run in lost.values():
            for worker, member in self.world.gangs.pop(run.gang, {}).values():
                worker.end_run(member, "broken")


class WaitingSoak(soak.Soak):
    def __init__(self, options):
        super().__init__(options.seed, options.traffic, False)
        self.options = options
        self.jobs, self.gangs, self.calls = {}, {}, []
        # No fault may end a run.
        self.only_silent = options.scene == "silent" or (
            0 < len(options.faults) == sum(
                kind in SILENT_GROUPS for kind in options.faults))
        self.checking = False  # FINISH_S after the traffic
        self.waits_since, self.cases = {}, {}
        self.fault_s = 0.0  # the last moment of a fault
        self.version = 1
        self.begin_s = time.monotonic()
        self.slowest_look_s, self.pauses_s = 0.0, []
        self.longest_wait_s = {False: 0.0, True: 0.0}
        self.low_s = 0.0  # for which under half was in use in the check
        self.use = {}

    def step_of(self, task):
        name, _, number, _ = task.split(".")
        job = self.jobs[name]
        return job, int(number), job.steps[int(number)]

    def config(self):
        room = ROOM["gpu"] * self.options.workers
        routes = [dict({"name": name, "host": "h", "service": "desk",
                        "path_prefix": f"/{name}/"},
                       **{field: kind[field] for field in
                          ("priority", "max_attempts", "slack_factor",
                           "target_latency_ms")})
                  for name, kind in QUEUES.items()]
        shares = list(GUARANTEED_SHARES)
        tenants = [{"name": f"t{i}", "api_keys": [KEY % i],
                    "guaranteed": {"gpu": int(room * share)}}
                   for i, share in enumerate(shares)]
        if self.version > 1:
            # Another queue, other keys and other guarantees than before.
            routes.append(dict(routes[0], name=f"idle{self.version}",
                               path_prefix=f"/idle{self.version}/"))
            for tenant in tenants:
                tenant["api_keys"].append(f"more{self.version}")
                tenant["guaranteed"]["gpu"] = int(
                    tenant["guaranteed"]["gpu"] * self.rng.uniform(0.7, 1.1))
        return json.dumps({
            "version": self.version, "limits": {}, "routes": routes,
            "services": [{"name": "desk", "enforces_capacity": True}],
            "tenants": tenants}).encode()

    async def start(self, folder):
        await self.store.put("keyed.op", "config", self.config())
        for i in range(self.options.workers):
            centre = i % len(DATA_CENTRES)
            rack = f"r{centre}-{i // len(DATA_CENTRES) // RACK_WORKERS}"
            worker = GangWorker(f"w{i}", rack, self.checker, self)
            worker.data_centre = DATA_CENTRES[centre]
            worker.speed = self.rng.choice(SPEEDS)
            worker.address = await standin.serve(
                standin.worker_handler(worker), "silent-workers")
            self.workers.append(worker)
        self.racks = sorted({worker.rack for worker in self.workers})
        for i in range(self.options.hosts):
            name = f"front-{i}"
            store = await standin.serve(standin.store_handler(
                self.store, name), "silent-store")
            host = soak.Host(folder, name, store, False, LEASE_MS,
                             self.checker.violations)
            with open(host.settings_path, encoding="utf-8") as lines:
                kept = [line for line in lines if line.split(":")[0] in (
                    "host", "callers", "readiness", "metrics", "store")]
            with open(host.settings_path, "w", encoding="utf-8") as out:
                out.write("".join(kept) + SETTINGS + "data_centre: "
                          + DATA_CENTRES[i % len(DATA_CENTRES)] + "\n")
            self.hosts.append(host)
            await host.start()

    def plan_traffic(self):
        """Draws the jobs and the times at which they are submitted, with one
        queue more often in bursts."""
        rng = random.Random(self.options.seed)
        if self.options.scene:
            return self.plan_scene(rng)
        scale = self.options.load * self.options.workers / 48
        at_s, burst_until_s, burst, planned = 0.0, 0.0, None, []
        while at_s < self.duration_s:
            if at_s >= burst_until_s:
                burst = rng.choice([None] + list(QUEUES))
                burst_until_s = at_s + rng.uniform(3.0, 6.0)
            is_last = at_s >= self.duration_s - LAST_BURST_S
            for name, kind in QUEUES.items():
                factor = BURST_FACTOR if name == burst else 1.0
                if is_last and self.options.last:
                    factor = BURST_FACTOR * (name == self.options.last)
                if rng.random() < kind["per_s"] * scale * factor * STEP_S:
                    planned.append((at_s, Job(rng, name, self.racks,
                                              self.options.timed)))
            at_s += STEP_S
        return planned

    def plan_scene(self, rng):
        """`rack`: one long task in each rack, then a gang that fills a rack
        and prefers one.  `reserved`: seven in ten workers have no memory
        left; then a gang that needs one more than are idle, then a small
        job.  `suspect`: a gang that fails twice, each time on other
        workers, and has one attempt left.  `silent`: so many starts at once
        that each worker gets several connections, which go silent when half
        of the workers are idle and the others run one long task; then two
        gangs, one after the other."""
        def job(name, work_s, due_s=None, **step):
            made = Job.of_one_step(rng, name, work_s, **step)
            made.start_s = due_s
            return made
        # The last job's turn comes after FINISH_S.
        count, due_s = self.options.workers, self.options.finish + 2.0
        if self.options.scene == "rack":
            return [(0.0, job("wash", LONG_S, count=1, affinity=rack))
                    for rack in self.racks] + [
                (self.duration_s - 1, job(
                    "wash", 2.0, due_s, count=RACK_WORKERS, gang=True,
                    same_rack=True))]
        if self.options.scene == "suspect":
            gang = job("route", 8.0, count=count * 3 // 8, gang=True,
                       gpu=ROOM["gpu"])
            gang.failing_runs = 2
            return [(0.0, gang)]
        if self.options.scene == "silent":
            return [(0.0, job("settle", 1.0, count=7 * count)),
                    (0.0, job("settle", LONG_S, count=count // 2,
                              anti_affinity=1))] + [
                (self.duration_s - 1, job(
                    "route", 1.0, due_s + 5.0 * i, count=count // 4,
                    gang=True, gpu=ROOM["gpu"])) for i in range(2)]
        full = count * 7 // 10
        return [(0.0, job("wash", LONG_S, count=full, anti_affinity=1,
                          mem_mb=ROOM["mem_mb"])),
                (5.0, job("wash", 2.0, count=count - full + 1, gang=True,
                      gpu=ROOM["gpu"])),
                (self.duration_s - 1, job("settle", 2.0, due_s, count=4))]

    async def submit(self, job):
        self.jobs[job.name] = job
        body = job.submit_now()
        for _ in range(3):
            if (await self.call(job, "POST", body))[0] == 200:
                job.accepted = True
                self.accepted.append(job.name)
                break
            await asyncio.sleep(0.5)
        if job.accepted and job.is_cancelled:
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            job.ended = True
            await self.call(job, "DELETE")
        elif job.accepted and self.rng.random() < 0.3:
            await self.call(job, "GET")

    async def call(self, job, method, body=None):
        return await soak.call_async(self.rng.choice(self.hosts), method,
                                     job.name, body, job.queue, job.key)

    async def submit_jobs(self):
        begin_s = time.monotonic()
        for at_s, job in self.plan_traffic():
            await asyncio.sleep(max(0, begin_s + at_s - time.monotonic()))
            self.calls.append(asyncio.create_task(self.submit(job)))
        await asyncio.sleep(max(0, begin_s + self.duration_s
                                - time.monotonic()))

    async def kill_planner(self):
        """Kills the planner's host a while after the traffic."""
        if self.options.kill is not None:
            await asyncio.sleep(self.options.kill)
            planner = self.terms()[-1][1]
            await planner.stop(signal.SIGKILL)
            self.fault_s = time.monotonic()
            await planner.start()

    async def inject_faults(self):
        end_s = time.monotonic() + self.duration_s - FAULTS_END_S
        while self.options.faults and time.monotonic() < end_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.inject_fault()

    async def inject_fault(self, kind=None):
        kind = kind or self.rng.choice(self.options.faults)
        if kind == "config":
            self.faults.append(kind)
            self.version += self.rng.randint(1, 3)
            await self.store.put("keyed.op", "config", self.config())
            return
        if kind in SILENT_GROUPS:
            self.faults.append(kind)
            standin.silence_connections(kind)
            self.fault_s = time.monotonic()
            return
        await super().inject_fault(kind)
        self.fault_s = time.monotonic()

    def is_sound(self, worker):
        return (not worker.unresponsive and worker.state == "ready"
                and time.monotonic() - worker.started_s > CONTACT_S)

    def places(self, job, occurrence, number, sound):
        """How many tasks of the step there is room for, by racks."""
        step, found = job.steps[number], {}
        limit = step.get("anti_affinity", 2 * step["count"])
        prefix = f"{job.name}.{occurrence}.{number}."
        for worker in sound:
            there = sum(task.startswith(prefix) for task in worker.runs)
            found[worker.rack] = found.get(worker.rack, 0) + max(
                0, min(worker.tasks_that_fit(step), limit - there))
        return found

    def has_room_twice(self, job, occurrence, number, sound):
        step = job.steps[number]
        wanted = 2 * (step["count"] if step.get("gang") else 1)
        return sum(self.places(job, occurrence, number,
                               sound).values()) >= wanted

    def measure_use(self, sound):
        """Shares in use of each kind, and of cores where an accelerator counts
        as many."""
        free = [worker.free() for worker in sound]
        self.use = {kind: 1 - sum(left[kind] for left in free)
                    / max(1, len(sound) * ROOM[kind]) for kind in ROOM}
        accelerators = ROOM["gpu"] * ACCELERATOR_CPU
        self.use["cores"] = (
            self.use["cpu"] * ROOM["cpu"] + self.use["gpu"] * accelerators
        ) / (ROOM["cpu"] + accelerators)

    def step_that_waits(self, job, running, sound):
        """The step of the job that could run beside half free workers while
        nothing of the job runs, or None."""
        if not job.accepted or job.ended:
            return None
        if (any(count >= QUEUES[job.queue]["max_attempts"]
                for count in job.fails.values())
                or self.checker.may_be_given_up(job.name)):
            job.ended = True
            return None
        step = job.waiting_step(self.checker.completed)
        if (step is None or job.name in running
                or time.monotonic() < self.fault_s + CONTACT_S
                or min(self.use.values()) >= 0.5
                or not self.has_room_twice(job, *step, sound)):
            return None
        return step

    def look(self):
        now = time.monotonic()
        sound = [worker for worker in self.workers if self.is_sound(worker)]
        self.measure_use(sound)
        running = {task.split(".")[0] for task in self.checker.running}
        for job in self.jobs.values():
            step = self.step_that_waits(job, running, sound)
            for kind, share in self.use.items():
                key = job.name, kind
                if step is not None and share < 0.5:
                    self.waits_since.setdefault(key, (now, step))
                    continue
                case = self.cases.get(key)
                if (self.waits_since.pop(key, None) and case
                        and case["until"] is None):
                    case["until"] = now
                    case["moved"] = job.name in running
        self.low_s += LOOK_S * (self.checking and self.use["gpu"] < 0.5)
        for (name, kind), (since_s, step) in self.waits_since.items():
            case = self.cases.get((name, kind))
            if kind == "gpu":
                self.longest_wait_s[self.checking] = max(
                    self.longest_wait_s[self.checking], now - since_s)
            if now - since_s < self.options.wait or (
                    case and (case["late"] or not self.checking)):
                continue
            others = sum(now - other_s >= self.options.wait and other[1] == kind
                         for other, (other_s, _) in
                         self.waits_since.items()) - 1
            self.cases[(name, kind)] = {
                "job": name, "step": step, "since": since_s,
                "unix": time.strftime(
                    "%H:%M:%S", time.gmtime(time.time() - now + since_s)),
                "others": others, "until": None, "moved": False,
                "late": self.checking, "kind": kind,
                "places": self.places(self.jobs[name], *step, sound),
                "use": {kind: round(share, 2)
                        for kind, share in self.use.items()}}

    async def look_again_and_again(self):
        while True:
            before_s = time.monotonic()
            self.look()
            await asyncio.sleep(LOOK_S)
            look_s = time.monotonic() - before_s
            self.slowest_look_s = max(self.slowest_look_s, look_s)
            if look_s > PAUSE_S:
                # No worker ran for so long; shown, and still judged.
                self.pauses_s.append(
                    round(time.monotonic() - self.begin_s, 1))

    def describe(self, case):
        job, (occurrence, number) = self.jobs[case["job"]], case["step"]
        return (f"by {case['kind']}: job {job.name} of {job.queue} has "
                f"nothing running from {case['unix']} UTC for "
                f"{case['until'] - case['since']:.1f} s, "
                f"step {occurrence}.{number} could run: {json.dumps(job.steps[number])}; "
                f"{case['others']} others, "
                f"{'moved later' if case['moved'] else 'did not move'}; "
                f"use {case['use']}, room by racks {case['places']}")

    async def run(self, folder):
        try:
            await self.run_hosts(folder)
        finally:
            await asyncio.gather(*[host.stop(signal.SIGTERM)
                                   for host in self.hosts if host.process])

    async def run_hosts(self, folder):
        await self.start(folder)
        await asyncio.sleep(1.5)
        loops = [asyncio.create_task(self.run_workers())]
        await asyncio.sleep(2.5)
        for host in self.hosts:
            if host.process.returncode is not None:
                raise RuntimeError(f"{host.name} has ended: {host.log_path}")
        loops.append(asyncio.create_task(self.look_again_and_again()))
        await asyncio.gather(self.submit_jobs(), self.inject_faults())
        self.show("end of the traffic")
        if self.options.scene == "silent":
            await self.inject_fault("silent-workers")
        loops.append(asyncio.create_task(self.kill_planner()))
        await asyncio.sleep(self.options.finish)
        await asyncio.gather(*self.calls)
        self.waits_since.clear()
        self.checking = True
        for _ in range(4):
            self.show("check")
            await asyncio.sleep(self.options.check / 4)
        for loop in loops:
            loop.cancel()
        for case in self.cases.values():
            case["until"] = case["until"] or time.monotonic()

    def show(self, moment):
        left = sum(job.accepted and not job.ended
                   for job in self.jobs.values())
        use = {kind: round(share, 2) for kind, share in self.use.items()}
        print(f"{time.strftime('%H:%M:%S', time.gmtime())} {moment}: {left} "
              f"jobs left, {len(self.checker.running)} tasks run, use {use}",
              file=sys.stderr)


def compute():
    while True:
        pass


def main():
    stack_dump.register()
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--traffic", type=float, default=22.0)
    parser.add_argument("--finish", type=float, default=14.0)
    parser.add_argument("--check", type=float, default=20.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=7)
    parser.add_argument("--workers", type=int, default=48)
    parser.add_argument("--faults", type=lambda text: text.split(","),
                        default=[])
    parser.add_argument("--timed", type=float, default=1.0)
    parser.add_argument("--last", choices=QUEUES)
    parser.add_argument("--kill", type=float)
    parser.add_argument("--scene", choices=["rack", "reserved", "suspect", "silent"])
    parser.add_argument("--kind", default="gpu")
    parser.add_argument("--wait", type=float, default=WAIT_MAX_S)
    parser.add_argument("--busy", type=int, default=0)
    options = parser.parse_args()
    standin.HEARTBEAT_MS, standin.POLL_STEP_S = HEARTBEAT_MS, 0.03
    soak.HEARTBEAT_STEPS = round(HEARTBEAT_MS / 1000 / soak.WORKER_STEP_S)
    busy = [multiprocessing.Process(target=compute, daemon=True)
            for _ in range(options.busy)]
    for process in busy:
        process.start()
    run = WaitingSoak(options)
    folder = tempfile.mkdtemp(prefix=f"soak-waiting-{options.seed}-")
    asyncio.run(run.run(folder))
    for process in busy:
        process.terminate()
    print(f"seed {options.seed}: {len(run.accepted)} of {len(run.jobs)} jobs "
          f"accepted, {len(run.checker.completed)} tasks done, slowest look "
          f"{run.slowest_look_s:.2f} s, pauses of the workers at "
          f"{run.pauses_s}, longest wait "
          f"{run.longest_wait_s[False]:.1f} s, in the check "
          f"{run.longest_wait_s[True]:.1f} s, under half in use for "
          f"{run.low_s:.1f} s of it, faults: " + " ".join(run.faults),
          file=sys.stderr)
    late = [case for case in run.cases.values()
            if case["late"] and case["kind"] == options.kind]
    for case in run.cases.values():
        if case not in late:
            print("after:" if case["late"] else "before:",
                  run.describe(case), file=sys.stderr)
    for case in late:
        print("waited:", run.describe(case))
    for violation in run.checker.violations:
        print("broken:", violation)
    if late or run.checker.violations or not run.accepted:
        print("logs in", folder)
        return 1
    print(folder, file=sys.stderr)
    print("kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
