#!/usr/bin/env python3
"""An upper bound on the credit of a bench day, from the hosts' logs.

  credit_bound.py LOG [WORKERS CPUS_MILLI MEMORY_MIB ACCELERATORS]

LOG holds the lines of all hosts (`fleetbench run SITE DAY --log front`).  Of
each job: when it was first handed in, the room of its tasks and how long they
took when they were done.  The bound lets work be cut up at will, forgets
gangs, racks, faults and what ran in vain, and knows all jobs beforehand: no
scheduler can earn more on time.  It is the fractional relaxation: a job earns
the share of its work that fits between its arrival and its objective.  Such
shares form a polymatroid, so that jobs are let in by worth for their work, and
a job that does not fit whole pushes others to other seconds (augmenting
paths).

Prints the bound, what was done on time by these logs, and the seconds in
which more was asked than there is room.
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
LINE = re.compile(r'\s*(-?[\d.]+) \S+ (time=.*)')
FAST = 0.8  # the fastest workers take this share of the usual time
WORTH = {0: 4.0, 1: 3.0, 2: 1.0}  # of the sites' queues, by priority
SLOT_S = 1.0


class Job:
    def __init__(self, first_s):
        self.first_s, self.facts, self.ended_s = first_s, None, None
        self.placed, self.took, self.widths = {}, {}, {}
        self.cancelled = False

    def work(self, room):
        """Worker-seconds; the scarcest kind of room counts."""
        share = max(int(self.facts[name]) / whole
                    for name, whole in room.items())
        return sum(share * width * FAST * self.took[step]
                   for step, width in self.widths.items()
                   if step in self.took)

    def objective_s(self):
        return (int(self.facts["slack_percent"]) / 100
                * sum(self.took.values())
                + int(self.facts["target_ms"]) / 1000)


def take_line(jobs, moment_s, fields):
    name = fields.get("job") or fields.get("task", "").split(".")[0]
    if len(name) != 16:
        return
    job = jobs.setdefault(name, Job(moment_s))
    message = fields["msg"]
    if message == "A job is taken in.":
        job.facts = fields
    elif message == "A task is placed.":
        key = (fields["step"], fields["index"])
        job.placed[key] = moment_s
        job.widths[fields["step"]] = len(
            [1 for step, _ in job.placed if step == fields["step"]])
    elif message == "A run has ended." and fields["how"] == "done":
        _, _, step, index = fields["task"].split(".")
        if (step, index) in job.placed:
            job.took[step] = max(job.took.get(step, 0.0),
                                 moment_s - job.placed[(step, index)])
    elif message == "A job's state is stored." \
            and fields["state"] == "completed" and job.ended_s is None:
        job.ended_s = moment_s
    elif message == "A job is cancelled.":
        job.cancelled = True


def read(path):
    jobs = {}
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = LINE.match(line)
            if match:
                fields = {key: value.strip('"')
                          for key, value in FIELD.findall(match[2])}
                if "msg" in fields:
                    take_line(jobs, float(match[1]), fields)
    return [job for job in jobs.values()
            if job.facts and job.took and not job.cancelled
            and job.first_s >= 0]


class Room:
    """Worker-seconds of each slot, and who uses them."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.free = collections.defaultdict(lambda: capacity)
        self.used = collections.defaultdict(dict)  # slot -> job -> amount
        self.slots = {}  # job -> its slots

    def push(self, job, amount):
        """Augments along a shortest path; @return : what was placed."""
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
                return self.shift(before, job, item, amount)
            else:
                for other, held in self.used[item].items():
                    if held > 1e-9 and other not in seen:
                        seen.add(other)
                        before[("job", other)] = item
                        queue.append(("job", other))
        return 0.0

    def shift(self, before, job, slot, amount):
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


def bound(jobs, room, workers):
    works = [max(job.work(room), 1e-6) for job in jobs]
    by_kind = collections.defaultdict(list)
    for job, work in zip(jobs, works):
        by_kind[job.facts["priority"]].append(work)
    means = {kind: sum(values) / len(values)
             for kind, values in by_kind.items()}
    worths = [WORTH.get(int(job.facts["priority"]), 1.0)
              * (0.3 + 0.7 * min(4.0, work / means[job.facts["priority"]]))
              for job, work in zip(jobs, works)]
    seconds = Room(workers * SLOT_S)
    earned = on_time = 0.0
    order = sorted(range(len(jobs)), key=lambda i: -worths[i] / works[i])
    for i in order:
        job = jobs[i]
        first = int(job.first_s / SLOT_S)
        last = int((job.first_s + job.objective_s()) / SLOT_S)
        seconds.slots[i] = range(first, last + 1)
        left = works[i]
        while left > 1e-6:
            placed = seconds.push(i, left)
            if placed <= 0:
                break
            left -= placed
        earned += worths[i] * (1 - left / works[i])
        if job.ended_s and job.ended_s - job.first_s <= job.objective_s():
            on_time += worths[i]
    return earned / sum(worths), on_time / sum(worths), seconds


def main():
    if len(sys.argv) not in (2, 6):
        print(__doc__.split("\n\n")[1], file=sys.stderr)
        return 2
    figures = [int(text) for text in sys.argv[2:]] or [48, 128000, 262144, 8]
    room = dict(zip(("cpus_milli", "memory_mib", "accelerators"),
                    figures[1:]))
    jobs = read(sys.argv[1])
    if not jobs:
        print("no finished jobs in this log", file=sys.stderr)
        return 1
    share, seen, seconds = bound(jobs, room, figures[0])
    full = sorted(slot for slot in seconds.used
                  if seconds.free[slot] < 0.02 * seconds.capacity)
    print(f"jobs {len(jobs)} bound {share:.3f} on time {seen:.3f} "
          f"full seconds {len(full)}: {' '.join(map(str, full[:40]))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
