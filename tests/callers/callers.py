#!/usr/bin/env python3
"""A small crowd of callers that keep no limits, against one real host.

  callers.py KIND
  callers.py KIND CROWD CONNECTION_LIMIT MEMORY_MB   (a larger trial by hand)

The host is a process of foxtailgap-hostd with a store and two workers of the
platform's stand-in.  Its settings state a small machine and a low limit of
connections; a setting that the program does not know is left out.  The crowd
stays open while the checks are made.  Checked is only what does not depend on
the machine's speed: the process lives, its peak of resident memory and its
open descriptors stay under their bounds, an ordinary job is accepted
afterwards and shown, a job that was handed in before is taken and run, and the
addresses of readiness and metrics answer.  Prints `kept`, or a line for each
check that failed, and exits with 1.
"""
import asyncio
import http.client
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "soak"))
import platform_standin as standin  # noqa: E402
import soak  # noqa: E402
import stack_dump  # noqa: E402

BODY_LIMIT = 262144
MEMORY_MB = 40  # of the machine; the host has 12 MB at rest
CROWD = 160
CONNECTION_LIMIT = 200
FEW_CONNECTIONS = 100  # fewer than the crowd
# Beside the connections of callers: RESERVED_DESCRIPTORS of the daemon, for
# files, the store, other hosts and calls.
OTHER_DESCRIPTORS = 400
# The address sanitizer needs many times the memory of the program.
SANITIZED_MB = 1024
SETTLE_S = 1.0
# Long beside the times of the settings: it only ends a test that hangs.
PATIENCE_S = 25
AHEAD = 400
JOB = {"spec": "x", "phases": [{"count": 1, "cpu": 1000, "mem_mb": 1000,
                                "gpu": 1, "estimate_ms": 400}]}


class Crowd:
    """Connections that stay open until close()."""

    def __init__(self, host, size):
        self.host = host
        self.size = size
        self.sockets = []
        self.number = 0

    def path(self):
        self.number += 1
        return "/q/%016x" % (0xc0000000 + self.number)

    async def open(self, port):
        """Returns a connection, or None if the host does not take it."""
        opened = socket.socket()
        opened.setblocking(False)
        self.sockets.append(opened)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                opened, ("127.0.0.1", port)), PATIENCE_S)
        except (OSError, asyncio.TimeoutError):
            return None
        return opened

    async def send(self, opened, data, piece=0, pause_s=0.0):
        """Sends as much as the host takes."""
        loop = asyncio.get_running_loop()
        piece = piece or max(len(data), 1)
        try:
            for start in range(0, len(data), piece):
                await loop.sock_sendall(opened, data[start:start + piece])
                if pause_s:
                    await asyncio.sleep(pause_s)
        except OSError:
            pass

    async def read(self, opened):
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_recv(opened, 4096), 5)
        except (OSError, asyncio.TimeoutError):
            pass

    async def each(self, port, member):
        async def one():
            opened = await self.open(port)
            if opened is not None:
                await member(opened)

        tasks = [asyncio.create_task(one()) for _ in range(self.size)]
        _, running = await asyncio.wait(tasks, timeout=PATIENCE_S)
        for task in running:  # for instance a slow sender
            task.cancel()

    def close(self):
        for opened in self.sockets:
            opened.close()


def head(path, length=None, method="POST", extra=b""):
    chunked = b"Transfer-Encoding: chunked\r\n"
    size = chunked if length is None else b"Content-Length: %d\r\n" % length
    return (b"%s %s HTTP/1.1\r\nHost: h\r\nFoxtailgap-Credential: k\r\n%s%s\r\n"
            % (method.encode(), path.encode(), size, extra))


def get(path):
    return (b"GET %s HTTP/1.1\r\nHost: h\r\nFoxtailgap-Credential: k\r\n\r\n"
            % path.encode())


def chunks(size, each):
    data = b"x" * each
    return (b"%x\r\n%s\r\n" % (each, data)) * (size // each)


# --- Kinds ---

NEARLY = b"x" * (BODY_LIMIT - 1)


async def nearly_whole(crowd, port, path=None, piece=0):
    async def member(opened):
        await crowd.send(opened, head(path or crowd.path(), BODY_LIMIT)
                         + NEARLY, piece)
    await crowd.each(port, member)


async def bodies_in_one_piece(crowd):
    await nearly_whole(crowd, crowd.host.port)


async def bodies_in_pieces(crowd):
    await nearly_whole(crowd, crowd.host.port, piece=2048)


async def bodies_in_chunks(crowd):
    async def member(opened):
        await crowd.send(opened, head(crowd.path())
                         + chunks(BODY_LIMIT - 4096, 512), 16384)
    await crowd.each(crowd.host.port, member)


async def bodies_without_route(crowd):
    await nearly_whole(crowd, crowd.host.port, "/none/0000000000000001")


async def bodies_to_readiness(crowd):
    await nearly_whole(crowd, crowd.host.ready_port, "/ready")


async def bodies_to_metrics(crowd):
    await nearly_whole(crowd, crowd.host.metrics_port, "/metrics")


async def over_the_limit(crowd):
    async def member(opened):
        size = 16 * BODY_LIMIT
        await crowd.send(opened, head(crowd.path(), size) + b"x" * size, 65536)
    await crowd.each(crowd.host.port, member)


async def over_the_limit_in_chunks(crowd):
    async def member(opened):
        await crowd.send(opened, head(crowd.path())
                         + chunks(16 * BODY_LIMIT, 4096), 65536)
    await crowd.each(crowd.host.port, member)


async def whole(crowd, body):
    async def member(opened):
        await crowd.send(opened, head(crowd.path(), len(body)) + body)
        await crowd.read(opened)
    await crowd.each(crowd.host.port, member)


async def whole_empty_steps(crowd):
    start, end = b'{"spec":"x","phases":[', b"{}]}"
    count = (BODY_LIMIT - len(start) - len(end)) // 3
    await whole(crowd, start + b"{}," * count + end)


async def whole_short_fields(crowd):
    fields = b",".join(b'"%x":1' % number for number in range(25000))
    await whole(crowd, b'{"spec":"x","phases":[{"count":1}],' + fields + b"}")


async def whole_deep_nesting(crowd):
    depth = BODY_LIMIT // 2 - 100
    await whole(crowd, b'{"spec":"x","phases":' + b"[" * depth + b"]" * depth
                + b"}")


async def whole_long_texts(crowd):
    """Jobs that can be run, but whose text is far longer than the pages
    allow."""
    body = dict(JOB, spec="x" * (BODY_LIMIT - 1000))
    await whole(crowd, json.dumps(body).encode())


async def ahead_without_reading(crowd):
    async def member(opened):
        await crowd.send(opened, get("/q/") * AHEAD)
    await crowd.each(crowd.host.port, member)


async def slow_senders(crowd):
    async def member(opened):
        await crowd.send(opened, head(crowd.path(), 4000) + b"x" * 3999, 16,
                         0.3)
    await crowd.each(crowd.host.port, member)


async def slow_readers(crowd):
    """Many answers are wanted, and one byte of them is read now and then."""
    async def member(opened):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sending = asyncio.create_task(
            crowd.send(opened, get("/none/1") * 2000))
        try:
            for _ in range(20):
                await asyncio.sleep(0.2)
                await asyncio.wait_for(
                    asyncio.get_running_loop().sock_recv(opened, 1), 5)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            sending.cancel()
    await crowd.each(crowd.host.port, member)


async def half_closed(crowd):
    async def member(opened):
        await crowd.send(opened, head(crowd.path(), BODY_LIMIT)
                         + NEARLY[:100000])
        try:
            opened.shutdown(socket.SHUT_WR)
        except OSError:
            pass
    await crowd.each(crowd.host.port, member)


async def silent(crowd):
    async def member(opened):
        pass
    await crowd.each(crowd.host.port, member)


async def idle_after_an_answer(crowd):
    async def member(opened):
        await crowd.send(opened, get("/q/"))
        await crowd.read(opened)
    await crowd.each(crowd.host.port, member)


async def idle_at_readiness(crowd):
    async def member(opened):
        await crowd.send(opened, get("/ready"))
        await crowd.read(opened)
    await crowd.each(crowd.host.ready_port, member)


async def idle_at_metrics(crowd):
    async def member(opened):
        await crowd.send(opened, get("/metrics"))
        await crowd.read(opened)
    await crowd.each(crowd.host.metrics_port, member)


async def many_headers(crowd):
    extra = b"".join(b"a%x: 1\r\n" % number for number in range(20000))

    async def member(opened):
        await crowd.send(opened, head(crowd.path(), 10, extra=extra))
    await crowd.each(crowd.host.port, member)


# With the limit of connections.
KINDS = {
    "bodies-in-one-piece": (bodies_in_one_piece, CONNECTION_LIMIT),
    "bodies-in-pieces": (bodies_in_pieces, CONNECTION_LIMIT),
    "bodies-in-chunks": (bodies_in_chunks, CONNECTION_LIMIT),
    "bodies-without-route": (bodies_without_route, CONNECTION_LIMIT),
    "bodies-to-readiness": (bodies_to_readiness, CONNECTION_LIMIT),
    "bodies-to-metrics": (bodies_to_metrics, CONNECTION_LIMIT),
    "over-the-limit": (over_the_limit, CONNECTION_LIMIT),
    "over-the-limit-in-chunks": (over_the_limit_in_chunks, CONNECTION_LIMIT),
    "whole-empty-steps": (whole_empty_steps, CONNECTION_LIMIT),
    "whole-short-fields": (whole_short_fields, CONNECTION_LIMIT),
    "whole-deep-nesting": (whole_deep_nesting, CONNECTION_LIMIT),
    "whole-long-texts": (whole_long_texts, CONNECTION_LIMIT),
    "ahead-without-reading": (ahead_without_reading, FEW_CONNECTIONS),
    "slow-senders": (slow_senders, FEW_CONNECTIONS),
    "slow-readers": (slow_readers, FEW_CONNECTIONS),
    "half-closed": (half_closed, CONNECTION_LIMIT),
    "silent": (silent, FEW_CONNECTIONS),
    "idle-after-an-answer": (idle_after_an_answer, FEW_CONNECTIONS),
    "idle-at-readiness": (idle_at_readiness, CONNECTION_LIMIT),
    "idle-at-metrics": (idle_at_metrics, CONNECTION_LIMIT),
    "many-headers": (many_headers, CONNECTION_LIMIT),
}


# --- The host ---

class SmallHost(soak.Host):
    """A host on a small machine."""

    def __init__(self, folder, store, violations, connection_limit,
                 memory_mb):
        super().__init__(folder, "host-0", store, False,
                         standin.LEASE_LIMIT_MS, violations)
        with open(self.settings_path, encoding="utf-8") as settings:
            text = settings.read()
        addresses = dict(line.split(": ") for line in text.splitlines())
        self.ready_port = int(addresses["readiness"].split(":")[1])
        self.metrics_port = int(addresses["metrics"].split(":")[1])
        text += (f"connection_limit: {connection_limit}\n"
                 f"body_limit_bytes: {BODY_LIMIT}\n")
        self.write(text + f"memory_mb: {memory_mb}\n")
        if subprocess.call([f"{soak.BUILD}/bin/foxtailgap-hostd", "--check",
                            "--settings", self.settings_path],
                           stdout=subprocess.DEVNULL) != 0:
            self.write(text)

    def write(self, text):
        with open(self.settings_path, "w", encoding="utf-8") as settings:
            settings.write(text)

    def peak_mb(self):
        with open(f"/proc/{self.process.pid}/status",
                  encoding="ascii") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def fetch(port, path):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}",
                                    timeout=3) as answer:
            return answer.status
    except (OSError, http.client.HTTPException):
        return 0


async def until(attempt):
    """Repeats it until it succeeds or PATIENCE_S are over."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + PATIENCE_S
    while loop.time() < end_s:
        if await attempt():
            return True
        await asyncio.sleep(0.1)
    return False


async def answers(port, path):
    return await asyncio.get_running_loop().run_in_executor(
        None, fetch, port, path) == 200


class Trial:
    def __init__(self, kind, size, connection_limit, memory_mb):
        self.kind = kind
        self.size = size
        self.connection_limit = connection_limit
        self.memory_mb = memory_mb
        self.held = True
        self.most_descriptors = 0

    def report(self, text, held):
        if not held:
            print(f"failed: {text}")
        self.held = self.held and held

    async def watch_descriptors(self, host):
        while True:
            self.most_descriptors = max(self.most_descriptors,
                                        host.descriptors())
            await asyncio.sleep(0.05)

    async def submit(self, host, job):
        return await until(lambda: self.accepted(host, job))

    async def accepted(self, host, job):
        return (await soak.call_async(host, "POST", job, JOB))[0] == 200

    async def completed(self, host, job):
        return b"completed" in (await soak.call_async(host, "GET", job))[1]

    async def run(self, folder):
        world = soak.Soak(1, 0, False)
        await world.store.put("keyed.op", "config",
                              json.dumps(soak.CONFIG).encode())
        for name in ("w0", "w1"):
            worker = standin.Worker(name, "r0", world.checker)
            worker.address = await standin.serve(
                standin.worker_handler(worker))
            world.workers.append(worker)
        store = await standin.serve(
            standin.store_handler(world.store, "host-0"))
        host = SmallHost(folder, store, world.checker.violations,
                         self.connection_limit, self.memory_mb)
        await host.start()
        tasks = [asyncio.create_task(world.run_workers())]
        self.report("ready before the crowd",
                    await until(lambda: answers(host.ready_port, "/ready")))
        tasks.append(asyncio.create_task(self.watch_descriptors(host)))
        await self.check(host)
        for task in tasks:
            task.cancel()
        await host.stop(15)
        if world.checker.violations:
            self.report("; ".join(world.checker.violations), False)

    async def check(self, host):
        earlier, later = "%016x" % 1, "%016x" % 2
        crowd = Crowd(host, self.size)
        self.report("a job is accepted before the crowd",
                    await self.submit(host, earlier))
        await self.kind(crowd)
        await asyncio.sleep(SETTLE_S)
        lives = host.process.returncode is None
        self.report("the process lives", lives)
        if not lives:
            return
        self.report("an ordinary job is accepted",
                    await self.submit(host, later))
        self.report("the earlier job has run",
                    await until(lambda: self.completed(host, earlier)))
        self.report("the later job has run",
                    await until(lambda: self.completed(host, later)))
        self.report("the host is ready", await until(
            lambda: answers(host.ready_port, "/ready")))
        self.report("the metrics are answered", await until(
            lambda: answers(host.metrics_port, "/metrics")))
        lives = host.process.returncode is None
        self.report("the process lives afterwards", lives)
        if not lives:
            return
        peak_mb = host.peak_mb()
        bound_mb = (SANITIZED_MB if os.environ.get("SAN_FLAGS")
                    else self.memory_mb)
        print(f"peak {peak_mb:.1f} MB of {bound_mb} MB, "
              f"{self.most_descriptors} descriptors", file=sys.stderr)
        self.report("its memory stays within the machine's",
                    peak_mb <= bound_mb)
        self.report("its descriptors stay under their bound",
                    self.most_descriptors
                    <= self.connection_limit + OTHER_DESCRIPTORS)
        crowd.close()


def main():
    stack_dump.register()
    kind, connection_limit = KINDS[sys.argv[1]]
    size = int(sys.argv[2]) if len(sys.argv) > 2 else CROWD
    if len(sys.argv) > 3:
        connection_limit = int(sys.argv[3])
    memory_mb = int(sys.argv[4]) if len(sys.argv) > 4 else MEMORY_MB
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    trial = Trial(kind, size, connection_limit, memory_mb)
    asyncio.run(trial.run(tempfile.mkdtemp(prefix="callers-")))
    if trial.held:
        print("kept")
    return 0 if trial.held else 1


if __name__ == "__main__":
    sys.exit(main())
