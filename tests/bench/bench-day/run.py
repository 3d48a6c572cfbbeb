"""One bench run: the day of a user and a seed under a policy, with real
processes.  Writes result.json into the folder of the run.
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
SUBMIT_ATTEMPTS = 3
SAMPLE_S = 0.1
DRAIN_TIMEOUT_S = 25.0
IDLE_SAMPLES = 3
RETRY_S = 0.3


class Submitter(threading.Thread):
    """Sends calls from a queue over one keep-alive connection."""

    def __init__(self, port, calls):
        super().__init__(daemon=True)
        self.port = port
        self.calls = calls
        self.connection = None

    def send(self, method, path, data):
        """Makes one call; (None, None) if there was no answer."""
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
            method, path, data, on_answer = item
            for _ in range(SUBMIT_ATTEMPTS):
                status, answer = self.send(method, path, data)
                if status is not None and status < 500:
                    break
                time.sleep(RETRY_S)
            on_answer(status, answer)


class Day:
    """Sends the submissions and the faults of a day at their times."""

    def __init__(self, system, jobs):
        self.system = system
        self.jobs = jobs
        self.calls = queue.Queue()
        self.answers = [None] * len(jobs)  # (status, answer, sent_s)
        self.samples = []
        self.sampling = True
        self.start_s = 0.0

    def now_s(self):
        """Returns the seconds since the start of the day."""
        return time.monotonic() - self.start_s

    # --- Actions ---

    def submit(self, index):
        """Queues one submission."""
        sent_s = self.now_s()

        def on_answer(status, answer):
            self.answers[index] = (status, answer, sent_s)
        self.calls.put(("POST", "/v1/jobs",
                        json.dumps(self.jobs[index].body), on_answer))

    def cancel_wave(self):
        """Cancels all accepted jobs of size "wave"."""
        for index, job in enumerate(self.jobs):
            answer = self.answers[index]
            if job.size == "wave" and answer and answer[0] in (200, 201):
                self.calls.put(("DELETE", f"/v1/jobs/{answer[1]['job']}",
                                None, lambda status, body: None))

    def set_rack_gone(self, gone):
        """Makes the workers of LOST_RACK unreachable, or reachable again."""
        for worker in self.system.rack(workload.LOST_RACK):
            self.system.control(worker, gone=gone)

    def break_workers(self):
        """Makes FAILING_WORKERS fail every task."""
        for worker in workload.FAILING_WORKERS:
            self.system.control(worker, fail_all=True)

    def scheduled_actions(self):
        """Returns (seconds, function) of each submission and fault, sorted."""
        listed = [(job.at_s, lambda i=i: self.submit(i))
                  for i, job in enumerate(self.jobs)]
        listed += [
            (workload.FAILING_FROM_S, self.break_workers),
            (workload.LOST_FROM_S, lambda: self.set_rack_gone(True)),
            (workload.LOST_UNTIL_S, lambda: self.set_rack_gone(False)),
            (workload.WAVE_CANCEL_S, self.cancel_wave),
        ]
        return sorted(listed, key=lambda action: action[0])

    # --- Samples ---

    def sample(self):
        """Reads the state of placement once."""
        try:
            status, answer = cluster.call(self.system.ports["e1"], "GET",
                                          "/v1/placement", timeout_s=5)
        except (OSError, ValueError, http.client.HTTPException):
            return
        if status == 200:
            answer["at_s"] = self.now_s()
            answer["load"] = os.getloadavg()[0]
            self.samples.append(answer)

    def sample_until_stopped(self):
        """Samples until self.sampling is false."""
        while self.sampling:
            self.sample()
            time.sleep(SAMPLE_S)

    def is_idle(self):
        """Whether the last samples, after the window, show no jobs."""
        last = self.samples[-IDLE_SAMPLES:]
        return len(last) == IDLE_SAMPLES and all(
            sample["queued"] == 0 and sample["running"] == 0
            and sample["at_s"] > workload.WINDOW_S for sample in last)

    # --- Run ---

    def run(self):
        """Runs the day, and waits until its jobs have ended or a timeout."""
        hosts = cluster.ENTRY_HOSTS
        submitters = [
            Submitter(self.system.ports[hosts[i % len(hosts)]], self.calls)
            for i in range(SUBMITTERS)]
        for submitter in submitters:
            submitter.start()
        self.start_s = time.monotonic()
        sampler = threading.Thread(target=self.sample_until_stopped,
                                   daemon=True)
        sampler.start()
        for at_s, action in self.scheduled_actions():
            time.sleep(max(0.0, at_s - self.now_s()))
            action()
        while self.now_s() < workload.WINDOW_S + DRAIN_TIMEOUT_S \
                and not self.is_idle():
            time.sleep(SAMPLE_S)
        self.sampling = False
        sampler.join()
        for _ in submitters:
            self.calls.put(None)
        for submitter in submitters:
            submitter.join()


def on_term(signum, frame):
    """Exits by an exception, so that main () stops the cluster."""
    raise SystemExit(1)


def collect_jobs(system, day):
    """Writes samples and jobs to files; returns the jobs by id."""
    (system.folder / "samples.json").write_text(json.dumps(day.samples))
    listed = system.get("e1", "/v1/jobs")["jobs"]
    (system.folder / "jobs.json").write_text(json.dumps(listed))
    return {job["job"]: job for job in listed}


def main():
    """Parses the arguments, and executes the run."""
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
        listed = collect_jobs(system, day)
        ended_s = day.now_s()
    finally:
        killed = system.stop()
    result = metrics.evaluate(args, day, listed, folder, ended_s)
    result["killed_at_end"] = killed
    (folder / "result.json").write_text(json.dumps(result, indent=1))


if __name__ == "__main__":
    try:
        main()
    except cluster.StartError as error:
        sys.exit(f"run: {error}")
