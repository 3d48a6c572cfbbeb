#!/usr/bin/env python3
"""Fits the points of scripts/bench-capacity and extrapolates to planned sizes.

Arguments: the file of points, and the output folder of capacity.json and
capacity.txt.  A point is one line, NAME X Y: the value Y was measured at X.
"""

import json
import os
import sys

BUDGET = {"cpu_percent": 2.7, "memory_mb": 32.0, "kb_per_s": 23.0}
US_PER_PERCENT = 1e4  # us of processor time in one percent of a core second
DAY_S = 86400.0
MB = 1024.0 * 1024.0
KB = 1024.0
BASE64 = 4.0 / 3.0

# The defaults of the daemon's settings.
HEARTBEAT_S = 0.5
POLL_S = 1.0
# Renewals a second of one worker, by its first host every lease_renew_ms plus
# by that host's stand-in every half of lease_ttl_ms: with lease_renew_ms 3000
# and lease_ttl_ms 10000, and with 10000 and 30000, which is a proposal.
RENEWALS_PER_WORKER_S = 1 / 3.0 + 1 / 5.0
FEWER_RENEWALS_PER_WORKER_S = 1 / 10.0 + 1 / 15.0
MIN_SNAPSHOT_INTERVAL_S = 60.0  # longer if a snapshot is large
SNAPSHOT_BYTES_PER_S = 8 * 1024
OUTCOME_WINDOW_S = 3600.0

# The planned size of all regions together.  Gangs of 64 tasks are assumed.
PLANNED_SIZE = {"workers": 3300, "tasks": 45000, "jobs_a_day": 2100,
                "hosts": 56, "teams": 320, "changes_a_day": 3800,
                "replaced_a_day": 1050,
                "renewals_per_worker_s": RENEWALS_PER_WORKER_S}
REGIONS = 8
GANG_TASKS = 64


def read_points(path):
    points = {}
    with open(path, encoding="ascii") as lines:
        for line in lines:
            fields = line.split()
            if len(fields) == 3 and fields[0][0] != "#":
                points.setdefault(fields[0], []).append(
                    (float(fields[1]), float(fields[2])))
    return points


def fit(points):
    """Least squares: intercept, slope and coefficient of determination."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    sum_yy = sum((y - mean_y) ** 2 for _, y in points)
    if sum_xx == 0:
        return {"intercept": mean_y, "slope": 0.0, "r2": None}
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return {"intercept": intercept, "slope": slope,
            "r2": 1 - residual / sum_yy if sum_yy else None}


class Fits:
    """Fits by name.  Names without a point are collected in `missing`; their
    slopes, intercepts and values are 0."""

    def __init__(self, points):
        self.points = points
        self.fits = {name: fit(p) for name, p in points.items()}
        self.missing = set()

    def slope(self, name):
        return self._part(name, "slope")

    def intercept(self, name):
        return self._part(name, "intercept")

    def at(self, name, x):
        return self.intercept(name) + self.slope(name) * x

    def point(self, name, x):
        """The measured value at X itself."""
        for point_x, value in self.points.get(name, []):
            if point_x == x:
                return value
        self.missing.add(name)
        return 0.0

    def _part(self, name, part):
        if name not in self.fits:
            self.missing.add(name)
            return 0.0
        return self.fits[name][part]


def region_share():
    """Size of one cell of the design: one region with its own streams."""
    size = dict(PLANNED_SIZE)
    for name in ("workers", "tasks", "jobs_a_day", "hosts",
                 "replaced_a_day"):
        size[name] = PLANNED_SIZE[name] / REGIONS
    return size


def proposed_size():
    """Size of one region, with the rarer renewals that are proposed."""
    return dict(region_share(),
                renewals_per_worker_s=FEWER_RENEWALS_PER_WORKER_S)


def cost(cpu_us=0.0, bytes_per_s=0.0, memory=0.0, messages=0.0):
    return {"cpu_percent": cpu_us / US_PER_PERCENT,
            "kb_per_s": bytes_per_s / KB,
            "memory_mb": memory / MB, "messages_per_s": messages}


def idle_process(fits):
    return cost(cpu_us=fits.intercept("idle.cpu_us_per_s_by_heartbeat_pairs"),
                memory=fits.intercept("idle.rss_bytes_by_hosts"))


def peers(fits, size):
    others = size["hosts"] - 1
    pairs = others / HEARTBEAT_S
    frame = fits.at("heartbeat.bytes_by_hosts", others)
    slope = fits.slope("idle.cpu_us_per_s_by_heartbeat_pairs")
    return cost(cpu_us=slope * pairs, bytes_per_s=2 * pairs * frame,
                messages=2 * pairs)


def host_list(fits, size):
    """A replaced host is removed from the list and added again: 2 changes."""
    hosts = size["workers"] + size["hosts"]
    changes = 2 * size["replaced_a_day"] / DAY_S
    polled = (fits.at("hosts.bytes_per_poll_by_hosts", hosts)
              + changes * fits.at("hosts.bytes_of_list_by_hosts", hosts))
    return cost(cpu_us=fits.at("hosts.cpu_us_per_poll_by_hosts",
                               hosts) / POLL_S
                + changes * fits.at("hosts.parse_cpu_us_by_hosts", hosts),
                bytes_per_s=polled / POLL_S,
                memory=hosts * fits.slope("hosts.rss_bytes_by_hosts"),
                messages=2 / POLL_S)


def renewal(fits, size):
    rate = size["workers"] * size["renewals_per_worker_s"] / size["hosts"]
    leases = size["tasks"] / size["workers"]
    cpu = (fits.slope("renewal.cpu_us_per_s_by_renewals_per_s")
           + (leases - 1) * fits.slope("renewal.codec_cpu_us_by_leases"))
    memory = (fits.slope("renewal.rss_bytes_by_workers") * 2
              * size["workers"] / size["hosts"])
    return cost(cpu_us=cpu * rate, messages=2 * rate, memory=memory,
                bytes_per_s=rate * fits.at(
                    "renewal.bytes_by_leases_of_the_worker", leases))


def jobs_kept(size):
    """Returns the numbers of running jobs and of jobs that ended within the
    outcome window."""
    return (size["tasks"] / GANG_TASKS,
            size["jobs_a_day"] * OUTCOME_WINDOW_S / DAY_S)


def task_bytes(fits):
    """Returns the resident bytes of a running task.  They depend on earlier
    peaks of the heap more than on the role of the host, so the larger slope of
    both roles is taken."""
    return max(fits.slope("state.rss_bytes_by_running_tasks_planner"),
               fits.slope("state.rss_bytes_by_running_tasks_other"))


def state(fits, size):
    running, ended = jobs_kept(size)
    changes = size["changes_a_day"] / DAY_S
    ends = size["jobs_a_day"] / DAY_S * GANG_TASKS
    memory = ((running + ended)
              * fits.slope("state.rss_bytes_by_queued_jobs_other")
              + size["tasks"] * task_bytes(fits)
              + ended * GANG_TASKS
              * fits.slope("state.heap_bytes_per_ended_task")
              + size["teams"] * fits.slope("config.rss_bytes_by_teams"))
    cpu = (changes * fits.at("config.host_cpu_us_per_change_by_teams",
                             size["teams"])
           + ends * fits.slope("fold.cpu_us_per_task_end"))
    return cost(cpu_us=cpu, memory=memory)


def log_read(fits, size):
    jobs = size["jobs_a_day"] / DAY_S
    changes = size["changes_a_day"] / DAY_S
    written = (changes * fits.at("config.log_bytes_per_change_by_teams",
                                 size["teams"])
               + jobs * fits.at("log.bytes_per_gang_by_tasks", GANG_TASKS))
    appends = changes + jobs * fits.at("log.appends_per_gang_by_tasks",
                                       GANG_TASKS)
    return cost(bytes_per_s=written * BASE64, messages=appends)


def snapshot_bytes(fits, size):
    running, ended = jobs_kept(size)
    return ((running + ended) * fits.slope("snapshot.bytes_per_queued_job")
            + size["tasks"] * fits.slope("snapshot.bytes_per_running_task")
            + ended * GANG_TASKS * fits.slope("snapshot.bytes_per_ended_task")
            + fits.at("snapshot.bytes_of_revisions_by_teams", size["teams"]))


def snapshots(fits, size):
    data = snapshot_bytes(fits, size)
    part = 128 * KB
    running, ended = jobs_kept(size)
    cpu = (size["tasks"] * fits.slope("snapshot.cpu_us_per_running_task")
           + (running + ended)
           * fits.slope("snapshot.cpu_us_per_queued_job")
           + fits.at("snapshot.cpu_us_of_revisions_by_teams", size["teams"]))
    interval = max(MIN_SNAPSHOT_INTERVAL_S, data / SNAPSHOT_BYTES_PER_S)
    return cost(cpu_us=cpu / interval, bytes_per_s=data / interval,
                memory=data, messages=data / part / interval)


def planner(fits, size):
    # Four rounds for each job: submission, start, and two ends or retries.
    # Each is counted with the cost of a round at the planned size, an upper
    # bound.
    rounds = size["jobs_a_day"] / DAY_S * 4
    cpu = rounds * fits.at("place.whole_size.placement_p99_us", 1)
    memory = (fits.at("place.heap_bytes_by_workers", size["workers"])
              + fits.slope("place.heap_bytes_by_teams") * size["teams"]
              + fits.slope("place.heap_bytes_by_running_tasks")
              * size["tasks"])
    return cost(cpu_us=cpu, memory=memory)


def add(rows):
    names = ("cpu_percent", "kb_per_s", "memory_mb", "messages_per_s")
    return {n: sum(r[n] for r in rows) for n in names}


def roles(fits, size):
    parts = {"process, idle": idle_process(fits), "peers": peers(fits, size),
             "host list": host_list(fits, size),
             "renewal": renewal(fits, size),
             "state": state(fits, size), "log, read": log_read(fits, size)}
    entry = add(parts.values())
    extra = {"planner: rounds": planner(fits, size),
             "planner: snapshots": snapshots(fits, size)}
    whole = {"ENTRY HOST": entry,
             "PLANNER HOST": add([entry] + list(extra.values()))}
    return {**parts, **extra, **whole}


def verdict(values):
    over = [f"{name} {values[name] / limit:.1f} x"
            for name, limit in BUDGET.items() if values[name] > limit]
    return "over: " + ", ".join(over) if over else "within"


def print_roles(title, table, out):
    print(f"\n{title}", file=out)
    print(f"{'role':<20} {'CPU %':>8} {'KB/s':>9} {'MB':>8} {'msg/s':>8}"
          "  budget 2.7 %, 23 KB/s, 32 MB", file=out)
    for name, v in table.items():
        print(f"{name:<20} {v['cpu_percent']:8.3f} {v['kb_per_s']:9.2f} "
              f"{v['memory_mb']:8.2f} {v['messages_per_s']:8.2f}"
              f"  {verdict(v)}", file=out)


def print_fits(fits, out):
    for name in sorted(fits.points):
        f = fits.fits[name]
        if len(fits.points[name]) == 1:
            print(f"{name}\n    {fits.points[name][0][1]:g}", file=out)
            continue
        r2 = "-" if f["r2"] is None else f"{f['r2']:.3f}"
        points = " ".join(f"({x:g}, {y:g})" for x, y in fits.points[name])
        print(f"{name}\n    points {points}\n    fit    "
              f"{f['intercept']:.6g} + {f['slope']:.6g} x   r2 {r2}",
              file=out)


def main():
    path, folder = sys.argv[1:3]
    fits = Fits(read_points(path))
    sizes = {
        "one cell of all regions, 56 entry hosts (as built)": PLANNED_SIZE,
        "one region as a cell, 7 entry hosts (design)": region_share(),
        "the same, changes proposed (design)": proposed_size()}
    tables = {title: roles(fits, size) for title, size in sizes.items()}
    snapshot = {title: snapshot_bytes(fits, size)
                for title, size in sizes.items()}
    text = os.path.join(folder, "capacity.txt")
    with open(text, "w", encoding="ascii") as out:
        print_fits(fits, out)
        for title, table in tables.items():
            print_roles(title, table, out)
            print(f"snapshot: {snapshot[title] / MB:.2f} MB", file=out)
        for name in sorted(fits.missing):
            print(f"not yet measured: {name}", file=out)
    with open(os.path.join(folder, "capacity.json"), "w",
              encoding="ascii") as out:
        json.dump({"points": fits.points, "fits": fits.fits,
                   "roles": tables, "snapshot_bytes": snapshot,
                   "not_measured": sorted(fits.missing)}, out, indent=1)
    with open(text, encoding="ascii") as lines:
        sys.stdout.write(lines.read())


main()
