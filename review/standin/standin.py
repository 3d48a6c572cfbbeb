"""Stand-ins of the users' platform for the cases of the review.

One process plays the store, the minions, the clients and the operator.  It
follows PROTOCOL.md; where that page is silent, it plays a sound platform.
The programs under test are separate processes, see hosts.py.

Each host gets addresses of its own for the store and for each minion, so that
the path between one host and one minion, or the store, can be cut.  On a cut
path nothing arrives and nothing is answered; what arrives there meanwhile is
dropped with its connection when the cut heals.
"""
import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

ENDS_PER_ANSWER = 500      # PROTOCOL.md: "500 at a time"
PAGE_ITEMS = 500           # of /log-newest
MAX_WAIT_MS = 2000         # of /hold
LISTING_TICK_S = 0.01


def now_s():
    return time.monotonic()


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.start_s = now_s()
        self.out = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.out.write("%9.3f %s\n" % (now_s() - self.start_s, text))

    def close(self):
        self.out.close()


class Paths:
    """Which paths are cut.  A path is (host, "store") or (host, minion)."""

    def __init__(self):
        self.cut = set()
        self.healed = {}

    def is_cut(self, path):
        return path in self.cut

    def cut_paths(self, paths):
        for path in paths:
            self.cut.add(path)
            self.healed[path] = asyncio.Event()

    def heal_all(self):
        for path in list(self.cut):
            self.cut.discard(path)
            self.healed[path].set()

    async def until_healed(self, path):
        while path in self.cut:
            await self.healed[path].wait()


class Dropped(Exception):
    """The connection is to be closed without an answer."""


async def serve(paths, path, handler):
    """Serves HTTP/1.1 on a free loopback port; returns IP:PORT.
    handler (method, target, headers, body) -> (status, body) or Dropped."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                if paths.is_cut(path):
                    await paths.until_healed(path)
                    raise Dropped
                status, answer = await handler(method, target, headers, body)
                if paths.is_cut(path):
                    await paths.until_healed(path)
                    raise Dropped
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n"
                             b"Content-Type: application/json\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Dropped,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0,
                                        backlog=512, limit=4 * 1024 * 1024)
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


# --- The store ---

class Topic:
    def __init__(self):
        self.records = []            # (key, value; b"" drops the key)
        self.newest = {}             # key -> (offset, value)
        self.producers = {}          # name -> [epoch, seq, [(seq, answer)]]
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()   # one append at a time

    def add(self, key, value):
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """down: None or "busy" (each call gets 503, nothing is done)."""

    def __init__(self, paths, record, append_ms=3.0, answer_ms=4.0):
        self.paths, self.record = paths, record
        self.append_ms, self.answer_ms = append_ms, answer_ms
        self.topics = {}
        self.down = None
        self.minions = []            # set by the case

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """A write of the operator or of a minion."""
        self.topic(topic).add(key, value)
        self.topic(topic).wake()

    async def handle(self, host, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0]
                 for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(self.answer_ms / 1000)
        if self.down == "busy":
            return 503, b"{}"
        topic = self.topic(query["topic"])
        if parts.path == "/log-append":
            return await self.append(topic, query, body)
        if parts.path == "/log-read":
            return await self.read(host, topic, query)
        if parts.path == "/log-newest":
            return self.read_newest(host, topic, query)
        return 404, b"{}"

    async def append(self, topic, query, body):
        async with topic.lock:
            await asyncio.sleep(self.append_ms / 1000)
            if self.down == "busy":
                return 503, b"{}"
            state = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                state = topic.producers.setdefault(query["producer"],
                                                   [-1, -1, []])
                if epoch < state[0]:
                    return 409, b'{"reason":"fenced"}'
                if epoch == state[0]:
                    for known, answer in state[2]:
                        if known == seq:
                            return 200, answer
                    if seq != state[1] + 1:
                        return 409, json.dumps(
                            {"reason": "seq", "seq": state[1] + 1}).encode()
                else:
                    state[2] = []
                state[0], state[1] = epoch, seq
            first = len(topic.records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                topic.add(content[1:1 + content[0]].decode(),
                          content[1 + content[0]:])
            answer = json.dumps({"offset": first,
                                 "end_offset": len(topic.records)}).encode()
            if state is not None:
                state[2] = (state[2] + [(seq, answer)])[-5:]
            topic.wake()
            return 200, answer

    def seen_by(self, host, topic, value):
        """A minion's entry names the address by which HOST reaches it."""
        if topic is not self.topic("keyed.servers") or not value:
            return value
        try:
            entry = json.loads(value)
            entry["address"] = entry["address"][host]
            return json.dumps(entry).encode()
        except (ValueError, KeyError, TypeError):
            return value

    async def read(self, host, topic, query):
        start = int(query["from"])
        until = now_s() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and now_s() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - now_s())
            except asyncio.TimeoutError:
                break
        if self.down == "busy":
            return 503, b"{}"
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size, limit = 0, int(query.get("max_kb", 1024)) * 1024
        for key, value in topic.records[start:]:
            value = self.seen_by(host, topic, value)
            content = bytes([len(key)]) + key.encode() + value
            size += 4 + len(content)
            if size > limit and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def read_newest(self, host, topic, query):
        after = query.get("depends_on", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:PAGE_ITEMS]:
            offset, value = topic.newest[key]
            value = self.seen_by(host, topic, value)
            items.append({"key": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, json.dumps({"items": items,
                                "has_more": len(keys) > PAGE_ITEMS,
                                "end_offset": len(topic.records)}).encode()


# --- Checks ---

class Checker:
    """The rules TWICE of RULES.md, by what the minions have seen."""

    def __init__(self, record):
        self.record = record
        self.running = {}    # task -> {(minion, born, run)}
        self.done = {}       # task -> [(time, minion, born, run, N)]
        self.started = []    # (time, task, minion, run)
        self.noted = set()   # (minion, born, N): ends that were taken note of
        self.broken = []

    def start(self, minion, task, run):
        at = now_s()
        others = self.running.setdefault(task, set())
        for other in others:
            self.break_rule(
                "TWICE: run %d of %s starts on %s while run %d of it runs "
                "on %s" % (run, task, minion.name, other[2], other[0]))
        others.add((minion.name, minion.life, run))
        self.started.append((at, task, minion.name, run))

    def end(self, minion, task, run, how, number):
        self.running.get(task, set()).discard(
            (minion.name, minion.life, run))
        if how == "done":
            self.done.setdefault(task, []).append(
                (now_s(), minion.name, minion.life, run, number))

    def break_rule(self, text):
        self.broken.append(text)
        self.record("RULE BROKEN " + text)

    def started_after_noted_end(self):
        """Starts of a task after an end `done` of it that is taken note of,
        then or later."""
        found = []
        for at, task, minion, run in self.started:
            for end_s, other, life, other_run, number in self.done.get(task,
                                                                       []):
                if at > end_s and (other, life, number) in self.noted:
                    found.append((task, run, minion, other_run, other,
                                  at - end_s))
        return found


# --- Minions ---

class Run:
    """startup_s: of a run that lasts; it is at work, 100 percent, after it.
    0: a run that ends after its work."""

    def __init__(self, task, run, work_s, how, startup_s=0):
        self.task, self.run, self.how = task, run, how
        self.startup_s = startup_s
        self.started_s = now_s()
        self.ends_s = self.started_s + work_s

    def percent(self):
        ran_s = now_s() - self.started_s
        if self.startup_s:
            return min(int(ran_s / self.startup_s * 100), 100)
        work_s = max(self.ends_s - self.started_s, 0.001)
        return min(int(ran_s / work_s * 100), 99)


class Minion:
    """clock_rate: 0.98 for a steady clock that is 2% slow.
    work: function (task, spec, run) -> (seconds of work, how it ends) and, for
    a task that lasts, the seconds of its startup.
    delay_order: function (minion, path, command) -> None, or the seconds
    after which the order is carried out without an answer."""

    def __init__(self, name, rack, checker, record, work, room,
                 clock_rate=1.0, max_hold_ms=6000, delay_order=None):
        self.name, self.rack = name, rack
        self.checker, self.record, self.work = checker, record, work
        self.room, self.clock_rate = room, clock_rate
        self.max_hold_ms, self.delay_order = max_hold_ms, delay_order
        self.addresses = []       # by host
        self.up = True
        self.life = 0
        self.seq = 0
        self.failed_ends = []     # tasks, one for each end `failed`
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.born_s = now_s()
        self.born_ms = int(time.time() * 1000)
        self.fencing_token = 0
        self.deadline_ms = 0
        self.runs = {}            # task -> Run
        self.used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        self.ends = []            # [N, task, run, how, saved]
        self.end_count = 0
        self.lapsed_upto = 0      # ends before a lapse of the lease
        self.highest_run = {}
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int((now_s() - self.born_s) * 1000 * self.clock_rate)

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": "desk", "address": self.addresses, "zone": "z1",
            "version": "1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "seq": self.seq, "born": self.born_ms,
            "capacity": self.room, "labels": ["a", self.rack]}).encode()

    def crash(self):
        """All that runs is gone; nothing is answered until restart ()."""
        self.record("minion %s crashes, running: %s"
                    % (self.name, ", ".join(
                        "%s run %d" % (run.task, run.run)
                        for run in self.runs.values()) or "nothing"))
        self.up = False
        for run in self.runs.values():
            self.checker.end(self, run.task, run.run, "crashed", 0)
        self.runs = {}

    def restart(self):
        self.begin_life()
        self.up = True
        self.record("minion %s is back under its id, born %d"
                    % (self.name, self.born_ms))

    def need(self, task):
        return self.needs(task)

    def end_run(self, run, how):
        del self.runs[run.task]
        for name, value in self.need(run.task).items():
            self.used[name] -= value
        self.end_count += 1
        if how == "failed":
            self.failed_ends.append(run.task)
        self.ends.append([self.end_count, run.task, run.run, how, ""])
        self.checker.end(self, run.task, run.run, how, self.end_count)
        self.record("%s: end %d: %s run %d %s" % (
            self.name, self.end_count, run.task, run.run, how))
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    def tick(self):
        if not self.up:
            return
        if self.clock_ms() > self.deadline_ms:
            self.lapsed_upto = self.end_count
            for run in list(self.runs.values()):
                self.end_run(run, "lapsed")
            self.lapsed_upto = self.end_count
        for run in list(self.runs.values()):
            if now_s() >= run.ends_s:
                self.end_run(run, run.how)

    def extend(self, deadline_ms):
        limit_ms = self.clock_ms() + self.max_hold_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def answer(self, status, **fields):
        fields["clock_ms"] = self.clock_ms()
        fields["born"] = self.born_ms
        return status, json.dumps(fields).encode()

    async def handle(self, host, target, headers, body):
        command = json.loads(body)
        if not self.up:
            raise Dropped
        life = self.life
        if headers.get("foxtailgap-expect-instance") != self.name:
            return self.answer(421)
        late_s = (self.delay_order (self, host, target, command)
                  if self.delay_order is not None else None)
        if late_s is not None:
            self.record("%s: %s of host %d for %s run %s is left unanswered "
                        "and carried out %.2f s later"
                        % (self.name, target, host, command.get("task"),
                           command.get("run_id"), late_s))
            await asyncio.sleep(late_s)
            if self.up and self.life == life:
                status, answer = await self.carry_out(host, target, command,
                                                      life)
                self.record("%s: the late %s for %s run %s is carried out: "
                            "%d %s" % (self.name, target, command.get("task"),
                                       command.get("run_id"), status,
                                       answer.decode()[:80]))
            raise Dropped
        return await self.carry_out(host, target, command, life)

    async def carry_out(self, host, target, command, life):
        self.tick()
        token = command.get("fencing_token", 0)
        if token < self.fencing_token:
            return self.answer(409, reason="fence")
        self.fencing_token = token
        if target == "/run-start":
            return self.start(host, command)
        if target == "/run-stop":
            return self.stop(host, command)
        if target == "/hold":
            return await self.hold(command, life)
        if target == "/pace":
            return self.answer(200)
        return 404, b"{}"

    def start(self, host, command):
        task, run_id = command["task"], command["run_id"]
        known = self.runs.get(task)
        if known is not None and known.run == run_id:
            self.extend(command["deadline_ms"])
            return self.answer(200)
        if run_id <= self.highest_run.get(task, 0) or known is not None:
            self.extend(command["deadline_ms"])
            return self.answer(409, reason="old")
        if command["deadline_ms"] < self.clock_ms():
            return self.answer(409, reason="late")
        need = self.need(task)
        if any(self.used[name] + value > self.room[name]
               for name, value in need.items()):
            self.extend(command["deadline_ms"])
            return self.answer(409, reason="room")
        self.extend(command["deadline_ms"])
        self.record("%s: start of %s run %d by host %d, token %d" % (
            self.name, task, run_id, host, command["fencing_token"]))
        self.highest_run[task] = run_id
        run = Run(task, run_id, *self.work(task, command["spec"], run_id))
        for name, value in need.items():
            self.used[name] += value
        self.runs[task] = run
        self.checker.start(self, task, run_id)
        return self.answer(200)

    def stop(self, host, command):
        task, run_id = command["task"], command["run_id"]
        self.record("%s: stop of %s run %d by host %d, token %d" % (
            self.name, task, run_id, host, command["fencing_token"]))
        self.highest_run[task] = max(self.highest_run.get(task, 0), run_id)
        run = self.runs.get(task)
        if run is not None and run.run <= run_id:
            self.end_run(run, "stopped")
        return self.answer(200)

    async def hold(self, command, life):
        if "deadline_ms" in command:
            self.extend(command["deadline_ms"])
        cursor = command.get("ack_cursor", 0)
        for end in self.ends:
            if self.lapsed_upto < end[0] <= cursor:
                self.checker.noted.add((self.name, life, end[0]))
        self.ends = [end for end in self.ends if end[0] > cursor]
        until = now_s() + min(command.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        while not self.ends and now_s() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - now_s())
            except asyncio.TimeoutError:
                break
            if self.life != life or not self.up:
                raise Dropped
        if self.life != life or not self.up:
            raise Dropped
        running = []
        for run in self.runs.values():
            running.append([run.task, run.run, "", run.percent(), 0])
        return self.answer(200, running=running,
                           finished=self.ends[:ENDS_PER_ANSWER])


# --- All together ---

class Platform:
    """The store and the minions, as COUNT hosts see them."""

    def __init__(self, record, count):
        self.record, self.count = record, count
        self.paths = Paths()
        self.store = Store(self.paths, record)
        self.checker = Checker(record)
        self.minions = []
        self.store_addresses = []
        self.needs = {}           # job -> need of each of its tasks
        self.tasks = []
        self.cut_off = set()      # names of minions that reach no store

    def add_minion(self, name, rack, work, room, **options):
        minion = Minion(name, rack, self.checker, self.record, work, room,
                        **options)
        minion.needs = lambda task: self.needs[task.split(".")[0]]
        self.minions.append(minion)
        return minion

    async def open(self, config):
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for host in range(self.count):
            def store_handler(method, target, headers, body, host=host):
                return self.store.handle(host, method, target, body)
            self.store_addresses.append(
                await serve(self.paths, (host, "store"), store_handler))
            for minion in self.minions:
                def minion_handler(method, target, headers, body, host=host,
                                   minion=minion):
                    return minion.handle(host, target, headers, body)
                minion.addresses.append(
                    await serve(self.paths, (host, minion.name),
                                minion_handler))
        self.tasks.append(asyncio.create_task(self.tick_minions()))
        self.tasks.append(asyncio.create_task(self.beat()))

    async def tick_minions(self):
        while True:
            for minion in self.minions:
                minion.tick()
            await asyncio.sleep(LISTING_TICK_S)

    async def beat(self):
        """Each minion writes its entry every heartbeat_ms, 1,500."""
        silent = {}
        while True:
            for minion in self.minions:
                if minion.up and minion.name not in self.cut_off:
                    silent[minion.name] = 0
                    self.store.put("keyed.servers", minion.name,
                                   minion.entry())
                else:
                    silent[minion.name] = silent.get(minion.name, 0) + 1
                    if silent[minion.name] == 3:
                        self.store.put("keyed.servers", minion.name, b"")
            await asyncio.sleep(1.5)

    def close(self):
        for task in self.tasks:
            task.cancel()
