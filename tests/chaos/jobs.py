"""Jobs, cancellations and configuration changes of the chaos run.

Sends one of them every 0.3 s to a random entry host.  Records what was sent
and what was answered in jobs.history, and the accepted jobs and revisions in
accepted.json.  With --end it waits until every accepted job has ended, and
checks that all entry hosts report the same states, that revisions keep the
digests with which they were accepted, and that none of them is missing.
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

END_STATES = {"finished", "failed", "refused", "cancelled", "unknown"}
END_TIMEOUT_S = 60

parser = argparse.ArgumentParser()
parser.add_argument("--dir", required=True)
parser.add_argument("--seed", type=int, default=1)
parser.add_argument("--seconds", type=float, default=10)
parser.add_argument("--document")
parser.add_argument("--end", action="store_true")
parser.add_argument("hosts", nargs="+")
args = parser.parse_args()
rng = random.Random(args.seed)
history = open(os.path.join(args.dir, "jobs.history"), "a", buffering=1)
accepted_path = os.path.join(args.dir, "accepted.json")


def listening_port(host):
    """Returns the port that the newest process of the host has printed.

    Without one it returns port 1, where nobody listens.
    """
    with open(os.path.join(args.dir, host + ".out")) as output:
        for line in output:
            if line.startswith("listening "):
                return int(line.split()[1])
    return 1


def call(host, method, path, data=None, headers=None):
    """Returns (status, JSON); status 0: no answer."""
    url = "http://127.0.0.1:%d%s" % (listening_port(host), path)
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=15) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except (OSError, ValueError):
        return 0, {}


def record_event(what, **members):
    line = {"t_ms": int(time.time() * 1000), "who": "test", "what": what}
    history.write(json.dumps({**line, **members}) + "\n")


def submit(number, jobs):
    repeatable = rng.random() < 0.7
    tasks = rng.choice([1, 1, 2, 4, 8])
    spec = {"team": rng.choice(["routes", "clinics", "rounds"]),
            "key": "job-%d" % number, "tasks": tasks,
            "accelerators": rng.choice([1, 2, 8]), "cpus_milli": 1000,
            "memory_mb": 100, "repeatable": repeatable,
            "payload": {"run_ms": rng.randrange(50, 3000)}}
    data = json.dumps(spec).encode()
    # The same submission through two hosts, as of a caller that got no answer
    # from the first one.
    answers = [call(rng.choice(args.hosts), "POST", "/v1/jobs", data)
               for _ in range(2)]
    names = {body["job"] for _, body in answers if "job" in body}
    if len(names) > 1:
        sys.exit("two jobs for one key: %s" % names)
    for name in names:
        record_event("sent", job=name, tasks=tasks, repeatable=repeatable)
        jobs.append(name)


def change_configuration(number, accepted):
    host = rng.choice(args.hosts)
    base = call(host, "GET", "/v1/status")[1].get("revision", 0)
    with open(args.document) as file:
        data = ("# change %d\n" % number + file.read()).encode()
    digest = hashlib.sha256(data).hexdigest()
    status, body = call(host, "POST", "/v1/config?base=%d&author=chaos" % base,
                        data, {"Foxtailgap-Digest": digest})
    if status == 200:
        accepted[body["revision"]] = digest


def run_load():
    jobs, accepted = [], {}
    deadline_s = time.monotonic() + args.seconds
    number = 0
    while time.monotonic() < deadline_s:
        number += 1
        kind = rng.random()
        if kind < 0.75 or not jobs:
            submit(number, jobs)
        elif kind < 0.85:
            call(rng.choice(args.hosts), "DELETE",
                 "/v1/jobs/" + rng.choice(jobs))
        else:
            change_configuration(number, accepted)
        time.sleep(0.3)
    with open(accepted_path, "w") as file:
        json.dump({"jobs": jobs, "accepted": accepted}, file)
    print("jobs %d, changes accepted %d" % (len(jobs), len(accepted)))


def has_ended(body):
    return body.get("state") in END_STATES


def check_end_state():
    with open(accepted_path) as file:
        sent = json.load(file)
    mismatches = 0
    deadline_s = time.monotonic() + END_TIMEOUT_S
    for name in sorted(set(sent["jobs"])):
        host = args.hosts[0]
        status, body = call(host, "GET", "/v1/jobs/" + name)
        while not has_ended(body) and time.monotonic() < deadline_s:
            time.sleep(0.1)
            status, body = call(host, "GET", "/v1/jobs/" + name)
        if not has_ended(body):
            print("job", name, "is not over:", status, json.dumps(body))
            mismatches += 1
            continue
        state = body["state"]
        record_event("told", job=name,
                     state=state if body.get("ran", True) else "not_run")
        for other in args.hosts[1:]:
            if call(other, "GET", "/v1/jobs/" + name)[1].get("state") != state:
                print("job", name, "is", state, "but not at", other)
                mismatches += 1
    digests = {revision: digest
               for revision, digest in sent["accepted"].items()}
    for host in args.hosts:
        revisions = call(host, "GET", "/v1/config/history")[1]["revisions"]
        for revision in revisions:
            accepted_digest = digests.get(str(revision["revision"]))
            if accepted_digest is not None \
                    and accepted_digest != revision["digest"]:
                print("revision", revision["revision"], "differs at", host)
                mismatches += 1
        newest = call(host, "GET", "/v1/status")[1]["revision"]
        if digests and newest < max(map(int, digests)):
            print(host, "has revision", newest, "in force, accepted was",
                  max(map(int, digests)))
            mismatches += 1
    sys.exit(1 if mismatches else 0)


if args.end:
    check_end_state()
else:
    run_load()
