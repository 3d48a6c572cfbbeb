"""Stand-in of the users' platform for tests: one keyed store and some workers.

Answers the calls that foxtailgap-hostd makes to the store and to workers, and
checks at the workers that no task runs twice at once and that no task starts
after the host has acknowledged its success.  RunChecker lists the violations.

The calls and documents use the platform's words.  The project's terms:

    zone               data centre
    born               time at which the worker was started
    servers            workers (topic keyed.servers)
    keyed.op           topic of the operator's configuration
    evacuate/NAME      the record by which a data centre is closed
    gpu                accelerators
    tenants            teams
    routes             queues, to which a path prefix leads
    phases             steps of a job
    host (of a route)  host name in the request, not a machine
"""
import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

MAX_OUTCOMES_PER_ANSWER = 500
NEWEST_ITEMS_MAX = 500
NEWEST_MAX_BYTES = 1000 * 1000


class Topic:
    """One topic of the store.  A producer's epoch and sequence number fence
    off older producers; a repeated append gets the stored answer again."""

    def __init__(self):
        self.records = []  # (key, value or None)
        self.first_kept = 0  # records before this one have been dropped
        self.epoch = 0
        self.sequence = -1
        self.answers = {}
        self.appended = asyncio.get_running_loop().create_future()

    def append(self, *records):
        self.records.extend(records)
        self.appended.set_result(None)
        self.appended = asyncio.get_running_loop().create_future()

    async def wait_for_record(self, offset, wait_s):
        """Waits until there is a record at the offset, for at most wait_s.
        Not by asyncio.Condition and asyncio.wait_for: in Python 3.11, a
        cancelled task can lose the condition's lock, or its cancellation, and
        then never ends."""
        end_s = time.monotonic() + wait_s
        while len(self.records) <= offset and time.monotonic() < end_s:
            await asyncio.wait([self.appended],
                               timeout=end_s - time.monotonic())


class Paths:
    """Which paths between a host and the store or a worker are cut.  A call on
    a cut path is not carried out, and gets no answer; nor does a call whose
    path is cut before its answer is sent."""

    def __init__(self):
        self.cut = set()  # (host, name of a worker, or STORE)

    async def until_healed(self, path):
        while path in self.cut:
            await asyncio.sleep(0.02)
        raise ConnectionResetError

    def wrap(self, path, handler):
        """The handler for calls on a path."""
        async def handle(method, target, body):
            if path in self.cut:
                await self.until_healed(path)
            answer = await handler(method, target, body)
            if path in self.cut:
                await self.until_healed(path)
            return answer
        return handle


STORE = "store"


class Store:
    """Keyed topics.

    outage: None, "busy" (every call gets status 503) or "silent" (no call is
    answered).  lost_answer_share: share, 0 to 1, of calls that take effect
    but get no answer; it needs rng.  A page of the newest records has up to
    newest_items_max of them, and takes page_s.  reads_hidden: a read of the
    log gets no answer, and its connection is reset afterwards.
    """

    def __init__(self):
        self.topics = {}
        # host -> address of a worker -> its address for that host
        self.addresses = {}
        self.outage = None
        self.lost_answer_share = 0.0
        self.rng = None
        self.newest_items_max = NEWEST_ITEMS_MAX
        self.page_s = 0.0
        self.reads_hidden = False

    def drop_history(self):
        """Only the newest record of each key is left, and all records that
        will be appended."""
        for topic in self.topics.values():
            topic.first_kept = len(topic.records)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def close(self, data_centre, checker, value):
        """The operator closes a data centre; value None: opens it."""
        await self.put("keyed.op", "evacuate/" + data_centre, value)
        if value is None:
            checker.closed_s.pop(data_centre, None)
        else:
            checker.closed_s.setdefault(data_centre, time.monotonic())

    async def put(self, name, key, value):
        self.topic(name).append((key, value))

    def value_for(self, host, value):
        """Each host reaches a worker at an address of its own, so that their
        paths can be cut apart."""
        for address, own in self.addresses.get(host, {}).items():
            value = value and value.replace(address.encode(), own.encode())
        return value

    async def handle(self, path, query, body, host=None):
        if self.outage == "busy":
            return 503, b"{}"
        if self.outage == "silent":
            await asyncio.sleep(3600)
        topic = self.topic(query["topic"][0])
        if path == "/log-append":
            answer = await self.append(topic, query, body)
            if self.rng and self.rng.random() < self.lost_answer_share:
                await asyncio.sleep(3600)
            return answer
        if path == "/log-read":
            answer = await self.read(topic, query, host)
            if self.reads_hidden:
                while self.reads_hidden:
                    await asyncio.sleep(0.01)
                raise ConnectionResetError
            return answer
        if path == "/log-newest":
            await asyncio.sleep(self.page_s)
            return self.newest(topic, query, host)
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
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            key = content[1:1 + content[0]].decode()
            records.append((key, content[1 + content[0]:] or None))
        topic.append(*records)
        answer = json.dumps(
            {"offset": first, "end_offset": len(topic.records)}).encode()
        if "epoch" in query:
            topic.answers[(epoch, sequence)] = answer
        return 200, answer

    async def read(self, topic, query, host):
        start, wait_ms = int(query["from"][0]), int(query["wait_ms"][0])
        await topic.wait_for_record(start, wait_ms / 1000)
        if start < topic.first_kept:
            return 410, json.dumps({"start_offset": topic.first_kept}).encode()
        out = [struct.pack(">QQ", len(topic.records), topic.first_kept)]
        left_bytes = int(query["max_kb"][0]) * 1024
        for key, value in topic.records[start:]:
            value = self.value_for(host, value)
            content = bytes([len(key)]) + key.encode() + (value or b"")
            left_bytes -= len(content)
            if left_bytes < 0 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def newest(self, topic, query, host):
        """A page has up to NEWEST_ITEMS_MAX keys, in their order."""
        after = query.get("depends_on", [""])[0]
        newest = {}
        for offset, (key, value) in enumerate(topic.records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, self.value_for(host, value))
        items, size_bytes = [], 0
        keys = sorted(key for key in newest if key > after)
        for key in keys[:self.newest_items_max]:
            offset, value = newest[key]
            size_bytes += len(value)
            if size_bytes > NEWEST_MAX_BYTES and items:
                break
            items.append({"key": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, json.dumps({"items": items,
                                "has_more": len(items) < len(keys),
                                "end_offset": len(topic.records)}).encode()


# The first task of a job with this text crashes each worker that starts it.
DEADLY_SPEC = "deadly"
CRASH_DELAY_S = 0.01
# The platform's rule: after as many crashes, the task is not started so often.
CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 3
WORKER_ACCELERATORS = 8
# A smaller capacity counts this long and a heartbeat after the worker has it.
CAPACITY_NOTICE_MS = 3000
HEARTBEAT_MS = 500
LEASE_LIMIT_MS = 8000
# No task starts later than this after its data centre was closed.
CLOSING_MS = 3500
POLL_STEP_S = 0.01  # between two looks at the ends while a poll waits


class Run:
    """One run of a task; ends_at_s is a time of the monotonic clock."""

    def __init__(self, task, run_id, ends_at_s):
        self.task, self.run_id, self.ends_at_s = task, run_id, ends_at_s
        self.work_s = ends_at_s - time.monotonic()


class RunChecker:
    """Checks the runs of all workers together; work_s: duration of a run;
    gang_size is not used."""

    def __init__(self, work_s, gang_size):
        self.work_s, self.gang_size = work_s, gang_size
        self.draw_work_s = lambda: self.work_s
        self.running = {}  # task -> (worker, run)
        self.acknowledged = set()  # tasks whose `done` was acknowledged
        self.done_s = {}  # (task, run) -> when it ended `done`
        self.last_starts = {}  # task -> (when, run)
        self.violations = []
        self.completed = set()
        self.crashes = {}  # task -> workers that it has crashed
        self.crashes_under = {}  # task -> workers that crashed while it ran
        self.starts_after_limit = {}  # task -> starts after CRASHES_MAX
        self.closed_s = {}  # data centre -> since when it is closed

    def record_crash(self, culprit, runs, lost_ends):
        """culprit: the task that has crashed the worker, or None.  lost_ends:
        tasks whose ends were not acknowledged, so that they count as lost."""
        if culprit is not None:
            self.crashes[culprit] = self.crashes.get(culprit, 0) + 1
        for run in runs:
            self.crashes_under[run.task] = (
                self.crashes_under.get(run.task, 0) + 1)
            self.record_stop(run.task, run.run_id)
        for task in lost_ends:
            self.crashes_under[task] = self.crashes_under.get(task, 0) + 1

    def may_be_given_up(self, job):
        """Whether two workers have crashed under a task of the job."""
        return any(count >= 2 for task, count in self.crashes_under.items()
                   if task.startswith(job + "."))

    def record_start(self, task, worker, run):
        if self.crashes.get(task, 0) >= CRASHES_MAX:
            starts = self.starts_after_limit.get(task, 0) + 1
            self.starts_after_limit[task] = starts
            if starts >= STARTS_AFTER_CRASHES_MAX:
                self.violations.append(f"BUDGET {task} run {run}")
        closed_s = self.closed_s.get(worker.data_centre, float("inf"))
        if time.monotonic() - closed_s > CLOSING_MS / 1000:
            self.violations.append(
                f"EVAC {task} run {run} in {worker.data_centre}, "
                f"{time.monotonic() - closed_s:.3f} s after it was closed")
        if task in self.running:
            # Its lease may have passed since it was last looked at.
            self.running[task][0].end_due_runs()
        if task in self.running:
            self.violations.append(f"TWICE {task} run {run}")
        if task in self.acknowledged:
            self.violations.append(f"AFTER DONE {task} run {run}")
        self.last_starts[task] = (time.monotonic(), run)
        self.running[task] = (worker, run)

    def record_acknowledged(self, task, run):
        """The end `done` of a run has been acknowledged.  A start between that
        end and now counts, too."""
        self.acknowledged.add(task)
        started_s, started_run = self.last_starts[task]
        if started_run != run and started_s > self.done_s[(task, run)]:
            self.violations.append(
                f"DONE BEFORE {task} run {run}, started as {started_run}")

    def record_stop(self, task, run):
        if self.running.get(task, (None, None))[1] == run:
            del self.running[task]


class Worker:
    """A worker of the platform.  An outcome is kept until the host has
    acknowledged it.  When the lease passes, all runs end as `lapsed`."""

    def __init__(self, name, rack, checker):
        self.name, self.rack, self.checker = name, rack, checker
        self.fail_all = False
        self.unresponsive = False
        self.cut_off = False  # from the store
        self.lease_limit_ms = LEASE_LIMIT_MS
        self.guards_capacity = True
        self.clock_rate = 1.0  # 0.98: the clock is 2% slow
        # Return the seconds after which a start, or any other call, is carried
        # out without an answer; None: it is answered.
        self.delay_start = lambda: None
        self.delay_other = lambda: None
        # Whether a call that waits is carried out by the process that starts
        # after a crash; otherwise it ends with the process that had it.
        self.calls_outlive_process = True
        # Whether a task counts as lost in a crash if its run had ended and the
        # outcome was not acknowledged.
        self.counts_lost_outcomes = False
        self.late_count = 0  # answered starts that were refused as late
        self.poll_count = 0
        self.state = "ready"
        self.data_centre = "dc"
        self.cpus_milli = self.memory_mib = 8000
        self.capacities = []  # (since_s, accelerators), oldest first
        self.set_capacity(WORKER_ACCELERATORS)
        self.reset()

    def set_capacity(self, accelerators):
        """An earlier, larger capacity counts for a while."""
        self.accelerators = accelerators
        self.capacities.append((time.monotonic(), accelerators))

    def largest_recent_capacity(self):
        """The largest capacity that still counts."""
        oldest_s = (time.monotonic()
                    - (CAPACITY_NOTICE_MS + HEARTBEAT_MS) / 1000)
        largest = self.accelerators
        for (_, value), (until_s, _) in zip(self.capacities,
                                            self.capacities[1:]):
            if until_s >= oldest_s:
                largest = max(largest, value)
        return largest

    def crash(self, culprit=None):
        """Restarts without its runs, under the same id."""
        lost_ends = ([outcome[1] for outcome in self.outcomes]
                     if self.counts_lost_outcomes else [])
        self.checker.record_crash(culprit, list(self.runs.values()), lost_ends)
        self.reset()

    def reset(self):
        self.started_s = time.monotonic()
        self.started_unix_ms = int(time.time() * 1000)
        self.fencing_token, self.lease_deadline_ms = 0, 0
        self.runs, self.outcomes, self.outcome_count = {}, [], 0
        self.unnoted_count = 0  # outcomes up to here are older than a lapse
        self.highest_run_ids = {}  # task -> highest run_id of a start or stop

    def extend_lease(self, deadline_ms):
        """The platform's rule: a longer lease is shortened to the limit."""
        limit_ms = self.clock_ms() + self.lease_limit_ms
        self.lease_deadline_ms = max(self.lease_deadline_ms,
                                     min(deadline_ms, limit_ms))

    def clock_ms(self):
        elapsed_s = time.monotonic() - self.started_s
        return int(elapsed_s * 1000 * self.clock_rate)

    def catalog_record(self, address, sequence):
        return json.dumps({
            "service": "desk", "address": address,
            "zone": self.data_centre,
            "version": "v1", "slots": 8, "state": self.state, "seq": sequence,
            "capacity": {"cpu": self.cpus_milli, "mem_mb": self.memory_mib,
                         "gpu": self.accelerators},
            "labels": ["a", self.rack], "born": self.started_unix_ms}).encode()

    def end_run(self, run, outcome):
        del self.runs[run.task]
        self.checker.record_stop(run.task, run.run_id)
        if outcome == "done":
            self.checker.completed.add(run.task)
            self.checker.done_s[(run.task, run.run_id)] = time.monotonic()
        self.outcome_count += 1
        self.outcomes.append(
            [self.outcome_count, run.task, run.run_id, outcome, ""])

    def leave(self):
        """Ends all runs and answers nothing any more."""
        for run in list(self.runs.values()):
            self.checker.record_stop(run.task, run.run_id)
        self.reset()
        self.unresponsive = True

    def end_due_runs(self):
        now = time.monotonic()
        if self.clock_ms() > self.lease_deadline_ms:
            self.unnoted_count = self.outcome_count
        for run in list(self.runs.values()):
            if self.clock_ms() > self.lease_deadline_ms:
                self.end_run(run, "lapsed")
            elif now >= run.ends_at_s:
                self.end_run(run, "failed" if self.fail_all else "done")

    async def handle(self, path, body):
        if self.unresponsive:
            await asyncio.sleep(3600)
        command = json.loads(body)
        delay_s = (self.delay_start() if path == "/run-start"
                   else self.delay_other())
        started_s = self.started_s
        if delay_s is not None:
            await asyncio.sleep(delay_s)
            if (self.started_s != started_s
                    and not self.calls_outlive_process):
                raise ConnectionResetError
            if path in ("/run-start", "/run-stop"):
                self.execute(path, command)
            elif self.check_fence(command) is None:
                await self.renew_lease(dict(command, wait_ms=0))
            raise ConnectionResetError
        if path in ("/run-start", "/run-stop"):
            status, answer = self.execute(path, command)
            self.late_count += b'"late"' in answer
            return status, answer
        self.poll_count += 1
        refusal = self.check_fence(command)
        return refusal or await self.renew_lease(command)

    def execute(self, path, command):
        refusal = self.check_fence(command)
        if refusal is not None:
            return refusal
        return self.start(command) if path == "/run-start" else self.stop(
            command)

    def check_fence(self, command):
        """Returns the refusal of a call with a lower token than one before;
        None: it is to be carried out."""
        self.end_due_runs()
        if command.get("fencing_token", 0) < self.fencing_token:
            return self.refuse("fence")
        self.fencing_token = command.get("fencing_token", 0)
        return None

    def refuse(self, reason):
        return 409, json.dumps({"clock_ms": self.clock_ms(),
                                "reason": reason}).encode()

    def ok(self, **fields):
        fields["clock_ms"] = self.clock_ms()
        fields["born"] = self.started_unix_ms
        return 200, json.dumps(fields).encode()

    def start(self, command):
        task, run_id = command["task"], command["run_id"]
        run = self.runs.get(task)
        if run is not None and run.run_id == run_id:
            return self.ok()
        if run_id <= self.highest_run_ids.get(task, 0):
            return self.refuse("old")
        if command["deadline_ms"] < self.clock_ms():
            return self.refuse("late")
        if self.guards_capacity and not self.has_room(task):
            return self.refuse("room")
        if len(self.runs) >= self.largest_recent_capacity():
            self.checker.violations.append(
                f"LIMIT {task} run {run_id} on {self.name}")
        self.extend_lease(command["deadline_ms"])
        self.highest_run_ids[task] = run_id
        self.checker.record_start(task, self, run_id)
        self.add_run(task, run_id)
        if command["spec"] == DEADLY_SPEC and task.endswith(".0"):
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self.crash_by, task, self.started_unix_ms)
        return self.ok()

    def has_room(self, _):
        return len(self.runs) < self.accelerators

    def add_run(self, task, run_id):
        self.runs[task] = Run(task, run_id,
                              time.monotonic() + self.checker.draw_work_s())

    def crash_by(self, task, started_unix_ms):
        if self.started_unix_ms == started_unix_ms and task in self.runs:
            self.crash(task)

    def stop(self, command):
        task, run_id = command["task"], command["run_id"]
        self.highest_run_ids[task] = max(self.highest_run_ids.get(task, 0),
                                         run_id)
        run = self.runs.get(task)
        if run is not None and run.run_id == run_id:
            self.end_run(run, "stopped")
        return self.ok()

    def percent(self, run):
        left_s = max(run.ends_at_s - time.monotonic(), 0)
        return int(100 * (1 - left_s / run.work_s))

    async def renew_lease(self, command):
        if "deadline_ms" in command:
            self.extend_lease(command["deadline_ms"])
        ack_cursor = command["ack_cursor"]
        for outcome in self.outcomes:
            # The platform's rule: acknowledging an end after the lease has
            # lapsed does not count.
            if (self.unnoted_count < outcome[0] <= ack_cursor
                    and outcome[3] == "done"):
                self.checker.record_acknowledged(outcome[1], outcome[2])
        self.outcomes = [outcome for outcome in self.outcomes
                         if outcome[0] > ack_cursor]
        wait_end_s = time.monotonic() + command.get("wait_ms", 0) / 1000
        started_s = self.started_s
        while not self.outcomes and time.monotonic() < wait_end_s:
            await asyncio.sleep(POLL_STEP_S)
            if (self.started_s != started_s
                    and not self.calls_outlive_process):
                raise ConnectionResetError
            self.end_due_runs()
        running = [[run.task, run.run_id, "", self.percent(run), 0]
                   for run in self.runs.values()]
        return self.ok(running=running,
                       finished=self.outcomes[:MAX_OUTCOMES_PER_ANSWER])


open_connections = {}  # writer -> group
silent_connections = set()  # writers


def silence_connections(group):
    """All connections of a group that are open now stay open, but are not
    answered any more; new ones work."""
    silent_connections.update(
        writer for writer, other in open_connections.items()
        if other == group)


async def until_cancelled():
    while True:
        await asyncio.sleep(3600)


def reset_connections():
    """Breaks all connections to the stand-ins with a reset."""
    for writer in list(open_connections):
        writer.transport.abort()


async def serve(handler, group=None):
    """Serves HTTP on a free loopback port and returns its address, IP:PORT.

    The handler gets method, target and body, and returns (status, body).  See
    silence_connections() for the group.
    """

    async def connection(reader, writer):
        open_connections[writer] = group
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                if writer in silent_connections:
                    await until_cancelled()
                status, answer = await handler(method, target, body)
                if writer in silent_connections:
                    await until_cancelled()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            open_connections.pop(writer, None)
            silent_connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


def store_handler(store, host=None):
    async def handle(method, target, body):
        parts = urlsplit(target)
        return await store.handle(parts.path, parse_qs(parts.query), body,
                                  host)
    return handle


def worker_handler(worker):
    async def handle(method, target, body):
        return await worker.handle(target, body)
    return handle
