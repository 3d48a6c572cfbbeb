"""Jobs, cancellations and configuration changes of the chaos run.

Sends one of them every 0.3 s to any entry host and notes what was sent and
told in jobs.history and config.json.  With --end it asks for every job until
it is over, and compares what the entry hosts say.
"""
import argparse
import hashlib
import json
import os
import random
import sys
import time
import urllib.error
import urllib.request

OVER = {"finished", "failed", "refused", "cancelled", "unknown"}
END_LIMIT_S = 60

parser = argparse.ArgumentParser()
parser.add_argument("--dir", required=True)
parser.add_argument("--seed", type=int, default=1)
parser.add_argument("--seconds", type=float, default=10)
parser.add_argument("--document")
parser.add_argument("--end", action="store_true")
parser.add_argument("hosts", nargs="+")
args = parser.parse_args()
chance = random.Random(args.seed)
history = open(os.path.join(args.dir, "jobs.history"), "a", buffering=1)
accepted_path = os.path.join(args.dir, "accepted.json")


def port(host):
    """The newest process of a host has printed it."""
    with open(os.path.join(args.dir, host + ".out")) as output:
        for line in output:
            if line.startswith("listening "):
                return int(line.split()[1])
    return 1


def call(host, method, path, data=None, headers=None):
    """Returns (status, JSON); status 0: no answer."""
    url = "http://127.0.0.1:%d%s" % (port(host), path)
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=15) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except (OSError, ValueError):
        return 0, {}


def note(what, **members):
    line = {"t_ms": int(time.time() * 1000), "who": "test", "what": what}
    history.write(json.dumps({**line, **members}) + "\n")


def submit(number, jobs):
    repeatable = chance.random() < 0.7
    tasks = chance.choice([1, 1, 2, 4, 8])
    spec = {"team": chance.choice(["routes", "clinics", "rounds"]),
            "key": "job-%d" % number, "tasks": tasks,
            "accelerators": chance.choice([1, 2, 8]), "cpus_milli": 1000,
            "memory_mb": 100, "repeatable": repeatable,
            "payload": {"run_ms": chance.randrange(50, 3000)}}
    data = json.dumps(spec).encode()
    # The same submission through two hosts, as a caller may that is unsure.
    told = [call(chance.choice(args.hosts), "POST", "/v1/jobs", data)
            for _ in range(2)]
    names = {body["job"] for _, body in told if "job" in body}
    if len(names) > 1:
        sys.exit("two jobs for one key: %s" % names)
    for name in names:
        note("sent", job=name, tasks=tasks, repeatable=repeatable)
        jobs.append(name)


def configure(number, accepted):
    host = chance.choice(args.hosts)
    base = call(host, "GET", "/v1/status")[1].get("revision", 0)
    with open(args.document) as file:
        data = ("# change %d\n" % number + file.read()).encode()
    digest = hashlib.sha256(data).hexdigest()
    status, body = call(host, "POST", "/v1/config?base=%d&author=chaos" % base,
                        data, {"Foxtailgap-Digest": digest})
    if status == 200:
        accepted[body["revision"]] = digest


def drive():
    jobs, accepted = [], {}
    until = time.monotonic() + args.seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        kind = chance.random()
        if kind < 0.75 or not jobs:
            submit(number, jobs)
        elif kind < 0.85:
            call(chance.choice(args.hosts), "DELETE",
                 "/v1/jobs/" + chance.choice(jobs))
        else:
            configure(number, accepted)
        time.sleep(0.3)
    with open(accepted_path, "w") as file:
        json.dump({"jobs": jobs, "accepted": accepted}, file)
    print("jobs %d, changes accepted %d" % (len(jobs), len(accepted)))


def is_over(body):
    return body.get("state") in OVER


def end():
    with open(accepted_path) as file:
        known = json.load(file)
    wrong = 0
    until = time.monotonic() + END_LIMIT_S
    for name in sorted(set(known["jobs"])):
        host = args.hosts[0]
        status, body = call(host, "GET", "/v1/jobs/" + name)
        while not is_over(body) and time.monotonic() < until:
            time.sleep(0.1)
            status, body = call(host, "GET", "/v1/jobs/" + name)
        if not is_over(body):
            print("job", name, "is not over:", status, json.dumps(body))
            wrong += 1
            continue
        state = body["state"]
        note("told", job=name,
             state=state if body.get("ran", True) else "not_run")
        for other in args.hosts[1:]:
            if call(other, "GET", "/v1/jobs/" + name)[1].get("state") != state:
                print("job", name, "is", state, "but not at", other)
                wrong += 1
    digests = {revision: digest
               for revision, digest in known["accepted"].items()}
    for host in args.hosts:
        revisions = call(host, "GET", "/v1/config/history")[1]["revisions"]
        for revision in revisions:
            wanted = digests.get(str(revision["revision"]))
            if wanted is not None and wanted != revision["digest"]:
                print("revision", revision["revision"], "differs at", host)
                wrong += 1
        newest = call(host, "GET", "/v1/status")[1]["revision"]
        if digests and newest < max(map(int, digests)):
            print(host, "has revision", newest, "in force, accepted was",
                  max(map(int, digests)))
            wrong += 1
    sys.exit(1 if wrong else 0)


if args.end:
    end()
else:
    drive()
