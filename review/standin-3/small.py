"""A small deployment for the cases of this review: hosts as real processes,
with stand-ins of the platform's store and of minions, and a client.

The hosts run the command of the deploy file with the template that it names.
The stand-ins follow PROTOCOL.md; each class says which sentences matter.  All
addresses are loopback addresses.  Everything that is sent, answered and run is
written to record.txt.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
LISTEN_PORTS = (20000, 32000)  # below those of outgoing connections
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# The bounds of sites/anla-rounds.toml.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
    "config_ms": 2000, "revoke_strict": True, "revoke_ms": 5000,
    "max_hold_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "remote_factor": 3, "lease_ms": 3000}
HEARTBEAT_MS = 1500


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the
    start."""

    def __init__(self, folder):
        self.start_s = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start_s

    def write(self, *words):
        line = "%8.3f  %s" % (self.now(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()


reserved = []


def free_port():
    """A port that nothing else takes: a socket that does not listen stays
    bound to it, beside which a socket with SO_REUSEADDR may be bound."""
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORTS)
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(holder)
        return port


# --- HTTP ---

async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    method, target, _ = head.split("\r\n")[0].split(" ")
    headers = {}
    for line in head.split("\r\n")[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


class Server:
    """HTTP on one loopback port.  handler(method, target, headers, body)
    returns (status, body), or None: the call gets no answer."""

    def __init__(self, handler, port=None):
        self.handler, self.port = handler, port or free_port()
        self.server, self.writers = None, set()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handler(*request)
                if answer is None:
                    # "A connection on which a response is lost returns
                    # nothing further."
                    await asyncio.sleep(3600)
                status, body = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(body)) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """The port refuses connections, and those that are open break."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=None, timeout_s=3.5):
    """One call.  Returns (status, body); status 0: no whole answer."""
    lines = ["%s %s HTTP/1.1" % (method, path)]
    headers = dict({"Host": address, "Connection": "close"}, **(headers or {}))
    data = b"" if body is None else json.dumps(body).encode()
    headers["Content-Length"] = str(len(data))
    lines += ["%s: %s" % item for item in headers.items()]
    host, port = address.split(":")

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split(" ")[1])
            length = re.search(r"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(length.group(1)))
            return status, text.decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError, AttributeError):
        return 0, ""


# --- The store ---

class Topic:
    def __init__(self):
        self.records = []  # (key, value or None)
        self.epoch, self.sequence = -1, -1
        self.answers = []  # ((epoch, seq), answer): the last five
        self.appended = asyncio.Event()

    def append(self, records):
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """The platform's store: keyed topics with one partition.  hook(host, path,
    query) may return "refuse" (503: nothing was done), "silent" (nothing is
    done, no answer), "lost" (done, no answer), or a number of seconds by which
    the answer is late; None: all is well."""

    def __init__(self, record):
        self.record, self.topics = record, {}
        self.hook = lambda host, path, query: None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).append(
            [(key, None if value is None else json.dumps(value).encode())])

    def handler(self, host):
        async def handle(_method, target, _headers, body):
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            fault = self.hook(host, parts.path, query)
            if fault == "refuse":
                return 503, b"{}"
            if fault == "silent":
                return None
            await asyncio.sleep(0.003)
            if parts.path == "/log-append":
                answer = self.append(query, body)
            elif parts.path == "/log-read":
                answer = await self.read(query)
            elif parts.path == "/log-newest":
                answer = self.newest(query)
            else:
                answer = 404, b"{}"
            if fault == "lost":
                return None
            if isinstance(fault, (int, float)):
                await asyncio.sleep(fault)
            return answer
        return handle

    def append(self, query, body):
        topic = self.topic(query["topic"])
        key = None
        if "producer" in query:
            key = (int(query["epoch"]), int(query["seq"]))
            if key[0] < topic.epoch:
                return 409, b'{"reason":"fenced"}'
            for earlier, answer in topic.answers:
                if earlier == key:
                    return 200, answer
            if key[0] == topic.epoch and key[1] != topic.sequence + 1:
                return 409, b'{"reason":"seq"}'
            topic.epoch, topic.sequence = key
        first, records = len(topic.records), []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            name = content[1:1 + content[0]].decode()
            records.append((name, content[1 + content[0]:] or None))
        topic.append(records)
        answer = json.dumps({"offset": first,
                             "end_offset": len(topic.records)}).encode()
        if key is not None:
            topic.answers = topic.answers[-4:] + [(key, answer)]
        return 200, answer

    async def read(self, query):
        topic, start = self.topic(query["topic"]), int(query["from"])
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < end_s:
            try:
                await asyncio.wait_for(topic.appended.wait(),
                                       end_s - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(topic.records), 0)]
        left = int(query.get("max_kb", 1024)) * 1024
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            left -= len(content) + 4
            if left < 0 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def newest(self, query):
        topic, after = self.topic(query["topic"]), query.get("depends_on", "")
        newest = {}
        for offset, (key, value) in enumerate(topic.records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        keys = sorted(key for key in newest if key > after)
        items = [{"key": key, "offset": newest[key][0],
                  "value": base64.b64encode(newest[key][1]).decode()}
                 for key in keys[:500]]
        return 200, json.dumps({"items": items, "has_more": len(keys) > 500,
                                "end_offset": len(topic.records)}).encode()


# --- Minions ---

class Life:
    """One process of a minion: it "holds and knows nothing of before, and its
    counts start anew (`seq`, the numbers of ends, its clock)"."""

    def __init__(self):
        self.start_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0  # deadline, on its clock
        self.runs = {}  # task -> Run
        self.ends = []  # [N, task, run, how, saved]
        self.end_count = 0
        self.lapsed_ends = 0  # ends up to here are older than a lapse
        self.closed_runs = {}  # task -> highest run stopped or ended here
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.start_s) * 1000)


class Run:
    def __init__(self, task, run, work_s):
        self.task, self.run, self.work_s = task, run, work_s
        self.start_s = time.monotonic()

    def percent(self):
        done = (time.monotonic() - self.start_s) / self.work_s
        return min(99, int(100 * done))


class Minion:
    """A minion that may start again under its id.  late(path, body) returns
    after how many seconds a call is carried out without an answer; None: it is
    carried out at once and answered ("A call that receives no response may
    have been executed. It may also be executed seconds later, after newer
    calls.").  It is then carried out by whichever process has the id by that
    time, as `Foxtailgap-Expect-Instance` is the id."""

    def __init__(self, name, rack, store, record, checker):
        self.name, self.rack, self.kind = name, rack, "a"
        self.store, self.record, self.checker = store, record, checker
        self.work_s = lambda task: 1.0
        self.how = lambda task, run: "done"
        self.late = lambda path, body: None
        self.server = Server(self.handle)
        self.life, self.up, self.sequence = Life(), False, 0

    async def start(self):
        self.life, self.up = Life(), True
        await self.server.start()
        self.record.write(self.name, "starts, born", self.life.born, "kind",
                          self.kind)
        self.heartbeat()

    def crash(self):
        self.up = False
        self.server.stop()
        self.record.write(self.name, "crashes with",
                          [(r.task, r.run) for r in self.life.runs.values()])
        for run in list(self.life.runs.values()):
            self.checker.ended(run.task, run.run, self, "crash")
        self.life.changed.set()

    def heartbeat(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, {
            "service": "desk", "address": self.server.address, "zone": "z",
            "version": "1", "slots": 8, "state": "ready",
            "seq": self.sequence, "born": self.life.born,
            "capacity": {"cpu": 128000, "mem_mb": 262144, "gpu": 8},
            "labels": [self.kind, self.rack]})

    async def run(self):
        """Its work and its heartbeats, until cancelled."""
        beat_s = 0.0
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            self.work()
            if time.monotonic() - beat_s >= HEARTBEAT_MS / 1000:
                beat_s = time.monotonic()
                self.heartbeat()

    def work(self):
        life, now_s = self.life, time.monotonic()
        if life.clock_ms() > life.lease_ms:
            life.lapsed_ends = life.end_count
        for run in list(life.runs.values()):
            if life.clock_ms() > life.lease_ms:
                self.end(run, "lapsed")
            elif now_s - run.start_s >= run.work_s:
                self.end(run, self.how(run.task, run.run))

    def end(self, run, how):
        life = self.life
        del life.runs[run.task]
        life.closed_runs[run.task] = max(run.run,
                                         life.closed_runs.get(run.task, 0))
        life.end_count += 1
        life.ends.append([life.end_count, run.task, run.run, how, ""])
        life.changed.set()
        life.changed = asyncio.Event()
        self.record.write(self.name, "run", run.task, run.run, "ends", how)
        self.checker.ended(run.task, run.run, self, how)

    async def handle(self, _method, target, headers, body):
        command = json.loads(body)
        delay_s = self.late(target, command)
        if delay_s is not None:
            self.record.write(self.name, target, body.decode(),
                              "is held up for", delay_s, "s")
            await asyncio.sleep(delay_s)
            if self.up:
                answer = await self.execute(target, headers, command)
                self.record.write(self.name, target, body.decode(),
                                  "is carried out late:", answer)
            return None
        answer = await self.execute(target, headers, command)
        if target != "/hold":
            self.record.write(self.name, target, body.decode(), "->",
                              answer[0], answer[1].decode())
        return answer

    def answer(self, status, **fields):
        fields["clock_ms"] = self.life.clock_ms()
        return status, json.dumps(fields).encode()

    async def execute(self, target, headers, command):
        life = self.life
        if headers.get("foxtailgap-expect-instance", self.name) != self.name:
            return 421, b"{}"
        self.work()
        token = command.get("fencing_token", 0)
        if token < life.token:
            return self.answer(409, reason="fence")
        life.token = token
        if target == "/run-start":
            return self.start_run(command)
        if target == "/run-stop":
            return self.stop_run(command)
        if target == "/hold":
            return await self.hold(command)
        return self.answer(200)

    def extend_lease(self, command):
        if "deadline_ms" in command:
            longest = self.life.clock_ms() + BOUNDS["max_hold_ms"]
            self.life.lease_ms = max(self.life.lease_ms,
                                     min(command["deadline_ms"], longest))

    def start_run(self, command):
        life, task, run = self.life, command["task"], command["run_id"]
        if task in life.runs and life.runs[task].run == run:
            return self.answer(200)
        # A run beside which a higher one works counts as old, too.
        if (run <= life.closed_runs.get(task, 0)
                or task in life.runs and run < life.runs[task].run):
            self.extend_lease(command)
            return self.answer(409, reason="old")
        if command["deadline_ms"] < life.clock_ms():
            return self.answer(409, reason="late")
        self.extend_lease(command)
        if len(life.runs) >= 8:
            return self.answer(409, reason="room")
        life.runs[task] = Run(task, run, self.work_s(task))
        self.record.write(self.name, "run", task, run, "starts")
        self.checker.started(task, run, self)
        return self.answer(200)

    def stop_run(self, command):
        life, task, run = self.life, command["task"], command["run_id"]
        life.closed_runs[task] = max(run, life.closed_runs.get(task, 0))
        if task in life.runs and life.runs[task].run == run:
            self.end(life.runs[task], "stopped")
        return self.answer(200)

    async def hold(self, command):
        life = self.life
        self.extend_lease(command)
        for end in life.ends:
            if life.lapsed_ends < end[0] <= command["ack_cursor"]:
                self.record.write(self.name, "end", end, "is taken note of")
                self.checker.noted(end[1], end[2], end[3])
        life.ends = [e for e in life.ends if e[0] > command["ack_cursor"]]
        end_s = time.monotonic() + min(command.get("wait_ms", 0), 2000) / 1000
        while not life.ends and time.monotonic() < end_s and self.up:
            try:
                await asyncio.wait_for(life.changed.wait(),
                                       end_s - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[r.task, r.run, "", r.percent(), 0]
                   for r in life.runs.values()]
        return self.answer(200, born=life.born, running=running,
                           finished=life.ends[:500])


class Checker:
    """The rules TWICE and UNASKED as RULES.md has them, by what the minions
    see."""

    def __init__(self, record):
        self.record, self.violations = record, []
        self.running = {}  # (task, run, minion's name) -> since when
        self.done = {}  # (task, run) -> when it ended done
        self.done_noted = set()  # tasks
        self.starts = []  # (when, task, run, minion's name)
        self.failed_noted = {}  # task -> runs that failed and were noted

    def broken(self, *words):
        self.violations.append(" ".join(str(w) for w in words))
        self.record.write("BROKEN:", self.violations[-1])

    def started(self, task, run, minion):
        for other_task, other_run, name in self.running:
            if other_task == task:
                self.broken("TWICE: run", run, "of", task, "starts on",
                            minion.name, "while run", other_run, "is on", name)
        if task in self.done_noted:
            self.broken("TWICE: run", run, "of", task, "starts on",
                        minion.name, "after an end `done` that was taken note "
                        "of")
        self.running[(task, run, minion.name)] = time.monotonic()
        self.starts.append((time.monotonic(), task, run, minion.name))

    def ended(self, task, run, minion, how):
        self.running.pop((task, run, minion.name), None)
        if how == "done":
            self.done[(task, run)] = time.monotonic()

    def noted(self, task, run, how):
        if how == "failed":
            self.failed_noted.setdefault(task, set()).add(run)
        if how != "done":
            return
        for when, other, other_run, name in self.starts:
            if (other == task and other_run != run
                    and when > self.done[(task, run)]):
                self.broken("TWICE: run", other_run, "of", task, "started on",
                            name, "after run", run, "had ended `done`, which "
                            "is taken note of")
        self.done_noted.add(task)


# --- Hosts ---

def fill_template(text, fields, scopes=None):
    """The platform's template, as DEPLOY.md has it, for plain values and
    sections of one level."""
    scopes = [fields] if scopes is None else scopes

    def find(name):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def section(match):
        value = find(match.group(1))
        if value is None or value is False:
            return ""
        return fill_template(match.group(2), fields, scopes + [value])

    def plain(match):
        value = find(match.group(1))
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


class Host:
    def __init__(self, name, folder, store, record):
        self.name, self.record, self.process = name, record, None
        self.front = "127.0.0.1:%d" % free_port()
        self.ready = "127.0.0.1:%d" % free_port()
        self.store_server = Server(store.handler(name))
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["host"]
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            self.template = file.read()
        port = free_port()
        self.fields = {
            "node": name, "role": "host", "machine_class": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": "z", "region": "r",
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [port, port], "bootstrap": True,
            "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0},
            "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS,
            "control_mode": "invocation"}
        self.settings = os.path.join(folder, name + ".settings")
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    async def start(self):
        if self.store_server.server is None:
            await self.store_server.start()
        self.fields["platform"] = {"address": self.store_server.address}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill_template(self.template, self.fields))
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", "/"),
                 "FOXTAILGAP_CONFIG": self.settings})
        self.record.write(self.name, "is started")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.write(self.name, "gets",
                              signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


def planner_of(hosts, folder):
    """The name of the host that became the planner last, by the logs."""
    found = (0, None)
    for host in hosts:
        path = os.path.join(folder, host.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                if 'msg="This host is the planner."' in line:
                    term = int(line.split(" term=")[1].split()[0])
                    found = max(found, (term, host.name))
    return found[1]


def configuration(version=1, max_attempts=3, keys=("k",)):
    return {
        "version": version, "limits": {"max_body_bytes": 262144},
        "routes": [{"name": "q", "host": "h", "path_prefix": "/q/",
                    "priority": 1, "service": "desk",
                    "max_attempts": max_attempts, "slack_factor": 3.0,
                    "target_latency_ms": 1000}],
        "services": [{"name": "desk", "enforces_capacity": True}],
        "tenants": [{"name": "t", "api_keys": list(keys),
                     "guaranteed": {"gpu": 8}}]}


class Deployment:
    """Hosts, minions and a store; a case adds its disruption."""

    def __init__(self, folder, work, host_count=3, minion_count=6):
        self.record = Record(folder)
        self.work = work
        self.store = Store(self.record)
        self.checker = Checker(self.record)
        self.hosts = [Host("front-%d" % i, work, self.store, self.record)
                      for i in range(host_count)]
        self.minions = [Minion("m%d" % i, "r%d" % (i // 3), self.store,
                               self.record, self.checker)
                        for i in range(minion_count)]
        self.tasks = []

    async def start(self):
        self.store.put("keyed.op", "config", configuration())
        for minion in self.minions:
            await minion.start()
            self.tasks.append(asyncio.ensure_future(minion.run()))
        for host in self.hosts:
            await host.start()
        end_s = time.monotonic() + 10
        while planner_of(self.hosts, self.work) is None:
            if time.monotonic() > end_s:
                raise RuntimeError("no host has become the planner")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            await host.end()

    def planner(self):
        name = planner_of(self.hosts, self.work)
        return next(host for host in self.hosts if host.name == name)

    async def client(self, method, job, body=None, host=None, key="k",
                     prefix="/q/"):
        """One client's call, at the given host; 0: no whole answer."""
        host = host or self.hosts[0]
        self.record.write("client", method, prefix + job, "at", host.name,
                          "" if body is None else json.dumps(body))
        status, text = await call(
            host.front, method, prefix + job,
            {"Host": "h", "Foxtailgap-Credential": key,
             "Foxtailgap-Deadline-Ms": "3000"}, body)
        self.record.write("client", method, prefix + job, "->", status, text)
        return status, text

    async def submit(self, job, body):
        """Until a 2xx answer, as a client with retries."""
        for attempt in range(8):
            host = self.hosts[attempt % len(self.hosts)]
            status, _ = await self.client("POST", job, body, host)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("a job was not accepted: " + job)

    async def state(self, job, host=None):
        status, text = await self.client("GET", job, host=host)
        return json.loads(text).get("state") if status == 200 else status

    async def until(self, condition, timeout_s, step_s=0.02):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if condition():
                return True
            await asyncio.sleep(step_s)
        return False


def job(count=1, gpu=1, **fields):
    return {"spec": "work", "phases": [dict(
        {"count": count, "cpu": 1000, "mem_mb": 1000, "gpu": gpu,
         "estimate_ms": 1000}, **fields)]}


def main(folder, scenario, **sizes):
    """Runs scenario(deployment, trouble), which returns None or why the case
    could not run."""
    import tempfile
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as work:
            deployment = Deployment(folder, work, **sizes)
            try:
                await deployment.start()
                why = await scenario(deployment, trouble)
            finally:
                await deployment.stop()
                if os.environ.get("KEEP_LOGS"):
                    import shutil
                    shutil.copytree(work, os.environ["KEEP_LOGS"],
                                    dirs_exist_ok=True)
            return why, deployment.checker.violations

    def on_term(_number, _frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_term)
    try:
        why, violations = asyncio.run(run())
    except (RuntimeError, OSError) as error:
        why, violations = str(error), []
    for violation in violations:
        print("broken:", violation)
    if violations:
        sys.exit(BROKEN)
    if why is not None:
        print("could not run:", why)
        sys.exit(CANNOT_RUN)
    print("held")
    sys.exit(HELD)
