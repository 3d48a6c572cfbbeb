"""One run: a user, a policy and a seed through real processes.

Writes result.json in the run's folder.
"""

import argparse
import http.client
import json
import os
import pathlib
import queue
import shutil
import signal
import sys
import threading
import time

import cluster
import metrics
import workload

SUBMITTERS = 24
SUBMIT_TRIES = 3
SAMPLE_S = 0.1
DRAIN_LIMIT_S = 25.0
IDLE_SAMPLES = 3
RETRY_S = 0.3


class Submitter(threading.Thread):
    """Takes calls from a queue and sends them over one connection."""

    def __init__(self, port, calls):
        super().__init__(daemon=True)
        self.port = port
        self.calls = calls
        self.connection = None

    def send(self, method, path, data):
        """One call; (None, None) if there was no answer."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", self.port, timeout=20)
        try:
            self.connection.request(method, path, data)
            answer = self.connection.getresponse()
            return answer.status, json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException):
            self.connection.close()
            self.connection = None
            return None, None

    def run(self):
        while True:
            item = self.calls.get()
            if item is None:
                return
            method, path, data, done = item
            for _ in range(SUBMIT_TRIES):
                status, answer = self.send(method, path, data)
                if status is not None and status < 500:
                    break
                time.sleep(RETRY_S)
            done(status, answer)


class Day:
    """Sends the day's submissions and faults at their times."""

    def __init__(self, system, jobs):
        self.system = system
        self.jobs = jobs
        self.calls = queue.Queue()
        self.answers = [None] * len(jobs)  # (status, answer, sent_s)
        self.samples = []
        self.sampling = True
        self.start_s = 0.0

    def now_s(self):
        """Seconds since the day began."""
        return time.monotonic() - self.start_s

    # --- Actions ---

    def submit(self, index):
        """Queues one submission."""
        sent_s = self.now_s()

        def done(status, answer):
            self.answers[index] = (status, answer, sent_s)
        self.calls.put(("POST", "/v1/jobs",
                        json.dumps(self.jobs[index].body), done))

    def cancel_wave(self):
        """Cancels all jobs of the wave."""
        for index, job in enumerate(self.jobs):
            answer = self.answers[index]
            if job.size == "wave" and answer and answer[0] in (200, 201):
                self.calls.put(("DELETE", f"/v1/jobs/{answer[1]['job']}",
                                None, lambda status, body: None))

    def rack_gone(self, gone):
        """Takes a rack away, or brings it back."""
        for worker in self.system.rack(workload.LOST_RACK):
            self.system.control(worker, gone=gone)

    def bad_workers(self):
        """Makes two workers fail every task."""
        for worker in workload.BAD_WORKERS:
            self.system.control(worker, fail_all=True)

    def actions(self):
        """All that happens: (time, function)."""
        listed = [(job.at_s, lambda i=i: self.submit(i))
                  for i, job in enumerate(self.jobs)]
        listed += [
            (workload.BAD_FROM_S, self.bad_workers),
            (workload.LOST_FROM_S, lambda: self.rack_gone(True)),
            (workload.LOST_UNTIL_S, lambda: self.rack_gone(False)),
            (workload.WAVE_CANCEL_S, self.cancel_wave),
        ]
        return sorted(listed, key=lambda action: action[0])

    # --- Samples ---

    def sample(self):
        """Reads the planner's view once."""
        try:
            status, answer = cluster.call(self.system.ports["e1"], "GET",
                                          "/v1/placement", timeout_s=5)
        except (OSError, ValueError, http.client.HTTPException):
            return
        if status == 200:
            answer["at_s"] = self.now_s()
            answer["load"] = os.getloadavg()[0]
            self.samples.append(answer)

    def sample_all(self):
        """Samples until told to stop."""
        while self.sampling:
            self.sample()
            time.sleep(SAMPLE_S)

    def idle(self):
        """Whether nothing is queued or running any more."""
        last = self.samples[-IDLE_SAMPLES:]
        return len(last) == IDLE_SAMPLES and all(
            sample["queued"] == 0 and sample["running"] == 0
            and sample["at_s"] > workload.WINDOW_S for sample in last)

    # --- The whole ---

    def run(self):
        """The day and its drain."""
        hosts = cluster.ENTRY_HOSTS
        submitters = [
            Submitter(self.system.ports[hosts[i % len(hosts)]], self.calls)
            for i in range(SUBMITTERS)]
        for submitter in submitters:
            submitter.start()
        self.start_s = time.monotonic()
        sampler = threading.Thread(target=self.sample_all, daemon=True)
        sampler.start()
        for at_s, action in self.actions():
            time.sleep(max(0.0, at_s - self.now_s()))
            action()
        while self.now_s() < workload.WINDOW_S + DRAIN_LIMIT_S \
                and not self.idle():
            time.sleep(SAMPLE_S)
        self.sampling = False
        sampler.join()
        for _ in submitters:
            self.calls.put(None)
        for submitter in submitters:
            submitter.join()


def on_term(signum, frame):
    """Lets the clean-up run when this process is told to end."""
    raise SystemExit(1)


def collect(system, day):
    """All that the metrics are made from."""
    (system.folder / "samples.json").write_text(json.dumps(day.samples))
    listed = system.get("e1", "/v1/jobs")["jobs"]
    (system.folder / "jobs.json").write_text(json.dumps(listed))
    return {job["job"]: job for job in listed}


def main():
    """Parses the arguments and carries out the run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", required=True)
    parser.add_argument("--build", required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--user", required=True)
    parser.add_argument("--policy", required=True)
    parser.add_argument("--seed", type=int, required=True)
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, on_term)
    folder = pathlib.Path(args.folder).resolve()
    shutil.rmtree(folder, ignore_errors=True)
    system = cluster.Cluster(args.root, pathlib.Path(args.build).resolve(),
                             folder, args.user, args.policy)
    day = Day(system, workload.make_day(args.user, args.seed))
    try:
        system.start_all()
        day.run()
        listed = collect(system, day)
        ended_s = day.now_s()
    finally:
        late = system.stop()
    result = metrics.evaluate(args, day, listed, folder, ended_s)
    result["killed_at_end"] = late
    (folder / "result.json").write_text(json.dumps(result, indent=1))


if __name__ == "__main__":
    try:
        main()
    except cluster.StartError as error:
        sys.exit(f"run: {error}")
