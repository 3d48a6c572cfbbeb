#!/usr/bin/env python3
"""Randomized soak: real hosts, a stand-in of the platform, random faults.

  soak.py SEED [DURATION_S [unread]]

With `unread`, nobody reads what the hosts write to standard output.

Prints what was seen, and exits with 1 if a promise was broken: a task ran
twice at once or after its end was noted, an accepted job did not complete, or
was not known.
"""
import asyncio
import fcntl
import json
import os
import random
import signal
import socket
import sys
import tempfile
import urllib.error
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402

HOSTS = 3
WORKERS = 6
WORK_S = 0.4
LEASE_MS = 2000
SETTLE_S = 25  # a lease, takeovers, and the work that waits

BUILD = os.environ.get("BUILD", "build")


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def unread_pipe():
    """A pipe that is full after the first few lines."""
    _, write = os.pipe()
    fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, 4096)
    return write


class Host:
    def __init__(self, folder, name, store, unread):
        self.name, self.port = name, free_port()
        self.path = os.path.join(folder, name + ".yaml")
        self.log = unread_pipe() if unread else open(
            os.path.join(folder, name + ".log"), "ab")
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(f"host: {name}\ndata_centre: dc\n"
                      f"callers: 127.0.0.1:{self.port}\n"
                      f"readiness: 127.0.0.1:{free_port()}\n"
                      f"metrics: 127.0.0.1:{free_port()}\n"
                      f"store: {store}\nlease_ttl_ms: {LEASE_MS}\n")
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            f"{BUILD}/bin/foxtailgap-hostd", "--settings", self.path,
            stdout=self.log, stderr=self.log)

    async def end(self, number):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
            await self.process.wait()


def call(host, method, job, body=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{host.port}/q/{job}", method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Host": "h", "Foxtailgap-Credential": "k",
                 "Foxtailgap-Deadline-Ms": "2000"})
    try:
        with urllib.request.urlopen(request, timeout=3) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, b""
    except OSError:
        return 0, b""


async def ask(host, method, job, body=None):
    return await asyncio.get_running_loop().run_in_executor(
        None, call, host, method, job, body)


CONFIG = {
    "version": 1, "limits": {}, "routes": [
        {"name": "r", "host": "h", "path_prefix": "/q/", "priority": 1,
         "service": "desk", "max_attempts": 50, "slack_factor": 3.0}],
    "services": [{"name": "desk", "enforces_capacity": True}],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 8}}]}


class Soak:
    def __init__(self, seed, duration_s, unread):
        self.unread = unread
        self.chance = random.Random(seed)
        self.duration_s = duration_s
        self.store = standin.Store()
        self.store.chance = random.Random(seed + 1)
        self.world = standin.World(WORK_S, 0)
        self.accepted, self.faults = [], []
        self.hosts, self.workers = [], []
        self.over = False

    async def begin(self, folder):
        address = await standin.serve(standin.store_handler(self.store))
        await self.store.put("keyed.op", "config", json.dumps(CONFIG).encode())
        for i in range(WORKERS):
            worker = standin.Worker(f"w{i}", f"r{i // 3}", self.world)
            worker.address = await standin.serve(
                standin.worker_handler(worker))
            self.workers.append(worker)
        for i in range(HOSTS):
            self.hosts.append(Host(folder, f"host-{i}", address, self.unread))
            await self.hosts[-1].start()

    async def tend_workers(self):
        sequence = 0
        while not self.over:
            for worker in self.workers:
                worker.tick()
                if not worker.dark and sequence % 10 == 0:
                    await self.store.put(
                        "keyed.servers", worker.name,
                        worker.entry(worker.address, sequence))
            sequence += 1
            await asyncio.sleep(0.05)

    async def hand_in(self):
        number = 0
        while not self.over:
            number += 1
            job = "%016x" % number
            gang = self.chance.random() < 0.5
            phases = [{"count": self.chance.randint(1, 4), "cpu": 1000,
                       "mem_mb": 1000, "gpu": 1, "estimate_ms": 400,
                       "gang": gang}]
            if self.chance.random() < 0.3:
                phases.append(dict(phases[0], depends_on=[0]))
            status, _ = await ask(self.chance.choice(self.hosts), "POST", job,
                                  {"spec": "x", "phases": phases})
            if status == 200:
                self.accepted.append(job)
            await asyncio.sleep(self.chance.uniform(0.02, 0.15))

    async def fault(self):
        kind = self.chance.choice(
            ["kill", "term", "freeze", "busy", "silent", "lost", "dark",
             "crash", "failing"])
        self.faults.append(kind)
        host = self.chance.choice(self.hosts)
        worker = self.chance.choice(self.workers)
        pause_s = self.chance.uniform(0.3, 2.5)
        if kind in ("kill", "term"):
            await host.end(signal.SIGKILL if kind == "kill"
                           else signal.SIGTERM)
            await asyncio.sleep(pause_s / 3)
            await host.start()
        elif kind == "freeze":
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            host.process.send_signal(signal.SIGCONT)
        elif kind in ("busy", "silent"):
            self.store.away = kind
            await asyncio.sleep(pause_s)
            self.store.away = None
        elif kind == "lost":
            self.store.lost_share = 0.3
            await asyncio.sleep(pause_s)
            self.store.lost_share = 0.0
        elif kind == "dark":
            worker.dark = True
            await asyncio.sleep(pause_s)
            worker.dark = False
        elif kind == "crash":
            for run in list(worker.runs.values()):
                self.world.stopped(run.task, run.number)
            worker.born()
        else:
            worker.fail_all = True
            await asyncio.sleep(pause_s)
            worker.fail_all = False

    async def disturb(self):
        while not self.over:
            await asyncio.sleep(self.chance.uniform(0.3, 1.5))
            await self.fault()

    async def settle(self):
        """Waits until all accepted jobs are shown as completed."""
        missing = list(self.accepted)
        for _ in range(SETTLE_S * 2):
            left = []
            for job in missing:
                status, body = await ask(self.hosts[0], "GET", job)
                if status != 200 or json.loads(body)["state"] != "completed":
                    left.append((job, status, body.decode()))
            missing = [job for job, _, _ in left]
            if not missing:
                return []
            await asyncio.sleep(0.5)
        return left

    async def run(self, folder):
        await self.begin(folder)
        await asyncio.sleep(1.5)
        tending = asyncio.create_task(self.tend_workers())
        tasks = [asyncio.create_task(self.hand_in()),
                 asyncio.create_task(self.disturb())]
        await asyncio.sleep(self.duration_s)
        self.over = True
        await asyncio.gather(*tasks)
        self.over = False
        await tending if tending.done() else None
        tending = asyncio.create_task(self.tend_workers())
        left = await self.settle()
        self.over = True
        await tending
        for host in self.hosts:
            await host.end(signal.SIGTERM)
        return left


def main():
    seed = int(sys.argv[1])
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    soak = Soak(seed, duration_s, "unread" in sys.argv[3:])
    folder = tempfile.mkdtemp(prefix="soak-")
    left = asyncio.run(soak.run(folder))
    print(f"seed {seed}: {len(soak.accepted)} jobs accepted, "
          f"{len(soak.world.done)} tasks done, faults: "
          + " ".join(soak.faults), file=sys.stderr)
    for violation in soak.world.violations:
        print("broken:", violation)
    for job, status, body in left:
        print("not completed:", job, status, body)
    if soak.world.violations or left or not soak.accepted:
        print("logs in", folder)
        return 1
    print("kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
