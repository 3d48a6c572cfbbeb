#!/usr/bin/env python3
"""Randomized soak: real hosts, a stand-in of the platform, random faults.

  soak.py SEED [DURATION_S [unread | release | deadly | takeovers | cuts |
                            late | idle | reborn | forget | evacuate]]

With `unread`, the hosts write to a pipe that nobody reads: a full pipe must
not stop them.  With `release`, the workers are replaced one after the other
while all connections to them and to the store are reset again and again and
hosts are killed; each caller of a host that runs on gets a whole answer.  With
`deadly`, the first task of some jobs crashes each worker that starts it, the
workers do not guard their capacity, and it shrinks and grows again.  With
`takeovers`, the planner's host is killed again and again, as soon as the next
planner holds rounds; each kill must lead to one takeover.  With `cuts`, hosts,
the planner's first, and workers are cut off together from the store and all
others, again and again, and runs outlast the leases.  With `late`, most workers'
clocks are 2% slow, no job comes for IDLE_S, and then many starts are
carried out late and without an answer.  With `idle`, there are no faults and
the clocks are the same: after IDLE_S without work no start may be refused as
late.  With `reborn`, workers crash and start again under their id while some
calls of all kinds are carried out seconds late, and the planner's host is
killed or frozen meanwhile.  With `forget`, the store drops its history again
and again, so that all hosts load the topics anew, in many small pages, while
it loses answers and the planner's host is killed, frozen or cut off.  With
`evacuate`, the workers are in three data centres, which are closed for new work
and opened again, one or more at once and some by odd records, while the
planner's host is killed, frozen or cut off from the store, and the store is
busy, silent, drops its history or loses answers.

Prints `kept` if there is no violation.  Otherwise prints each one and exits
with 1: a task ran twice at once, a task started after its success, which was
acknowledged then or later, a task that crashes workers was started too often, a
start took a worker over its capacity, a start was refused as late without a
fault (`idle`), started in a data centre that had been closed for CLOSING_MS
(`evacuate`), an accepted job did not complete or is unknown, a planner was
not followed by one other within TAKEOVER_MAX_S, or no job was accepted.
"""
import asyncio
import fcntl
import http.client
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.error
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import stack_dump  # noqa: E402

HOST_COUNT = 3
WORKER_COUNT = 6
RUN_S = 0.4
WORKER_STEP_S = 0.05
HEARTBEAT_STEPS = round(standin.HEARTBEAT_MS / 1000 / WORKER_STEP_S)
# With `deadly`: share of the jobs, and a time of work that is longer than that
# in which a crash is taken for the fault of a task that has just started.
DEADLY_SHARE = 0.1
DEADLY_RUN_S = 1.0
LEASE_MS = 2000
# With `cuts`: a run outlasts a lease, a takeover and most cuts; and as many
# tasks as the workers can take beside the cuts.
CUT_RUN_S = 6.0
CUT_MAX_S = 9.0
CUT_SUBMIT_MIN_S, CUT_SUBMIT_MAX_S = 0.4, 1.2
TAKEOVER_MAX_S = 2.0
# With `late` and `idle`.  A clock that is 2% slow is 0.8 s behind after 40 s,
# which is most of the time for which a start without an answer is valid.
IDLE_S = float(os.environ.get("IDLE_S", "40"))
SLOWEST_CLOCK = 0.98
LATE_SHARE = 0.5
LATE_MIN_S, LATE_MAX_S = 1.5, 2.2
# With `reborn`, of the calls of all kinds.
REBORN_LATE_SHARE = 0.15
REBORN_LATE_MIN_S, REBORN_LATE_MAX_S = 0.3, 3.0
REBORN_CRASH_MIN_S, REBORN_CRASH_MAX_S = 0.1, 0.6
REBORN_KILL_SHARE = float(os.environ.get("REBORN_KILL_SHARE", "0.1"))
# With `forget`: a load takes some tenths of a second.
FORGET_MIN_S, FORGET_MAX_S = 0.2, 1.2
FORGET_PAGE_ITEMS, FORGET_PAGE_S = 40, 0.02
FORGET_LOST_SHARE = 0.2
FORGET_HIDDEN_MAX_S = 1.2  # the planner is taken for silent after 0.5 s
FORGET_FAULT_SHARE = 0.6
# With `evacuate`: some closings outlast the time after which nothing may start,
# and some runs outlast that.
CLOSED_MIN_S, CLOSED_MAX_S = 0.1, 8.0
CLOSED_PAUSE_MAX_S = 1.0
CLOSED_RUN_MIN_S, CLOSED_RUN_MAX_S = 0.2, 5.0
CLOSED_FAULT_MAX_S = 5.0
CLOSED_VALUES = [b"{}", b"{}", b"{}", b"x", b'{"zone":7}']
# Polls are answered when a run ends, so that a start is given up soon.
LATE_RUN_MIN_S, LATE_RUN_MAX_S = 0.2, 1.4
# Long enough for a lease to lapse, for takeovers and for the queued work.  The
# time of the status calls comes on top.
COMPLETION_TIMEOUT_S = 25

# A host ends in shutdown_ms, 5 s by default, after SIGTERM.
STOP_MAX_S = 30.0

# Statuses of calls without a status.
NO_WHOLE_ANSWER = 0
NO_CONNECTION = -1

LISTEN_PORTS = (20000, 32000)

BUILD = os.environ.get("BUILD", "build")


reserved_sockets = []


def reserve_port():
    """Returns a port that no outgoing connection takes, for it is below the
    kernel's range for these, and that no other soak reserves until this
    process ends: a socket that does not listen stays bound to it, beside which
    only a socket with SO_REUSEADDR, such as that of a host, may be bound."""
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORTS)
        reserved = socket.socket()
        try:
            reserved.bind(("127.0.0.1", port))
        except OSError:
            reserved.close()
            continue
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved_sockets.append(reserved)
        return port


def unread_pipe():
    """Returns the write end of a pipe that the first few lines fill."""
    _, write = os.pipe()
    fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, 4096)
    return write


class Host:
    """A process of the daemon.  violations: list to which it is added if the
    daemon does not end in time."""

    def __init__(self, folder, name, store, unread, limit_ms, violations,
                 closing_ms=0):
        self.violations = violations
        self.name, self.port = name, reserve_port()
        self.settings_path = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.output = unread_pipe() if unread else open(self.log_path, "ab")
        with open(self.settings_path, "w", encoding="utf-8") as out:
            out.write(f"host: {name}\ndata_centre: dc\n"
                      f"callers: 127.0.0.1:{self.port}\n"
                      f"readiness: 127.0.0.1:{reserve_port()}\n"
                      f"metrics: 127.0.0.1:{reserve_port()}\n"
                      f"store: {store}\nlease_ttl_ms: {LEASE_MS}\n"
                      f"lease_limit_ms: {limit_ms}\n"
                      f"worker_heartbeat_ms: {standin.HEARTBEAT_MS}\n"
                      f"capacity_notice_ms: {standin.CAPACITY_NOTICE_MS}\n"
                      f"closing_ms: {closing_ms}\n")
        self.process = None
        self.stops = 0  # times that it was stopped or killed
        self.being_killed = False  # and its sockets may still be there

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            f"{BUILD}/bin/foxtailgap-hostd", "--settings", self.settings_path,
            stdout=self.output, stderr=self.output)

    async def stop(self, signal_number):
        self.stops += 1
        if self.process.returncode is None:
            self.being_killed = signal_number == signal.SIGKILL
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal_number)
            await self.wait_until_ended(signal_number)
            self.being_killed = False

    async def wait_until_ended(self, signal_number):
        ended = asyncio.create_task(self.process.wait())
        await asyncio.wait([ended], timeout=STOP_MAX_S)
        if not ended.done():
            self.violations.append(
                f"{self.name} has not ended {STOP_MAX_S} s after signal "
                f"{signal_number}")
            self.process.kill()
        await ended


def call(host, method, job, body=None, queue="q", key="k"):
    request = urllib.request.Request(
        f"http://127.0.0.1:{host.port}/{queue}/{job}", method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Host": "h", "Foxtailgap-Credential": key,
                 "Foxtailgap-Deadline-Ms": "2000"})
    try:
        with urllib.request.urlopen(request, timeout=3) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, b""
    except (OSError, http.client.HTTPException) as error:
        refused = isinstance(getattr(error, "reason", None),
                             ConnectionRefusedError)
        return (NO_CONNECTION if refused else NO_WHOLE_ANSWER), b""


async def call_async(*arguments):
    return await asyncio.get_running_loop().run_in_executor(
        None, call, *arguments)


CONFIG = {
    "version": 1, "limits": {}, "routes": [
        {"name": "r", "host": "h", "path_prefix": "/q/", "priority": 1,
         "service": "desk", "max_attempts": 50, "slack_factor": 3.0}],
    "services": [{"name": "desk", "enforces_capacity": True}],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 8}}]}


class Soak:
    def __init__(self, seed, duration_s, unread):
        self.output_unread = unread
        self.may_be_silent = True  # hosts are frozen, the store is silent
        self.rng = random.Random(seed)
        self.duration_s = duration_s
        self.store = standin.Store()
        self.store.rng = random.Random(seed + 1)
        self.checker = standin.RunChecker(RUN_S, 0)
        self.accepted, self.faults = [], []
        self.hosts, self.workers = [], []
        self.stopping = False
        self.release = False
        self.deadly = False
        self.takeovers = False
        self.cuts = False
        self.late = False
        self.idle = False
        self.reborn = False
        self.forget = False
        self.evacuate = False
        self.late_share = 0.0
        self.paths = standin.Paths()
        self.deadly_jobs = set()

    async def start(self, folder):
        config = json.loads(json.dumps(CONFIG))
        if self.deadly:
            config["services"][0]["enforces_capacity"] = False
            self.checker.work_s = DEADLY_RUN_S
        if self.cuts:
            self.checker.work_s = CUT_RUN_S
        if self.late or self.reborn:
            self.checker.draw_work_s = lambda: self.rng.uniform(
                LATE_RUN_MIN_S, LATE_RUN_MAX_S)
        if self.evacuate:
            self.checker.draw_work_s = lambda: self.rng.uniform(
                CLOSED_RUN_MIN_S, CLOSED_RUN_MAX_S)
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        for i in range(WORKER_COUNT):
            worker = standin.Worker(f"w{i}", f"r{i // 3}", self.checker)
            worker.guards_capacity = not self.deadly
            if self.evacuate:
                worker.data_centre = f"dc-{i % 3}"
            if self.late or self.idle:
                worker.clock_rate = SLOWEST_CLOCK if i > 0 else 1.0
                worker.delay_start = self.delay_start
            if self.reborn:
                worker.delay_start = worker.delay_other = self.delay_call
                worker.calls_outlive_process = False
                worker.counts_lost_outcomes = True
            worker.address = await standin.serve(
                standin.worker_handler(worker))
            self.workers.append(worker)
        for i in range(HOST_COUNT):
            await self.start_host(folder, f"host-{i}")

    async def start_host(self, folder, name):
        """Starts a host with paths of its own to the store and the workers."""
        store = await standin.serve(self.paths.wrap(
            (name, standin.STORE), standin.store_handler(self.store, name)))
        addresses = self.store.addresses.setdefault(name, {})
        if self.cuts:
            for worker in self.workers:
                worker.lease_limit_ms = LEASE_MS
                addresses[worker.address] = await standin.serve(
                    self.paths.wrap((name, worker.name),
                                    standin.worker_handler(worker)))
        limit_ms = LEASE_MS if self.cuts else standin.LEASE_LIMIT_MS
        self.hosts.append(Host(folder, name, store, self.output_unread,
                               limit_ms, self.checker.violations,
                               standin.CLOSING_MS if self.evacuate else 0))
        await self.hosts[-1].start()

    async def run_workers(self):
        sequence = 0
        while True:
            for worker in self.workers:
                worker.end_due_runs()
                if (not worker.unresponsive and not worker.cut_off
                        and sequence % HEARTBEAT_STEPS == 0):
                    await self.store.put(
                        "keyed.servers", worker.name,
                        worker.catalog_record(worker.address, sequence))
            sequence += 1
            await asyncio.sleep(WORKER_STEP_S)

    async def call_checked(self, method, job, body=None):
        """Calls a random host; a host that runs on must answer."""
        host = self.rng.choice(self.hosts)
        stops, killed = host.stops, host.being_killed
        status, _ = await call_async(host, method, job, body)
        if (status == NO_WHOLE_ANSWER and host.stops == stops and not killed
                and not self.may_be_silent):
            self.checker.violations.append(
                f"no whole answer to {method} {job} from {host.name}")
        return status

    async def submit_jobs(self):
        number = 0
        while not self.stopping:
            number += 1
            job = "%016x" % number
            gang = self.rng.random() < 0.5
            phases = [{"count": self.rng.randint(1, 4), "cpu": 1000,
                       "mem_mb": 1000, "gpu": 1, "estimate_ms": 400,
                       "gang": gang}]
            if self.rng.random() < 0.3:
                phases.append(dict(phases[0], depends_on=[0]))
            if number == 1 and (self.late or self.idle):
                # All workers are idle: as many starts as they can take.
                phases = [dict(phases[0], gang=False,
                               count=WORKER_COUNT
                               * standin.WORKER_ACCELERATORS)]
            text = "x"
            # The stand-in's gangs do not end together.
            if self.deadly and not gang and self.rng.random() < DEADLY_SHARE:
                text = standin.DEADLY_SPEC
                self.deadly_jobs.add(job)
            body = {"spec": text, "phases": phases}
            status = await self.call_checked("POST", job, body)
            if status == 200:
                self.accepted.append(job)
                if self.rng.random() < 0.3:  # the same again, elsewhere
                    await self.call_checked("POST", job, body)
            if self.cuts:
                await asyncio.sleep(self.rng.uniform(CUT_SUBMIT_MIN_S,
                                                     CUT_SUBMIT_MAX_S))
            else:
                await asyncio.sleep(self.rng.uniform(0.02, 0.15))

    async def inject_fault(self, kind=None):
        """Injects one fault, by default of a random kind; all but crash last
        for a random time.

        Of a host: kill (SIGKILL), term (SIGTERM), freeze (SIGSTOP).  Of the
        store: busy, silent (no answers), lost (answers lost).  Of a worker:
        dark (unresponsive), crash (restarts without its runs), failing (all
        runs fail).
        """
        kind = kind or self.rng.choice(
            ["kill", "term", "freeze", "busy", "silent", "lost", "dark",
             "crash", "failing"])
        self.faults.append(kind)
        host = self.rng.choice(self.hosts)
        worker = self.rng.choice(self.workers)
        pause_s = self.rng.uniform(0.3, 2.5)
        if kind in ("kill", "term"):
            await host.stop(signal.SIGKILL if kind == "kill"
                           else signal.SIGTERM)
            await asyncio.sleep(pause_s / 3)
            await host.start()
        elif kind == "freeze":
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            host.process.send_signal(signal.SIGCONT)
        elif kind in ("busy", "silent"):
            self.store.outage = kind
            await asyncio.sleep(pause_s)
            self.store.outage = None
        elif kind == "lost":
            self.store.lost_answer_share = 0.3
            await asyncio.sleep(pause_s)
            self.store.lost_answer_share = 0.0
        elif kind == "dark":
            worker.unresponsive = True
            await asyncio.sleep(pause_s)
            worker.unresponsive = False
        elif kind == "crash":
            worker.crash()
        else:
            worker.fail_all = True
            await asyncio.sleep(pause_s)
            worker.fail_all = False

    async def replace_workers(self):
        """Replaces the workers one after the other, as a release does."""
        number = len(self.workers)
        while not self.stopping:
            old = self.workers[0]
            old.state = "draining"
            await asyncio.sleep(self.rng.uniform(0.3, 0.6))
            self.workers.remove(old)
            old.leave()
            await self.store.put("keyed.servers", old.name, b"")
            worker = standin.Worker(f"w{number}", old.rack, self.checker)
            worker.address = await standin.serve(
                standin.worker_handler(worker))
            self.workers.append(worker)
            number += 1

    async def reset_and_kill(self):
        """Resets all connections to store and workers again and again, and
        meanwhile kills or stops one host after the other."""
        while not self.stopping:
            for _ in range(4):
                standin.reset_connections()
                await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            host = self.rng.choice(self.hosts)
            await host.stop(self.rng.choice([signal.SIGKILL, signal.SIGTERM]))
            standin.reset_connections()
            await host.start()
            await asyncio.sleep(0.8)

    async def change_capacities(self):
        """Shrinks one worker after the other for a while."""
        while not self.stopping:
            worker = self.rng.choice(self.workers)
            worker.set_capacity(self.rng.randint(0, 4))
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            worker.set_capacity(standin.WORKER_ACCELERATORS)

    def terms(self):
        """Returns (term, host) of each term whose planner held rounds."""
        found = []
        for host in self.hosts:
            term = 0
            with open(host.log_path, encoding="utf-8") as log:
                for line in log:
                    if 'msg="This host is the planner."' in line:
                        term = int(line.split(" term=")[1].split()[0])
                    elif "rounds begin." in line:
                        found.append((term, host))
        return sorted(found, key=lambda pair: pair[0])

    async def kill_planners(self):
        """Kills the planner's host once it holds rounds, again and again."""
        while not self.stopping:
            terms = self.terms()
            planner = terms[-1][1]
            await planner.stop(signal.SIGKILL)
            killed_s = time.monotonic()
            while len(self.terms()) == len(terms):
                if time.monotonic() - killed_s > TAKEOVER_MAX_S:
                    self.checker.violations.append(
                        f"no planner {TAKEOVER_MAX_S} s after a kill")
                    break
                await asyncio.sleep(0.02)
            await planner.start()
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            if len(self.terms()) > len(terms) + 1:
                self.checker.violations.append(
                    f"{len(self.terms()) - len(terms)} terms after a kill")

    def cut_off(self, hosts, workers):
        """Cuts these hosts and workers off from the store and all others.
        Returns the paths that it has cut."""
        paths = {(host.name, standin.STORE) for host in hosts}
        for host in self.hosts:
            for worker in self.workers:
                if (host in hosts) != (worker in workers):
                    paths.add((host.name, worker.name))
        for worker in workers:
            worker.cut_off = True
        new = paths - self.paths.cut
        self.paths.cut |= new
        return new

    async def cut_again_and_again(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            terms = self.terms()
            planner = terms[-1][1] if terms else self.hosts[0]
            hosts = [planner] if self.rng.random() < 0.8 else []
            workers = self.rng.sample(self.workers, self.rng.randint(1, 3))
            cut = self.cut_off(hosts, workers)
            await asyncio.sleep(self.rng.uniform(1.0, CUT_MAX_S))
            self.paths.cut -= cut
            for worker in workers:
                worker.cut_off = False

    def delay_start(self):
        """How late a start is carried out; None: at once."""
        if self.rng.random() >= self.late_share:
            return None
        return self.rng.uniform(LATE_MIN_S, LATE_MAX_S)

    def delay_call(self):
        """The same for all calls, with `reborn`."""
        if self.rng.random() >= self.late_share:
            return None
        return self.rng.uniform(REBORN_LATE_MIN_S, REBORN_LATE_MAX_S)

    async def crash_workers(self):
        """Restarts workers, and at times kills or freezes the planner."""
        self.late_share = REBORN_LATE_SHARE
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(REBORN_CRASH_MIN_S,
                                                 REBORN_CRASH_MAX_S))
            self.rng.choice(self.workers).crash()
            terms = self.terms()
            if self.rng.random() >= REBORN_KILL_SHARE or not terms:
                continue
            planner = terms[-1][1]
            if self.rng.random() < 0.5:
                await planner.stop(signal.SIGKILL)
                await planner.start()
            else:
                planner.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.3, 2.5))
                planner.process.send_signal(signal.SIGCONT)

    async def close_data_centres(self):
        """Closes data centres, and opens them again."""
        names = sorted({worker.data_centre for worker in self.workers})
        while not self.stopping:
            some = self.rng.sample(names, self.rng.choice([1, 1, 1, 2, 2, 3]))
            self.faults.append("closed " + "+".join(some))
            for name in some:
                await self.store.close(name, self.checker,
                                       self.rng.choice(CLOSED_VALUES))
                if self.rng.random() < 0.3:  # by the way, an odd record
                    await self.store.put("keyed.op", "evacuate/", b"{}")
                await asyncio.sleep(self.rng.uniform(0, 0.5))
            await asyncio.sleep(self.rng.uniform(CLOSED_MIN_S, CLOSED_MAX_S))
            for name in some:
                await self.store.close(name, self.checker, None)
            await asyncio.sleep(self.rng.uniform(0, CLOSED_PAUSE_MAX_S))

    async def trouble_planners(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            terms = self.terms()
            planner = terms[-1][1] if terms else self.hosts[0]
            kind = self.rng.choice(["kill", "freeze", "cut", "forget", "busy",
                                    "silent", "lost"])
            pause_s = self.rng.uniform(0.3, CLOSED_FAULT_MAX_S)
            if kind in ("busy", "silent", "lost"):
                await self.inject_fault(kind)
                continue
            self.faults.append(kind)
            if kind == "kill":
                await planner.stop(signal.SIGKILL)
                await planner.start()
            elif kind == "freeze":
                planner.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                planner.process.send_signal(signal.SIGCONT)
            elif kind == "cut":
                path = (planner.name, standin.STORE)
                self.paths.cut.add(path)
                await asyncio.sleep(pause_s)
                self.paths.cut.remove(path)
            else:
                self.store.drop_history()

    async def drop_history(self):
        """Drops the store's history, and at times takes the planner away."""
        self.store.newest_items_max = FORGET_PAGE_ITEMS
        self.store.page_s = FORGET_PAGE_S
        while not self.stopping:
            self.store.lost_answer_share = FORGET_LOST_SHARE
            await asyncio.sleep(self.rng.uniform(FORGET_MIN_S, FORGET_MAX_S))
            self.store.reads_hidden = True
            await asyncio.sleep(self.rng.uniform(0, FORGET_HIDDEN_MAX_S))
            self.store.drop_history()
            self.store.reads_hidden = False
            terms = self.terms()
            if self.rng.random() >= FORGET_FAULT_SHARE or not terms:
                continue
            planner = terms[-1][1]
            kind = self.rng.choice(["kill", "freeze", "cut", "lost"])
            pause_s = self.rng.uniform(0.3, 1.5)
            self.faults.append(kind)
            if kind == "kill":
                await planner.stop(signal.SIGKILL)
                await planner.start()
            elif kind == "freeze":
                planner.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                planner.process.send_signal(signal.SIGCONT)
            elif kind == "cut":
                path = (planner.name, standin.STORE)
                self.paths.cut.add(path)
                await asyncio.sleep(pause_s)
                self.store.drop_history()
                self.paths.cut.remove(path)
            else:
                self.store.lost_answer_share = 0.7
                await asyncio.sleep(pause_s)
        self.store.lost_answer_share = 0.0

    async def stay_idle(self):
        """Lets IDLE_S pass without work."""
        polls = sum(worker.poll_count for worker in self.workers)
        await asyncio.sleep(IDLE_S)
        polls = sum(worker.poll_count for worker in self.workers) - polls
        self.faults.append(f"idle {IDLE_S:.0f} s, {polls} polls")
        self.late_share = LATE_SHARE if self.late else 0.0

    async def inject_faults(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.inject_fault()

    def is_expected_end(self, job, state):
        if job in self.deadly_jobs:
            return state == "failed"
        return state == "completed" or (
            state == "failed" and self.checker.may_be_given_up(job))

    async def wait_until_completed(self):
        """Waits until the first host reports all accepted jobs as completed.

        A deadly job has to fail instead, and a job may fail under a task of
        which two workers have crashed.

        Returns (job, status, body) of each job not completed in time.
        """
        pending = list(self.accepted)
        for _ in range(COMPLETION_TIMEOUT_S * 2):
            incomplete = []
            for job in pending:
                status, body = await call_async(self.hosts[0], "GET", job)
                state = json.loads(body)["state"] if status == 200 else None
                if not self.is_expected_end(job, state):
                    incomplete.append((job, status, body.decode()))
            pending = [job for job, _, _ in incomplete]
            if not pending:
                return []
            await asyncio.sleep(0.5)
        return incomplete

    async def run(self, folder):
        try:
            return await self.run_hosts(folder)
        finally:
            for host in self.hosts:
                if host.process:
                    await host.stop(signal.SIGTERM)

    async def run_hosts(self, folder):
        await self.start(folder)
        await asyncio.sleep(1.5)
        worker_loop = asyncio.create_task(self.run_workers())
        if self.late or self.idle:
            await asyncio.sleep(1.5)  # until the workers have been polled
            await self.stay_idle()
        tasks = [asyncio.create_task(self.submit_jobs())]
        if self.takeovers:
            tasks.append(asyncio.create_task(self.kill_planners()))
        elif self.cuts:
            tasks.append(asyncio.create_task(self.cut_again_and_again()))
        elif self.forget:
            tasks.append(asyncio.create_task(self.drop_history()))
        elif self.evacuate:
            tasks += [asyncio.create_task(self.close_data_centres()),
                      asyncio.create_task(self.trouble_planners())]
        elif self.reborn:
            tasks.append(asyncio.create_task(self.crash_workers()))
        elif self.release:
            tasks += [asyncio.create_task(self.replace_workers()),
                      asyncio.create_task(self.reset_and_kill())]
        elif not self.late and not self.idle:
            tasks.append(asyncio.create_task(self.inject_faults()))
        if self.deadly:
            tasks += [asyncio.create_task(self.change_capacities())
                      for _ in range(3)]
        await asyncio.sleep(self.duration_s)
        self.stopping = True
        self.late_share = 0.0
        await asyncio.gather(*tasks)
        incomplete = await self.wait_until_completed()
        worker_loop.cancel()
        refused = sum(worker.late_count for worker in self.workers)
        self.faults.append(f"{refused} starts refused as late")
        if self.idle and refused > 0:
            self.checker.violations.append(
                f"{refused} starts refused as late without a fault")
        return incomplete


def main():
    stack_dump.register()
    seed = int(sys.argv[1])
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    soak = Soak(seed, duration_s, "unread" in sys.argv[3:])
    soak.release = "release" in sys.argv[3:]
    soak.deadly = "deadly" in sys.argv[3:]
    soak.takeovers = "takeovers" in sys.argv[3:]
    soak.cuts = "cuts" in sys.argv[3:]
    soak.late = "late" in sys.argv[3:]
    soak.idle = "idle" in sys.argv[3:]
    soak.reborn = "reborn" in sys.argv[3:]
    soak.forget = "forget" in sys.argv[3:]
    soak.evacuate = "evacuate" in sys.argv[3:]
    soak.may_be_silent = not soak.release
    folder = tempfile.mkdtemp(prefix="soak-")
    incomplete = asyncio.run(soak.run(folder))
    print(f"seed {seed}: {len(soak.accepted)} jobs accepted, "
          f"{len(soak.checker.completed)} tasks done, faults: "
          + " ".join(soak.faults), file=sys.stderr)
    for violation in soak.checker.violations:
        print("broken:", violation)
    for job, status, body in incomplete:
        print("not completed:", job, status, body)
    if soak.checker.violations or incomplete or not soak.accepted:
        print("logs in", folder)
        return 1
    print("kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
