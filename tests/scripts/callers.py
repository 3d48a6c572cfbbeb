"""Callers that send requests to entry hosts at once, and a history of it.

Each caller sends one request after another, to the entry hosts in turn, over
a kept connection.  Bodies differ, so that the checker tells requests apart.
Writes the lines `sent` and `told` of docs/design/platform.md, and prints how
many requests ended in each state.  Counts: "broken" is a connection that
ended without a whole answer, "unreached" a host that took no connection.
A request that is not repeatable, and whose connection broke, is asked for
again at the next host by its key.
"""
import argparse
import collections
import hashlib
import http.client
import json
import random
import socket
import threading
import time

parser = argparse.ArgumentParser()
parser.add_argument("--ports", required=True)
parser.add_argument("--service", required=True)
parser.add_argument("--teams", default="clinics")
parser.add_argument("--history", required=True)
parser.add_argument("--callers", type=int, default=16)
parser.add_argument("--seconds", type=float, default=3)
parser.add_argument("--requests", type=int, default=10 ** 9)
parser.add_argument("--once-percent", type=int, default=0)
parser.add_argument("--run-ms", type=int, default=20)
parser.add_argument("--deadline-ms", type=int, default=2000)
parser.add_argument("--pause-ms", type=int, default=0)
parser.add_argument("--tag", default="r")
parser.add_argument("--seed", type=int, default=1)
args = parser.parse_args()

lock = threading.Lock()
history = open(args.history, "a", buffering=1)
counts = collections.Counter()
slowest_ms = collections.Counter()
until = time.monotonic() + args.seconds


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


def note(what, **members):
    line = {"t_ms": int(time.time() * 1000), "who": "test", "what": what}
    with lock:
        history.write(json.dumps({**line, **members}) + "\n")


def count(name, started):
    with lock:
        counts[name] += 1
        slowest_ms[name] = max(slowest_ms[name],
                               int((time.monotonic() - started) * 1000))


class Caller(threading.Thread):
    def __init__(self, number):
        super().__init__(daemon=True)
        self.random = random.Random(args.seed * 1000 + number)
        self.number = number
        self.ports = [int(port) for port in args.ports.split(",")]
        self.next = number
        self.connections = {}

    def send(self, port, body, headers):
        """Returns (state, status, body); raises OSError if nothing whole
        came."""
        connection = self.connections.get(port)
        if connection is None:
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=args.deadline_ms / 1000 + 5)
            connection.connect()
            self.connections[port] = connection
        connection.request("POST", "/v1/services/%s/requests" % args.service,
                           body, headers)
        response = connection.getresponse()
        data = response.read()
        state = response.getheader("Foxtailgap-State")
        if response.will_close:
            self.forget(port)
        return state, response.status, data

    def forget(self, port):
        connection = self.connections.pop(port, None)
        if connection is not None:
            connection.close()

    def one(self, index):
        team = self.random.choice(args.teams.split(","))
        once = self.random.randrange(100) < args.once_percent
        name = "%s-%d-%d" % (args.tag, self.number, index)
        body = json.dumps({"n": name, "run_ms": args.run_ms}).encode()
        headers = {"Foxtailgap-Team": team,
                   "Foxtailgap-Deadline-Ms": str(args.deadline_ms)}
        if once:
            headers.update({"Foxtailgap-Repeatable": "no",
                            "Idempotency-Key": name})
        note("sent", body=digest(body), repeatable=not once)
        asked_again = False
        for _ in range(2 * len(self.ports)):
            port = self.ports[self.next % len(self.ports)]
            self.next += 1
            started = time.monotonic()
            try:
                state, status, data = self.send(port, body, headers)
            except ConnectionRefusedError:
                self.forget(port)
                count("unreached", started)
                continue
            except (OSError, http.client.HTTPException) as error:
                self.forget(port)
                silent = isinstance(error, socket.timeout)
                count("silent" if silent else "broken", started)
                asked_again = True
                if once:
                    continue
                return
            count(state or "status %d" % status, started)
            if state == "finished":
                note("told", body=digest(body), state="finished",
                     answer=digest(data))
                if status == 200 and body not in data:
                    count("foreign", started)
            elif state == "refused" and not asked_again:
                note("told", body=digest(body), state="not_run")
            else:
                note("told", body=digest(body), state=state)
            return

    def run(self):
        for index in range(args.requests):
            if time.monotonic() >= until:
                return
            self.one(index)
            if args.pause_ms:
                time.sleep(self.random.random() * args.pause_ms / 500)


callers = [Caller(number) for number in range(args.callers)]
for caller in callers:
    caller.start()
for caller in callers:
    caller.join()
print(json.dumps(dict(counts), sort_keys=True))
with open(args.history + ".slowest", "w") as file:
    json.dump(slowest_ms, file)
