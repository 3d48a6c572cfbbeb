"""Metrics of one bench run, from the records of the jobs, the history of the
workers and the logs of the entry hosts."""

import collections
import json
import math
import re

import cluster
import workload

RECLAIM_SLACK_MS = 2000  # a reclaim takes at most the grace time and 2 s
LARGE_GANG_ACCELERATORS = 16  # the smallest large gang
END_STATES = ("finished", "failed", "cancelled", "refused")
EVICTED = re.compile(r'"A job is evicted\."? .*?\bjob=(\S+) for=(\S+)')
UNMET = "A guarantee cannot be met now."


def quantile(values, part):
    """Returns the nearest-rank quantile, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def summary(values):
    """Returns count, mean, p50, p99 and maximum."""
    if not values:
        return {"count": 0}
    return {"count": len(values), "mean": sum(values) / len(values),
            "p50": quantile(values, 0.5), "p99": quantile(values, 0.99),
            "max": max(values)}


# --- Sources ---

def read_history(folder):
    """Returns job -> attempt -> task -> [(t_ms, what)] of starts and ends."""
    tasks = collections.defaultdict(
        lambda: collections.defaultdict(lambda: collections.defaultdict(list)))
    downs = collections.defaultdict(list)
    worker_of = {}
    with open(folder / "workers.history") as lines:
        for line in lines:
            event = json.loads(line)
            if event["what"] == "down":
                downs[event["who"]].append(event["t_ms"])
            if event["what"] not in ("start", "end", "stop", "lapse"):
                continue
            key = (event["job"], event["attempt"], event["task"])
            worker_of[key] = event["who"]
            what = event["what"]
            if what == "end" and not event["ok"]:
                what = "fail"
            tasks[event["job"]][event["attempt"]][event["task"]].append(
                (event["t_ms"], what))
    end_lost_tasks(tasks, worker_of, downs)
    return tasks


def end_lost_tasks(tasks, worker_of, downs):
    """Ends a task without an end when its worker went down."""
    for (job, attempt, task), worker in worker_of.items():
        events = tasks[job][attempt][task]
        if len(events) == 1 and events[0][1] == "start":
            later = [t for t in downs[worker] if t >= events[0][0]]
            if later:
                events.append((later[0], "lost"))


def read_evictions(folder):
    """Returns the evictions by victim, the jobs for which they were made, and
    how often a log says that a guarantee cannot be met."""
    victims, owners = collections.Counter(), set()
    unmet = 0
    for name in cluster.ENTRY_HOSTS:
        text = (folder / f"{name}.err").read_text(errors="replace")
        for victim, owner in EVICTED.findall(text):
            victims[victim] += 1
            owners.add(owner.strip('"'))
        unmet += text.count(UNMET)
    return victims, owners, unmet


# --- One job ---

class Outcome:
    """A submission and its outcome."""

    def __init__(self, job, answer, listed, history):
        self.job = job
        self.status = answer[0] if answer else None
        self.id = answer[1].get("job") if answer and answer[1] else None
        self.record = listed.get(self.id)
        self.attempts = history.get(self.id, {})

    @property
    def state(self):
        """The last state of the job, or the answer to the submission."""
        if self.record is not None:
            return self.record["state"]
        if self.status is None or self.status >= 500:
            return "unanswered"
        return f"answered_{self.status}"

    def started_ms(self):
        """Returns when an attempt first had all its tasks started, or None."""
        for _, tasks in sorted(self.attempts.items()):
            starts = [t for events in tasks.values() for t, what in events
                      if what == "start"]
            if len(starts) == self.job.body["tasks"]:
                return max(starts)
        return None

    def ran_ms(self):
        """Returns the run time of the slowest task of each attempt, summed."""
        total = 0
        for tasks in self.attempts.values():
            runs = [events[-1][0] - events[0][0] for events in tasks.values()
                    if len(events) > 1 and events[0][1] == "start"]
            total += max(runs, default=0)
        return total

    def completion_over_ideal(self, end_ms):
        """Returns the completion time divided by the run time.  A job that has
        not ended counts as if it ended at end_ms, the end of the run."""
        ended = self.state in END_STATES
        at_ms = self.record["changed_ms"] if ended else end_ms
        return (at_ms - self.record["submitted_ms"]) / self.job.run_ms


# --- Metrics ---

def completion(outcomes, end_ms):
    """Returns completion time over run time, and the states, by size."""
    result = {}
    for size in ("small", "large", "owner"):
        chosen = [o for o in outcomes if o.job.size == size]
        done = [o for o in chosen if o.record is not None
                and o.state not in ("failed", "refused", "cancelled")]
        result[size] = summary([o.completion_over_ideal(end_ms) for o in done])
        result[size]["states"] = dict(
            collections.Counter(o.state for o in chosen))
        result[size]["ratios"] = [round(o.completion_over_ideal(end_ms), 3)
                                  for o in done]
    return result


def fragmentation(samples):
    """Returns time-weighted means over the window of submissions."""
    inside = [s for s in samples if s["at_s"] <= workload.WINDOW_S]
    pairs = [(a, b["at_s"] - a["at_s"]) for a, b in zip(inside, inside[1:])]
    free = [(s, w) for s, w in pairs if s["accelerators_free"] > 0]
    free_time_s = sum(w for _, w in free) or 1
    free_accelerator_s = sum(s["accelerators_free"] * w for s, w in free) or 1
    waiting = [(s, w) for s, w in free if s["queued"] > 0]
    waiting_time_s = sum(w for _, w in waiting) or 1
    return {
        "mean": sum(s["fragmentation"] * w for s, w in free) / free_time_s,
        "of_free": sum(s["fragmentation"] * s["accelerators_free"] * w
                       for s, w in free) / free_accelerator_s,
        "while_queued": sum(s["fragmentation"] * w
                            for s, w in waiting) / waiting_time_s,
        "largest_block_over_free": sum(
            s["largest_block"] / s["accelerators_free"] * w
            for s, w in free) / free_time_s,
        "no_large_block": sum(
            w for s, w in pairs
            if s["largest_block"] < LARGE_GANG_ACCELERATORS)
        / (sum(w for _, w in pairs) or 1),
        "free_mean": sum(s["accelerators_free"] * w for s, w in pairs)
        / (sum(w for _, w in pairs) or 1),
        "busy": 1 - sum(s["accelerators_free"] / max(s["accelerators"], 1) * w
                        for s, w in pairs)
        / (sum(w for _, w in pairs) or 1),
        "samples": len(inside),
    }


def shape_of(outcome):
    """Returns the guaranteed shape of a job of the owner."""
    return outcome.job.body["tasks"], outcome.job.body["accelerators"]


def within_guarantee(user, owned, outcome):
    """Whether the guarantee holds this job together with all jobs of its shape
    that had not ended when it was submitted."""
    count = {(tasks, accelerators): count for tasks, accelerators, count, _
             in workload.USERS[user].owner_shapes}[shape_of(outcome)]
    at_ms = outcome.record["submitted_ms"]
    before = [o for o in owned if o is not outcome
              and shape_of(o) == shape_of(outcome)
              and o.record["submitted_ms"] <= at_ms
              and (o.state not in END_STATES
                   or o.record["changed_ms"] > at_ms)]
    return len(before) < count


def reclaim(user, outcomes, owners, end_ms):
    """Returns the waits of the owner's jobs within its guarantee."""
    owned = [o for o in outcomes if o.job.size == "owner"
             and o.record is not None]
    limit_ms = cluster.SHORT_RULES_MS["checkpoint_grace_ms"] + RECLAIM_SLACK_MS
    waits, reclaims, missed = [], [], []
    for outcome in owned:
        if not within_guarantee(user, owned, outcome):
            continue
        started_ms = outcome.started_ms()
        wait = (started_ms or end_ms) - outcome.record["submitted_ms"]
        waits.append(wait)
        if outcome.id in owners:
            reclaims.append(wait)
        if wait > limit_ms:
            missed.append({"job": outcome.id, "wait_ms": wait,
                           "at_s": outcome.job.at_s,
                           "state": outcome.state,
                           "tasks": outcome.job.body["tasks"]})
    return {"within_guarantee": len(waits), "owner_jobs": len(owned),
            "wait_ms": summary(waits), "reclaim_ms": summary(reclaims),
            "waits": waits, "reclaims": reclaims, "missed": missed}


def repeated_work(outcomes, victims):
    """Returns the accelerator seconds run again after evictions and after
    other stops."""
    lost = {"evicted": 0.0, "other": 0.0}
    for outcome in outcomes:
        if outcome.state != "finished" or len(outcome.attempts) < 2:
            continue
        repeated_ms = max(0, outcome.ran_ms() - outcome.job.run_ms)
        why = "evicted" if outcome.id in victims else "other"
        lost[why] += repeated_ms / 1000 * outcome.job.accelerators
    return lost


def done_and_run_again(outcomes):
    """Counts the attempts whose tasks had all succeeded, and after which the
    job still ran again."""
    count = 0
    for outcome in outcomes:
        for attempt in sorted(outcome.attempts)[:-1]:
            tasks = outcome.attempts[attempt]
            count += len(tasks) == outcome.job.body["tasks"] and all(
                events[-1][1] == "end" for events in tasks.values())
    return count


def evaluate(args, day, listed, folder, ended_s):
    """Returns all metrics of a run."""
    history = read_history(folder)
    victims, owners, unmet = read_evictions(folder)
    outcomes = [Outcome(job, answer, listed, history)
                for job, answer in zip(day.jobs, day.answers)]
    end_ms = max(job["changed_ms"] for job in listed.values())
    states = collections.Counter((o.job.size, o.state) for o in outcomes)
    return {
        "user": args.user, "policy": args.policy, "seed": args.seed,
        "jobs": len(day.jobs),
        "demand": sum(workload.work(job) for job in day.jobs
                      if job.size not in ("impossible", "wave"))
        / workload.capacity(),
        "ended_s": ended_s,
        "load_average": max((s["load"] for s in day.samples), default=None),
        "completion": completion(outcomes, end_ms),
        "fragmentation": fragmentation(day.samples),
        "guarantee": reclaim(args.user, outcomes, owners, end_ms),
        "evictions": sum(victims.values()),
        "evicted_jobs": len(victims),
        "lost_accelerator_s": repeated_work(outcomes, victims),
        "unmet_notices": unmet,
        "attempts": sum(len(o.attempts) for o in outcomes),
        "done_and_run_again": done_and_run_again(outcomes),
        "states": {f"{size}/{state}": count
                   for (size, state), count in sorted(states.items())},
        "late_ms": quantile([(a[2] - j.at_s) * 1000 for j, a
                             in zip(day.jobs, day.answers) if a], 0.99),
    }
