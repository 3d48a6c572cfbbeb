"""Starts foxtailgap-hostd as deploy/system.toml does, and calls it as the
clients do."""
import asyncio
import http.client
import json
import os
import signal
import socket
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = "target/bin/foxtailgap-hostd"

# What deploy/settings.yaml.in becomes with the bounds of the site
# anla-rounds; the link and the share of a processor are the site's too.
SETTINGS = """host: "{host}"
data_centre: "{zone}"
callers: "{callers}"
readiness: "{readiness}"
metrics: "{metrics}"
store: "{store}"
connection_limit: 2000
descriptor_limit: 4100
lease_ttl_ms: {hold_ms}
lease_limit_ms: {hold_ms}
stop_ms: 200
worker_heartbeat_ms: 1500
capacity_notice_ms: 3000
key_validity_ms: 5000
far_factor: 3
cpu_share: 0.25
link_mbps: 1000.0
"""


def config(max_attempts=2, priority=1):
    return {
        "version": 1, "limits": {},
        "routes": [{"name": "q", "host": "desk.example", "path_prefix": "/q/",
                    "service": "desk", "priority": priority,
                    "max_attempts": max_attempts, "slack_factor": 3.0,
                    "target_latency_ms": 1000}],
        "services": [{"name": "desk", "enforces_capacity": True}],
        "tenants": [{"name": "t", "api_keys": ["key-1"],
                     "guaranteed": {"gpu": 8}}]}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Host:
    def __init__(self, folder, number, store, record, hold_ms=6000):
        self.number, self.record = number, record
        self.name = "front-%d" % number
        self.port = free_port()
        self.settings = os.path.join(folder, self.name + ".yaml")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(
                host=self.name, zone="z1",
                callers="127.0.0.1:%d" % self.port,
                readiness="127.0.0.1:%d" % free_port(),
                metrics="127.0.0.1:%d" % free_port(), store=store,
                hold_ms=hold_ms))

    async def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env["FOXTAILGAP_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record("host %d (%s) is started" % (self.number, self.name))

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        try:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        except ProcessLookupError:
            pass
        await self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)

    def call_now(self, method, job, body, timeout_s):
        connection = http.client.HTTPConnection("127.0.0.1", self.port,
                                                timeout=timeout_s)
        try:
            connection.request(
                method, "/q/" + job,
                None if body is None else json.dumps(body).encode(),
                {"Host": "desk.example", "Content-Type": "application/json",
                 "Foxtailgap-Credential": "key-1",
                 "Foxtailgap-Deadline-Ms": "3000"})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error)
        finally:
            connection.close()

    async def call(self, method, job, body=None, timeout_s=4):
        status, answer = await asyncio.get_running_loop().run_in_executor(
            None, self.call_now, method, job, body, timeout_s)
        self.record("client: %s %s at host %d -> %d %s" % (
            method, job, self.number, status, answer[:100]))
        return status, answer

    async def state(self, job):
        status, answer = await self.call("GET", job)
        return json.loads(answer)["state"] if status == 200 else None


class CannotRun(Exception):
    """The case could not be set up."""


def planner_of(hosts):
    """The host whose log shows the newest term; None: there is none."""
    best = (0, None)
    for host in hosts:
        with open(host.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if 'msg="This host is the planner."' in line:
                    term = int(line.split(" term=")[1].split()[0])
                    best = max(best, (term, host.number))
    return None if best[1] is None else hosts[best[1]]


async def start_hosts(platform, folder, record, hold_ms=6000):
    """hold_ms: max_hold_ms of the deployment."""
    hosts = [Host(folder, number, platform.store_addresses[number], record,
                  hold_ms)
             for number in range(platform.count)]
    for host in hosts:
        await host.start()
    for _ in range(100):
        await asyncio.sleep(0.1)
        if planner_of(hosts) is not None:
            record("host %d is the planner" % planner_of(hosts).number)
            return hosts
    raise CannotRun("no planner after 10 s")


def main(case, folder_of_case, make_record):
    """Runs the coroutine CASE (record, folder, trouble), which returns the
    list of what broke the rule, and exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = make_record(os.path.join(folder_of_case, "record.txt"))
    record("trouble: %s" % ("yes" if trouble else "no"))
    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            broken = asyncio.run(case(record, folder, trouble))
            code = 1 if broken else 0
            for text in broken[:20]:
                print("broken:", text)
            if len(broken) > 20:
                print("and %d more" % (len(broken) - 20))
            if not broken:
                print("held")
        except CannotRun as error:
            record("the case could not run: %s" % error)
            print("could not run:", error)
        if os.environ.get("KEEP"):
            import shutil
            shutil.copytree(folder, os.environ["KEEP"], dirs_exist_ok=True)
    record("result: %d" % code)
    record.close()
    sys.exit(code)
