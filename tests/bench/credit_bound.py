#!/usr/bin/env python3
"""An upper bound on the credit of a bench day, from the hosts' logs.

  credit_bound.py LOG [WORKERS CPUS_MILLI MEMORY_MIB ACCELERATORS]

LOG holds the lines of all hosts (`fleetbench run SITE DAY --log front`).  Of
each job it gives the time of its first submission, the resources of its tasks
and the duration of the tasks that succeeded.  The bound ignores gangs, racks,
faults and runs without success, may divide work in any way, and knows all jobs
in advance: no scheduler can earn more on time.  It is the fractional
relaxation: a job earns the share of its work that fits between its arrival and
its objective.  Such shares form a polymatroid, so jobs are admitted in the
order of worth per work, and a job that does not fit whole moves work of others
to other seconds (augmenting paths).

Prints the bound, the share that was done on time according to the log, and the
seconds whose resources are used up; then the first two for each priority of the
queues.  The bound of a priority is its part of the bound of all, not the most
that it alone could earn.
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
LINE = re.compile(r'\s*(-?[\d.]+) \S+ (time=.*)')
FASTEST_RUN_SHARE = 0.8  # run time on the fastest workers over the usual one
WORTH_BY_PRIORITY = {0: 4.0, 1: 3.0, 2: 1.0}  # of the queues of the sites
SLOT_S = 1.0


class Job:
    def __init__(self, first_s):
        self.first_s, self.spec, self.ended_s = first_s, None, None
        self.placed_s, self.took_s, self.task_counts = {}, {}, {}
        self.cancelled = False

    def work(self, worker_resources):
        """Returns the job's worker-seconds; the scarcest resource counts."""
        share = max(int(self.spec[name]) / whole
                    for name, whole in worker_resources.items())
        return sum(share * task_count * FASTEST_RUN_SHARE * self.took_s[step]
                   for step, task_count in self.task_counts.items()
                   if step in self.took_s)

    def objective_s(self):
        return (int(self.spec["slack_percent"]) / 100
                * sum(self.took_s.values())
                + int(self.spec["target_ms"]) / 1000)


def apply_line(jobs, moment_s, fields):
    name = fields.get("job") or fields.get("task", "").split(".")[0]
    if len(name) != 16:
        return
    job = jobs.setdefault(name, Job(moment_s))
    message = fields["msg"]
    if message == "A job is taken in.":
        job.spec = fields
    elif message == "Tasks are placed.":
        step, first = int(fields["step"]), int(fields["first"])
        for index in range(first, first + int(fields["tasks"])):
            job.placed_s[(step, index)] = moment_s
        job.task_counts[step] = max(job.task_counts.get(step, 0),
                                    first + int(fields["tasks"]))
    elif message == "A run has ended." and fields["how"] == "done" \
            and job.spec:
        occurrence, step, index = map(int, fields["task"].split(".")[1:])
        step += occurrence * int(job.spec["steps"])
        if (step, index) in job.placed_s:
            job.took_s[step] = max(job.took_s.get(step, 0.0),
                                   moment_s - job.placed_s[(step, index)])
    elif message == "A job's state is stored." \
            and fields["state"] == "completed" and job.ended_s is None:
        job.ended_s = moment_s
    elif message == "A job is cancelled.":
        job.cancelled = True


def read_jobs(path):
    jobs = {}
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = LINE.match(line)
            if match:
                fields = {key: value.strip('"')
                          for key, value in FIELD.findall(match[2])}
                if "msg" in fields:
                    apply_line(jobs, float(match[1]), fields)
    jobs = [job for job in jobs.values()
            if job.spec and not job.cancelled and job.first_s >= 0]
    for job in jobs:
        if not job.took_s:
            job.took_s = {0: int(job.spec["estimate_ms"]) / 1000}
            job.task_counts = {0: int(job.spec["tasks"])}
    return jobs


class SlotCapacity:
    """Worker-seconds of each slot of SLOT_S, and the jobs that use them."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.free = collections.defaultdict(lambda: capacity)
        self.used = collections.defaultdict(dict)  # slot -> job -> amount
        self.slots = {}  # job -> slots between its arrival and its objective

    def place_work(self, job, amount):
        """Places up to amount of work of a job along a shortest augmenting
        path; returns the amount placed."""
        before, queue, seen = {}, collections.deque([("job", job)]), {job}
        slots_seen = set()
        while queue:
            kind, item = queue.popleft()
            if kind == "job":
                for slot in self.slots[item]:
                    if slot not in slots_seen:
                        slots_seen.add(slot)
                        before[("slot", slot)] = item
                        queue.append(("slot", slot))
            elif self.free[item] > 1e-9:
                return self.augment(before, job, item, amount)
            else:
                for other, held in self.used[item].items():
                    if held > 1e-9 and other not in seen:
                        seen.add(other)
                        before[("job", other)] = item
                        queue.append(("job", other))
        return 0.0

    def augment(self, before, job, slot, amount):
        path, node = [], slot
        amount = min(amount, self.free[slot])
        while True:
            owner = before[("slot", node)]
            path.append((owner, node))
            if owner == job:
                break
            origin = before[("job", owner)]
            amount = min(amount, self.used[origin][owner])
            path.append((owner, origin))
            node = origin
        self.free[slot] -= amount
        for number, (owner, place) in enumerate(path):
            sign = 1 if number % 2 == 0 else -1
            self.used[place][owner] = (self.used[place].get(owner, 0.0)
                                       + sign * amount)
        return amount


def credit_bound(jobs, worker_resources, workers):
    works = [max(job.work(worker_resources), 1e-6) for job in jobs]
    by_kind = collections.defaultdict(list)
    for job, work in zip(jobs, works):
        by_kind[job.spec["priority"]].append(work)
    means = {kind: sum(values) / len(values)
             for kind, values in by_kind.items()}
    worths = [WORTH_BY_PRIORITY.get(int(job.spec["priority"]), 1.0)
              * (0.3 + 0.7 * min(4.0, work / means[job.spec["priority"]]))
              for job, work in zip(jobs, works)]
    seconds = SlotCapacity(workers * SLOT_S)
    earned, on_time = collections.Counter(), collections.Counter()
    owed = collections.Counter()
    order = sorted(range(len(jobs)), key=lambda i: -worths[i] / works[i])
    for i in order:
        job = jobs[i]
        first = int(job.first_s / SLOT_S)
        last = int((job.first_s + job.objective_s()) / SLOT_S)
        seconds.slots[i] = range(first, last + 1)
        remaining = works[i]
        while remaining > 1e-6:
            placed = seconds.place_work(i, remaining)
            if placed <= 0:
                break
            remaining -= placed
        for kind in (job.spec["priority"], "all"):
            owed[kind] += worths[i]
            earned[kind] += worths[i] * (1 - remaining / works[i])
            if job.ended_s and job.ended_s - job.first_s <= job.objective_s():
                on_time[kind] += worths[i]
    return owed, earned, on_time, seconds


def main():
    if len(sys.argv) not in (2, 6):
        print(__doc__.split("\n\n")[1], file=sys.stderr)
        return 2
    figures = [int(text) for text in sys.argv[2:]] or [48, 128000, 262144, 8]
    worker_resources = dict(zip(("cpus_milli", "memory_mib", "accelerators"),
                    figures[1:]))
    jobs = read_jobs(sys.argv[1])
    if not jobs:
        print("no finished jobs in this log", file=sys.stderr)
        return 1
    owed, earned, on_time, seconds = credit_bound(jobs, worker_resources,
                                                  figures[0])
    full = sorted(slot for slot in seconds.used
                  if seconds.free[slot] < 0.02 * seconds.capacity)
    print(f"jobs {len(jobs)} bound {earned['all'] / owed['all']:.3f} "
          f"on time {on_time['all'] / owed['all']:.3f} "
          f"full seconds {len(full)}: {' '.join(map(str, full[:40]))}")
    for kind in sorted(owed):
        if kind != "all":
            print(f"priority {kind} "
                  f"jobs {sum(job.spec['priority'] == kind for job in jobs)} "
                  f"bound {earned[kind] / owed[kind]:.3f} "
                  f"on time {on_time[kind] / owed[kind]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
