"""Processes of a bench run: the platform's stand-ins, three entry hosts."""

import hashlib
import http.client
import json
import pathlib
import re
import subprocess
import time

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
WORKER_COUNT = 50
ENTRY_HOSTS = ("e1", "e2", "e3")
USER_PLATFORMS = {  # data centres; processors and MB of memory of a worker
    "addis": ("bole,merkato,kality", "130", "262144"),
    "brazos": ("austin,waco,temple", "64", "131072"),
}
# Rules of the environment document, in ms: shortened like the run times of the
# jobs.
SHORT_RULES_MS = {
    "checkpoint_grace_ms": 1000,
    "quarantine_ms": 10000,
    "gang_start_timeout_ms": 3000,
}
SETTINGS = """host: {name}
data_centre: {data_centre}
callers: {{address: 127.0.0.1, port: 0}}
peers: {{address: 127.0.0.1, port: 0}}
log_url: {log}
hosts_url: {hosts}
stream: bench
heartbeat_ms: 200
planner_timeout_ms: 2000
lease_ttl_ms: 3000
lease_renew_ms: 200
hosts_poll_ms: 200
snapshot_interval_ms: 10000
placement_policy: {policy}
"""


class StartError(Exception):
    """A process did not start, or the cluster did not become ready."""


def call(port, method, path, data=None, headers=None, timeout_s=30.0):
    """Makes one HTTP call; returns (status, decoded body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout_s)
    try:
        body = json.dumps(data) if isinstance(data, dict) else data
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"null")
    finally:
        connection.close()


def wait_for(what, condition, timeout_s=START_TIMEOUT_S):
    """Repeats CONDITION until it is true; StartError after timeout_s."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            if condition():
                return
        except (OSError, ValueError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise StartError(f"timeout: {what}")


class Cluster:
    """All processes of one run, in a folder of its own."""

    def __init__(self, root, build, folder, user, policy):
        self.root = pathlib.Path(root)
        self.bin = pathlib.Path(build) / "bin"
        self.folder = pathlib.Path(folder)
        self.user = user
        self.policy = policy
        self.processes = {}
        self.ports = {}

    # --- Processes ---

    def read_output(self, name):
        """Returns the standard output of a process so far."""
        return (self.folder / f"{name}.out").read_text()

    def start(self, name, program, *args):
        """Starts a program and waits until it listens."""
        with open(self.folder / f"{name}.out", "w") as out, \
                open(self.folder / f"{name}.err", "w") as err:
            process = subprocess.Popen(
                [self.bin / program, *args], stdin=subprocess.DEVNULL,
                stdout=out, stderr=err, cwd=self.folder)
        self.processes[name] = process
        wait_for(f"{name} listens", lambda: process.poll() is not None
                 or "listening " in self.read_output(name))
        match = re.search(r"^listening (\d+)$", self.read_output(name), re.M)
        if match is None:
            raise StartError(f"{name} has not started")
        self.ports[name] = int(match.group(1))

    def url(self, name):
        """Returns the base URL of a process."""
        return f"http://127.0.0.1:{self.ports[name]}"

    def stop(self):
        """Ends all processes, the entry hosts first.  Returns the names of
        those that had to be killed."""
        killed = []
        for name in reversed(list(self.processes)):
            self.processes[name].terminate()
        for name, process in self.processes.items():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                killed.append(name)
                process.kill()
                process.wait()
        self.processes.clear()
        return killed

    # --- Platform and entry hosts ---

    def start_platform(self):
        """Starts the stand-ins of log, host list and workers."""
        centres, cpus, memory_mb = USER_PLATFORMS[self.user]
        self.start("log", "ft-log", "--port", "0",
                   "--appends-per-second", "300")
        self.start("hosts", "ft-hosts", "--port", "0", "--lag-ms", "200")
        self.start("workers", "ft-workers", "--port", "0",
                   "--count", str(WORKER_COUNT),
                   "--hosts-url", self.url("hosts"),
                   "--data-centres", centres, "--cpus", cpus,
                   "--memory-mb", memory_mb, "--accelerators", "8",
                   "--usage-lag-ms", "500", "--history", "workers.history")

    def start_entry(self, name):
        """Starts an entry host and puts it on the host list."""
        centre = USER_PLATFORMS[self.user][0].split(",")[0]
        settings = self.folder / f"{name}.yaml"
        settings.write_text(SETTINGS.format(
            name=name, data_centre=centre, log=self.url("log"),
            hosts=self.url("hosts"), policy=self.policy))
        self.start(name, "foxtailgapd", "--settings", str(settings))
        peers = re.search(r"^peers (\d+)$", self.read_output(name), re.M)
        call(self.ports["hosts"], "POST", "/hosts", {
            "name": name, "kind": "entry", "address": "127.0.0.1",
            "port": self.ports[name], "peer_port": int(peers.group(1)),
            "data_centre": centre, "rack": "entry", "state": "live"})

    def document(self):
        """Returns the user's example document with SHORT_RULES_MS."""
        path = self.root / "examples" / "environments" / f"{self.user}.yaml"
        text = path.read_text()
        for rule, value in SHORT_RULES_MS.items():
            text, count = re.subn(rf"{rule}: \d+", f"{rule}: {value}", text)
            if count != 1:
                raise StartError(f"{path.name} has no single {rule}")
        return text.encode()

    def apply(self):
        """Applies the document through the first entry host."""
        data = self.document()
        (self.folder / "environment.yaml").write_bytes(data)
        status, answer = call(
            self.ports["e1"], "POST", "/v1/config?base=0&author=bench", data,
            {"Foxtailgap-Digest": hashlib.sha256(data).hexdigest()})
        if status >= 300:
            raise StartError(f"document refused: {answer}")

    def get(self, name, path):
        """Returns the decoded answer of an entry host."""
        return call(self.ports[name], "GET", path)[1]

    def has_planner(self):
        """Whether a planner answers and has all workers."""
        status, answer = call(self.ports["e1"], "GET", "/v1/placement")
        return status == 200 and answer["accelerators"] == WORKER_COUNT * 8

    def start_all(self):
        """Starts all processes; returns when a planner can place jobs."""
        self.folder.mkdir(parents=True)
        self.start_platform()
        for name in ENTRY_HOSTS:
            self.start_entry(name)
        for name in ENTRY_HOSTS:
            wait_for("hosts see each other", lambda: len(
                self.get(name, "/v1/status")["hosts"]) == len(ENTRY_HOSTS))
        wait_for("workers are seen", lambda: len(
            self.get("e1", "/v1/workers")["workers"]) == WORKER_COUNT)
        self.apply()
        for name in ENTRY_HOSTS:
            wait_for("the document is in force", lambda: self.get(
                name, "/v1/status")["revision"] == 1)
        wait_for("a planner", self.has_planner)

    def control(self, worker, **command):
        """Sets faults of a worker, such as gone=True."""
        call(self.ports["workers"], "POST", "/control",
             {"worker": worker, **command})

    def rack(self, name):
        """Returns the names of the workers of a rack."""
        hosts = call(self.ports["hosts"], "GET", "/hosts")[1]["hosts"]
        return [host["name"] for host in hosts
                if host["kind"] == "worker" and host["rack"] == name]
