"""Stand-ins of the platform for the scripts of this review, and the hosts.

Starts `foxtailgap-hostd` as deploy/system.toml does (target/bin, settings
rendered from deploy/settings.yaml.in, FOXTAILGAP_CONFIG), on loopback
addresses.  The store is that of tests/soak/platform_standin.py.  The minions
are written here, by PROTOCOL.md: instances, fencing tokens, leases on their own
clock, numbered ends, gangs that work and end together.

Every event goes to the record, with the seconds since the start.
"""
import asyncio
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REVIEW = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROOT = os.path.dirname(REVIEW)
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import platform_standin  # noqa: E402

# An error of a script says nothing about the rule.
def on_error(kind, value, trace):
    sys.__excepthook__(kind, value, trace)
    os._exit(2)


sys.excepthook = on_error
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "a1.example"
KEY = "key-1"
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "contact_ms": 3000,
          "revoke_ms": 5000, "remote_factor": 3, "gang_timeout_ms": 3000}
HEARTBEAT_MS = 1500


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- Settings, as the platform fills them in ---

def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def render(text, scopes):
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, inner = match.groups()
        value = lookup(scopes, name)
        if kind == "^":
            return "" if value else render(inner, scopes)
        if not value:
            return ""
        if isinstance(value, (list, dict)):
            items = value if isinstance(value, list) else list(value.values())
            return "".join(render(inner, scopes + [item]) for item in items)
        return render(inner, scopes + [value])

    text = section.sub(expand, text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(lookup(scopes, match.group(1)) or ""),
                  text)


reserved = []


def free_port():
    """A port that stays reserved: bound without SO_REUSEADDR at first."""
    while True:
        port = random.SystemRandom().randrange(20000, 32000)
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(holder)
        return port


class Host:
    """One machine with the process of the deploy file."""

    def __init__(self, record, folder, name, store, advisor=None):
        self.record, self.name = record, name
        self.port = free_port()
        ready, metrics = free_port(), free_port()
        fields = {
            "node": name, "zone": "z1", "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{self.port}",
                       "ready": f"127.0.0.1:{ready}"},
            "port_range": [metrics, metrics], "bounds": BOUNDS,
            "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0},
            "heartbeat_ms": HEARTBEAT_MS, "placement_advisor": advisor,
            "platform": {"address": store}}
        template = os.path.join(ROOT, "deploy", "settings.yaml.in")
        with open(template, encoding="utf-8") as source:
            text = render(source.read(), [fields])
        self.settings = os.path.join(folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    async def start(self):
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
               "FOXTAILGAP_CONFIG": self.settings}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/bin/foxtailgap-hostd"),
                cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record(f"{self.name} started")

    def signal(self, number):
        self.record(f"{self.name} gets signal {number}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


# --- A server of HTTP ---

class Dropped(Exception):
    """The call gets no answer, and its connection ends."""


async def serve(handler, port=0):
    """handler (method, target, headers, body) returns (status, bytes)."""
    open_writers = set()

    async def connection(reader, writer):
        open_writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                status, answer = await handler(method, target, headers, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Dropped,
                asyncio.CancelledError):
            pass
        finally:
            open_writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port)
    server.open_writers = open_writers
    return server, server.sockets[0].getsockname()[1]


# --- The store ---

def store_handler(store):
    async def handle(method, target, headers, body):
        parts = urlsplit(target)
        return await store.handle(parts.path, parse_qs(parts.query), body)
    return handle


# --- Minions ---

class Run:
    def __init__(self, task, run_id, work_s, gang):
        self.task, self.run_id, self.work_s = task, run_id, work_s
        self.gang = gang  # None or the key of the gang's run
        self.began_s = None
        self.fails_s = None
        self.started_s = time.monotonic()


class Platform:
    """What minions and clients share."""

    def __init__(self, record):
        self.record = record
        self.store = platform_standin.Store()
        self.steps = {}  # ID.K.STEP -> spec of the step, with "work_s"
        self.minions = {}
        self.starts = []  # (time, task, run, minion)
        self.ends = []  # (time, task, run, minion, how)

    def submit(self, job, body, work_s):
        for number, phase in enumerate(body["phases"]):
            for k in range(max(body.get("times", 0), 1)):
                self.steps[f"{job}.{k}.{number}"] = dict(phase, work_s=work_s)

    def step_of(self, task):
        return self.steps[task.rsplit(".", 1)[0]]

    def members(self, gang):
        return [(minion, run) for minion in self.minions.values()
                for run in minion.runs.values() if run.gang == gang]

    async def tick(self):
        """Work goes on: every 20 ms."""
        while True:
            now = time.monotonic()
            for minion in list(self.minions.values()):
                minion.tick(now)
            await asyncio.sleep(0.02)


class Minion:
    def __init__(self, platform, name, service, rack="r1", kind="a", gpu=8,
                 cpu=128000, mem_mb=262144):
        self.platform, self.name, self.service = platform, name, service
        self.rack, self.kind = rack, kind
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}
        self.state, self.sequence = "ready", 0
        self.remaining_ms = 0  # the least time left while it drains
        self.fails_all = False  # every run that it starts ends `failed`
        self.fail_after_s = 0.3
        self.up, self.server, self.port = False, None, 0
        self.holds = 0  # calls of /hold so far
        self.beat_phase_s = random.random() * HEARTBEAT_MS / 1000
        platform.minions[name] = self
        self.reset()

    def reset(self):
        self.started_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token, self.lease_ms = 0, 0
        self.runs, self.finished, self.count = {}, [], 0
        self.highest = {}
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1000)

    async def start(self):
        self.reset()
        self.server, self.port = await serve(self.handle, self.port)
        self.up = True
        self.platform.record(f"minion {self.name} is up, born {self.born}")
        await self.beat()

    def leave(self):
        """The process exits; what runs there ends with it."""
        self.crash("left")

    def crash(self, word="crashed"):
        """The process is gone, with all that it ran and knew."""
        self.up = False
        self.server.close()
        for writer in list(self.server.open_writers):
            writer.transport.abort()
        for run in list(self.runs.values()):
            self.platform.record(f"minion {self.name} {word} with "
                                 f"{run.task} run {run.run_id}")
            self.platform.ends.append((time.monotonic(), run.task, run.run_id,
                                       self.name, word))
            self.break_gang(run)
        self.runs = {}
        self.platform.record(f"minion {self.name} {word}")

    async def beat(self):
        if not self.up:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}",
                 "zone": "z1", "version": "v1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0,
                 "seq": self.sequence, "capacity": self.capacity,
                 "labels": [self.kind, self.rack], "born": self.born,
                 "clock_ms": self.clock_ms()}
        if self.state == "draining":
            entry["remaining_ms"] = self.remaining_ms
        await self.platform.store.put("keyed.servers", self.name,
                                      json.dumps(entry).encode())

    async def beat_on(self):
        await asyncio.sleep(self.beat_phase_s)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    # --- runs ---

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0),
                                     run.run_id)
        self.count += 1
        self.finished.append([self.count, run.task, run.run_id, how, ""])
        self.platform.ends.append((time.monotonic(), run.task, run.run_id,
                                   self.name, how))
        self.platform.record(f"minion {self.name}: {run.task} run "
                             f"{run.run_id} ended {how}")
        self.changed.set()

    def break_gang(self, run):
        if run.gang is not None:
            for minion, other in self.platform.members(run.gang):
                if other is not run and other.fails_s is None:
                    minion.end(other, "broken")

    def tick(self, now):
        if not self.up:
            return
        if self.runs and self.clock_ms() > self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.fails_s is not None:
                if now >= run.fails_s:
                    self.end(run, "failed")
                    self.break_gang(run)
                continue
            step = self.platform.step_of(run.task)
            if run.gang is None:
                if not step.get("long_running") and (
                        now >= run.started_s + run.work_s):
                    self.end(run, "done")
                continue
            members = self.platform.members(run.gang)
            if run.began_s is None:
                if len(members) == step["count"]:
                    for _, other in members:
                        other.began_s = now
                elif now >= run.started_s + BOUNDS["gang_timeout_ms"] / 1000:
                    self.end(run, "alone")
                    self.break_gang(run)
            elif now >= run.began_s + run.work_s:
                for minion, other in members:
                    minion.end(other, "done")

    # --- calls ---

    def answer(self, status, **fields):
        fields["clock_ms"] = self.clock_ms()
        return status, json.dumps(fields).encode()

    def extend(self, deadline_ms):
        limit_ms = self.clock_ms() + BOUNDS["max_hold_ms"]
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    async def handle(self, method, target, headers, body):
        command = json.loads(body)
        if headers.get("foxtailgap-expect-instance") not in (None, self.name):
            return self.answer(421)
        token = command.get("fencing_token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if target == "/run-start":
            return self.start_run(command)
        if target == "/run-stop":
            return self.stop_run(command)
        if target == "/hold":
            return await self.hold(command)
        return self.answer(200)

    def used(self, name):
        return sum(self.platform.step_of(task).get(name, 0)
                   for task in self.runs)

    def start_run(self, command):
        task, run_id = command["task"], command["run_id"]
        run = self.runs.get(task)
        if run is not None and run.run_id == run_id:
            return self.answer(200)
        if command["deadline_ms"] < self.clock_ms():
            return self.answer(409, reason="late")
        if run_id <= self.highest.get(task, 0) or run is not None:
            self.extend(command["deadline_ms"])
            return self.answer(409, reason="old")
        step = self.platform.step_of(task)
        if any(self.used(name) + step.get(name, 0) > self.capacity[name]
               for name in self.capacity):
            self.extend(command["deadline_ms"])
            return self.answer(409, reason="room")
        self.extend(command["deadline_ms"])
        gang = ((task.rsplit(".", 1)[0], run_id) if step.get("gang")
                else None)
        run = Run(task, run_id, step["work_s"], gang)
        if self.fails_all:
            run.fails_s = time.monotonic() + self.fail_after_s
        self.runs[task] = run
        self.platform.starts.append((time.monotonic(), task, run_id,
                                     self.name))
        self.platform.record(f"minion {self.name}: {task} run {run_id} "
                             f"starts, token {self.token}")
        return self.answer(200)

    def stop_run(self, command):
        task, run_id = command["task"], command["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), run_id)
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id:
            self.end(run, "stopped")
            self.break_gang(run)
        return self.answer(200)

    def percent(self, run):
        if self.platform.step_of(run.task).get("long_running"):
            return 100
        began_s = run.started_s if run.gang is None else run.began_s
        if began_s is None:
            return 0
        share = (time.monotonic() - began_s) / run.work_s
        return max(0, min(99, int(100 * share)))

    async def hold(self, command):
        self.holds += 1
        if "deadline_ms" in command:
            self.extend(command["deadline_ms"])
        born = self.born
        self.finished = [end for end in self.finished
                         if end[0] > command.get("ack_cursor", 0)]
        until_s = time.monotonic() + command.get("wait_ms", 0) / 1000
        while (not self.finished and time.monotonic() < until_s
               and self.born == born):
            await asyncio.sleep(0.01)
        running = [[run.task, run.run_id, "", self.percent(run), 0]
                   for run in self.runs.values()]
        return self.answer(200, born=self.born, running=running,
                           finished=self.finished[:500])


# --- Clients ---

def http_call(port, method, path, body, deadline_ms):
    client = http.client.HTTPConnection("127.0.0.1", port,
                                        timeout=deadline_ms / 1000)
    try:
        client.request(method, path, None if body is None
                       else json.dumps(body).encode(),
                       {"Host": HOST_NAME, "Foxtailgap-Credential": KEY,
                        "Foxtailgap-Deadline-Ms": str(deadline_ms),
                        "Content-Type": "application/json"})
        answer = client.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        client.close()


class World:
    """Hosts, minions and clients of one case."""

    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.platform = Platform(self.record)
        self.hosts, self.tasks = [], []
        self.config = {
            "version": 10, "limits": {"max_body_bytes": 262144}, "routes": [],
            "services": [], "tenants": [
                {"name": "t1", "api_keys": [KEY], "guaranteed": {"gpu": 8}}]}

    def route(self, name, service, **fields):
        route = {"name": name, "host": HOST_NAME, "path_prefix": f"/{name}/",
                 "service": service, "priority": 1, "max_attempts": 2,
                 "slack_factor": 3.0, "target_latency_ms": 1000}
        route.update(fields)
        self.config["routes"].append(route)

    async def put_config(self):
        self.config["version"] += 7
        await self.platform.store.put("keyed.op", "config",
                                      json.dumps(self.config).encode())
        self.record(f"operator: version {self.config['version']}, routes "
                    + " ".join(route["name"]
                               for route in self.config["routes"]))

    async def start(self, hosts, advisor=None):
        await self.put_config()
        for minion in self.platform.minions.values():
            await minion.start()
            self.tasks.append(asyncio.create_task(minion.beat_on()))
        self.tasks.append(asyncio.create_task(self.platform.tick()))
        for number in range(hosts):
            name = f"front-{number + 1}"
            _, port = await serve(store_handler(self.platform.store))
            host = Host(self.record, self.folder, name, f"127.0.0.1:{port}",
                        advisor)
            self.hosts.append(host)
            await host.start()

    def planner(self):
        """The host whose log says last that it is the planner."""
        best, found = 0, None
        for host in self.hosts:
            for match in re.finditer(r'This host is the planner\." term=(\d+)',
                                     host.log_text()):
                if int(match.group(1)) > best:
                    best, found = int(match.group(1)), host
        return found

    async def wait_until_served(self, timeout_s=10):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if self.planner() is not None and "rounds begin" in (
                    self.planner().log_text()):
                await asyncio.sleep(0.5)
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, host, method, path, body=None, deadline_ms=3000):
        sent_s = self.record.now()
        status, answer = await asyncio.get_running_loop().run_in_executor(
            None, http_call, host.port, method, path, body, deadline_ms)
        self.record(f"client: {method} {path} to {host.name} (sent at "
                    f"{sent_s:.3f}): {status} {answer}")
        return status, answer

    async def submit(self, host, queue, job, body, work_s):
        self.platform.submit(job, body, work_s)
        return await self.call(host, "POST", f"/{queue}/{job}", body)

    async def state(self, host, queue, job):
        status, answer = await self.call(host, "GET", f"/{queue}/{job}")
        return json.loads(answer).get("state") if status == 200 else status

    async def end(self, keep_logs=False):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            await host.end()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder_of_case):
    """case (world) returns (0, 1 or 2, text)."""
    async def run():
        world = World(folder_of_case)
        try:
            code, text = await asyncio.wait_for(case(world), 110)
        except asyncio.TimeoutError:
            code, text = 2, "the case took too long"
        finally:
            await world.end()
        world.record(f"result {code}: {text}")
        print(text)
        return code

    if not os.path.exists(os.path.join(ROOT, "target/bin/foxtailgap-hostd")):
        print("target/bin/foxtailgap-hostd is missing: build first")
        sys.exit(2)
    sys.exit(asyncio.run(run()))
