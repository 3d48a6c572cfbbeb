"""Stand-in of the users' platform for tests: one keyed store and some workers.

Speaks the few calls that foxtailgap-hostd makes, and checks what must hold at
the workers: no task runs twice at once, none starts after its end was taken
note of, no gang works with members missing.  Violations are kept in a list.
"""
import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

KEEP_ENDS = 500


class Topic:
    def __init__(self):
        self.records = []  # (key, value or None)
        self.epoch = 0
        self.sequence = -1
        self.answers = {}
        self.grown = asyncio.Condition()


class Store:
    """Keyed topics; away: None, 'busy' (503) or 'silent'."""

    def __init__(self):
        self.topics = {}
        self.away = None
        self.lost_share = 0.0
        self.chance = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, name, key, value):
        topic = self.topic(name)
        async with topic.grown:
            topic.records.append((key, value))
            topic.grown.notify_all()

    async def handle(self, method, path, query, body):
        if self.away == "busy":
            return 503, b"{}"
        if self.away == "silent":
            await asyncio.sleep(3600)
        topic = self.topic(query["topic"][0])
        if path == "/log-append":
            answer = await self.append(topic, query, body)
            if self.chance and self.chance.random() < self.lost_share:
                await asyncio.sleep(3600)
            return answer
        if path == "/log-read":
            return await self.read(topic, query)
        if path == "/log-newest":
            return self.newest(topic)
        return 404, b"{}"

    async def append(self, topic, query, body):
        if "epoch" in query:
            epoch, sequence = int(query["epoch"][0]), int(query["seq"][0])
            if epoch < topic.epoch:
                return 409, b'{"reason":"fenced"}'
            if (epoch, sequence) in topic.answers:
                return 200, topic.answers[(epoch, sequence)]
            if epoch == topic.epoch and sequence != topic.sequence + 1:
                return 409, b'{"reason":"seq"}'
            topic.epoch, topic.sequence = epoch, sequence
        first = len(topic.records)
        async with topic.grown:
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                key = content[1:1 + content[0]].decode()
                value = content[1 + content[0]:]
                topic.records.append((key, value or None))
            topic.grown.notify_all()
        answer = json.dumps(
            {"offset": first, "end_offset": len(topic.records)}).encode()
        if "epoch" in query:
            topic.answers[(epoch, sequence)] = answer
        return 200, answer

    async def read(self, topic, query):
        start, wait_ms = int(query["from"][0]), int(query["wait_ms"][0])
        async with topic.grown:
            if len(topic.records) <= start and wait_ms > 0:
                try:
                    await asyncio.wait_for(
                        topic.grown.wait_for(
                            lambda: len(topic.records) > start),
                        wait_ms / 1000)
                except asyncio.TimeoutError:
                    pass
        out = [struct.pack(">QQ", len(topic.records), 0)]
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(topic.records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        items = [{"key": key, "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in newest.items()]
        return 200, json.dumps({"items": items, "has_more": False,
                                "end_offset": len(topic.records)}).encode()


class Run:
    def __init__(self, task, number, until):
        self.task, self.number, self.until = task, number, until


class World:
    """What all workers together must keep."""

    def __init__(self, work_s, gang_size):
        self.work_s, self.gang_size = work_s, gang_size
        self.running = {}  # task -> (worker, run)
        self.noted = set()  # tasks whose end `done` was taken note of
        self.violations = []
        self.done = set()

    def started(self, task, worker, run):
        if task in self.running:
            self.violations.append(f"TWICE {task} run {run}")
        if task in self.noted:
            self.violations.append(f"AFTER DONE {task} run {run}")
        self.running[task] = (worker, run)

    def stopped(self, task, run):
        if self.running.get(task, (None, None))[1] == run:
            del self.running[task]


class Worker:
    def __init__(self, name, rack, world):
        self.name, self.rack, self.world = name, rack, world
        self.fail_all = False
        self.dark = False
        self.born()

    def born(self):
        self.born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.token, self.lease_ms = 0, 0
        self.runs, self.ends, self.number = {}, [], 0
        self.highest = {}

    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000)

    def entry(self, address, sequence):
        return json.dumps({
            "service": "desk", "address": address, "zone": "dc",
            "version": "v1", "slots": 8, "state": "ready", "seq": sequence,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
            "labels": ["a", self.rack], "born": self.born_ms}).encode()

    def end(self, run, how):
        del self.runs[run.task]
        self.world.stopped(run.task, run.number)
        if how == "done":
            self.world.done.add(run.task)
        self.number += 1
        self.ends.append([self.number, run.task, run.number, how, ""])

    def tick(self):
        now = time.monotonic()
        for run in list(self.runs.values()):
            if self.clock_ms() > self.lease_ms:
                self.end(run, "lapsed")
            elif now >= run.until:
                self.end(run, "failed" if self.fail_all else "done")

    async def handle(self, path, body):
        if self.dark:
            await asyncio.sleep(3600)
        order = json.loads(body)
        self.tick()
        if order.get("fencing_token", 0) < self.token:
            return self.refuse("fence")
        self.token = order.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            return self.stop(order)
        return await self.hold(order)

    def refuse(self, reason):
        return 409, json.dumps({"clock_ms": self.clock_ms(),
                                "reason": reason}).encode()

    def ok(self, **fields):
        fields["clock_ms"] = self.clock_ms()
        fields["born"] = self.born_ms
        return 200, json.dumps(fields).encode()

    def start(self, order):
        task, number = order["task"], order["run_id"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return self.ok()
        if number <= self.highest.get(task, 0):
            return self.refuse("old")
        if order["deadline_ms"] < self.clock_ms():
            return self.refuse("late")
        if len(self.runs) >= 8:
            return self.refuse("room")
        self.lease_ms = max(self.lease_ms, order["deadline_ms"])
        self.highest[task] = number
        self.world.started(task, self.name, number)
        self.runs[task] = Run(task, number,
                              time.monotonic() + self.world.work_s)
        return self.ok()

    def stop(self, order):
        task, number = order["task"], order["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.end(run, "stopped")
        return self.ok()

    async def hold(self, order):
        if "deadline_ms" in order:
            self.lease_ms = max(self.lease_ms, order["deadline_ms"])
        seen = order["ack_cursor"]
        for end in self.ends:
            if end[0] <= seen and end[3] == "done":
                self.world.noted.add(end[1])
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(0.01)
            self.tick()
        running = [[run.task, run.number, "", 50, 0]
                   for run in self.runs.values()]
        return self.ok(running=running, finished=self.ends[:KEEP_ENDS])


async def serve(handler):
    """Serves HTTP on a free port; the handler gets method, target, body."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                status, answer = await handler(method, target, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


def store_handler(store):
    async def handle(method, target, body):
        parts = urlsplit(target)
        return await store.handle(method, parts.path, parse_qs(parts.query),
                                  body)
    return handle


def worker_handler(worker):
    async def handle(method, target, body):
        return await worker.handle(target, body)
    return handle
