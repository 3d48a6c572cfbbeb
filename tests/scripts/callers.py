"""Concurrent callers that send requests to entry hosts and record a history.

Each caller sends one request after another, to the entry hosts in turn, over
keep-alive connections.  Each body is different, so that the history checker
can distinguish the requests.  Writes the events `sent` and `told` of
docs/design/platform.md, and prints the number of attempts by result: the
state of the answer, "broken" (the connection closed before the complete
answer), "silent" (no answer in time), "unreached" (the host refused the
connection) or "foreign" (the answer to another request).  After a broken
connection or a timeout, a request that is not repeatable is sent again to the
next host with the same key.
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
end_s = time.monotonic() + args.seconds


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


def record_event(what, **members):
    line = {"t_ms": int(time.time() * 1000), "who": "test", "what": what}
    with lock:
        history.write(json.dumps({**line, **members}) + "\n")


def count(result, started_s):
    with lock:
        counts[result] += 1
        slowest_ms[result] = max(slowest_ms[result],
                                 int((time.monotonic() - started_s) * 1000))


class Caller(threading.Thread):
    def __init__(self, number):
        super().__init__(daemon=True)
        self.random = random.Random(args.seed * 1000 + number)
        self.number = number
        self.ports = [int(port) for port in args.ports.split(",")]
        self.next_port_index = number
        self.connections = {}

    def send(self, port, body, headers):
        """Returns (state, status, body).  Raises OSError or HTTPException if
        there is no complete answer."""
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
            self.close_connection(port)
        return state, response.status, data

    def close_connection(self, port):
        connection = self.connections.pop(port, None)
        if connection is not None:
            connection.close()

    def send_one_request(self, index):
        team = self.random.choice(args.teams.split(","))
        at_most_once = self.random.randrange(100) < args.once_percent
        key = "%s-%d-%d" % (args.tag, self.number, index)
        body = json.dumps({"n": key, "run_ms": args.run_ms}).encode()
        headers = {"Foxtailgap-Team": team,
                   "Foxtailgap-Deadline-Ms": str(args.deadline_ms)}
        if at_most_once:
            headers.update({"Foxtailgap-Repeatable": "no",
                            "Idempotency-Key": key})
        record_event("sent", body=digest(body), repeatable=not at_most_once)
        earlier_attempt_failed = False
        for _ in range(2 * len(self.ports)):
            port = self.ports[self.next_port_index % len(self.ports)]
            self.next_port_index += 1
            started_s = time.monotonic()
            try:
                state, status, data = self.send(port, body, headers)
            except ConnectionRefusedError:
                self.close_connection(port)
                count("unreached", started_s)
                continue
            except (OSError, http.client.HTTPException) as error:
                self.close_connection(port)
                timed_out = isinstance(error, socket.timeout)
                count("silent" if timed_out else "broken", started_s)
                earlier_attempt_failed = True
                if at_most_once:
                    continue
                return
            count(state or "status %d" % status, started_s)
            if state == "finished":
                record_event("told", body=digest(body), state="finished",
                     answer=digest(data))
                if status == 200 and body not in data:
                    count("foreign", started_s)
            elif state == "refused" and not earlier_attempt_failed:
                record_event("told", body=digest(body), state="not_run")
            else:
                record_event("told", body=digest(body), state=state)
            return

    def run(self):
        for index in range(args.requests):
            if time.monotonic() >= end_s:
                return
            self.send_one_request(index)
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
