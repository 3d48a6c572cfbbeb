"""The workload of a bench day of one user: jobs with their times, and faults.

Times are in seconds from the start of the day.  The same user and seed give
the same day under every policy.
"""

import dataclasses
import random

WINDOW_S = 42.0
TARGET_LOAD = 0.9
# Time for which a job holds its accelerators besides its run time: for leases
# and the records of its start and its end.
OVERHEAD_S = 0.15
ACCELERATORS = 400
IMPOSSIBLE_SHARE = 0.02
SMALL_SHARE = 0.3
DECLARED_FACTOR_MAX = 10.0
WAVE_JOBS = 300
WAVE_SUBMIT_S = 24.0
WAVE_CANCEL_S = 25.5
FAILING_WORKERS = ("w05", "w30")
FAILING_FROM_S = 4.0
LOST_RACK = "r03"
LOST_FROM_S = 20.0
LOST_UNTIL_S = 28.0
SMALL_BURSTS_S = (4.0, 14.0, 24.0, 34.0)
LARGE_BURSTS_S = (6.0, 17.0, 30.0)
BURST_WIDTH_S = 2.5
BURST_SHARE = 0.6


@dataclasses.dataclass
class User:
    """Distribution of the jobs of one user.  Team lists are (team, weight)."""

    small_teams: list
    large_teams: list
    large_sizes: dict  # team -> list of (tasks, weight)
    owner: str
    owner_shapes: list  # (tasks, accelerators, count, period in seconds)
    cpus_milli: int  # of a task, for each of its accelerators
    memory_mb: int
    guaranteed_tasks: dict  # team -> largest guaranteed gang of whole workers
    guaranteed_accelerators: dict  # team -> the same of a single task
    quick_team: str = ""  # short jobs of one accelerator
    processor_team: str = ""  # small jobs without accelerators
    wave_team: str = ""  # submits the wave, which is cancelled


USERS = {
    "addis": User(
        small_teams=[("clinics", 6), ("routes", 3), ("accounts", 1)],
        large_teams=[("routes", 7), ("clinics", 3)],
        large_sizes={"routes": [(2, 5), (3, 2), (4, 3), (6, 1), (8, 1)],
                     "clinics": [(2, 3), (4, 1)]},
        owner="rounds",
        owner_shapes=[(4, 8, 2, 5.0), (1, 4, 6, 1.5)],
        cpus_milli=15000, memory_mb=27500,
        guaranteed_tasks={"routes": 2},
        guaranteed_accelerators={"routes": 4, "clinics": 2},
        processor_team="accounts", wave_team="clinics"),
    "brazos": User(
        small_teams=[("chair-side", 5), ("lone-star-frames", 4),
                     ("hill-country-optical", 1)],
        large_teams=[("hill-country-optical", 6), ("lone-star-frames", 4)],
        large_sizes={"hill-country-optical": [(2, 2), (4, 3), (6, 3), (8, 1)],
                     "lone-star-frames": [(2, 4), (3, 2), (4, 1)]},
        owner="gulf-coast-eyewear",
        owner_shapes=[(4, 8, 2, 4.0)],
        cpus_milli=7500, memory_mb=14250,
        guaranteed_tasks={"lone-star-frames": 2, "hill-country-optical": 6},
        guaranteed_accelerators={"chair-side": 1, "lone-star-frames": 4},
        quick_team="chair-side", wave_team="lone-star-frames"),
}


@dataclasses.dataclass
class Job:
    """One submission; body is the JSON object that is sent."""

    at_s: float
    size: str  # small, large, owner, wave, impossible
    run_ms: int
    body: dict

    @property
    def accelerators(self):
        """Accelerators of all tasks together."""
        return self.body["tasks"] * self.body["accelerators"]


def weighted_choice(rng, weighted):
    """Returns a value from a list of (value, weight)."""
    values, weights = zip(*weighted)
    return rng.choices(values, weights)[0]


def arrival_s(rng, bursts):
    """Returns a time within a burst, or anywhere in the window."""
    if rng.random() < BURST_SHARE:
        return rng.choice(bursts) + rng.random() * BURST_WIDTH_S
    return rng.random() * WINDOW_S


def declared_ms(rng, run_ms):
    """Returns a declared run time: wrong by a factor of up to 10."""
    factor = DECLARED_FACTOR_MAX ** rng.uniform(-1, 1)
    return max(1, int(run_ms * factor))


def make_body(rng, user, team, tasks, accelerators, run_ms, borrows):
    """Returns the JSON object of a submission."""
    each = max(accelerators, 1)
    return {
        "team": team, "kind": "gang" if tasks > 1 else "plan",
        "tasks": tasks, "accelerators": accelerators,
        "cpus_milli": user.cpus_milli * each if accelerators else 8000,
        "memory_mb": user.memory_mb * each if accelerators else 8000,
        "span": "rack" if tasks > 1 else "worker",
        "declared_run_ms": declared_ms(rng, run_ms),
        "checkpointable": borrows, "repeatable": borrows,
        "payload": {"run_ms": run_ms, "checkpoint_ms": 50, "stop_ms": 50},
    }


def small_job(rng, user, team, at_s, size="small"):
    """Returns a job of at most 4 accelerators on one worker."""
    run_ms = rng.randint(200, 2000)
    accelerators = weighted_choice(rng, [(1, 4), (2, 3), (4, 2)])
    if team == user.quick_team:
        run_ms, accelerators = rng.randint(200, 600), 1
    if team == user.processor_team:
        accelerators = 0
    is_guaranteed = accelerators <= user.guaranteed_accelerators.get(team, 0)
    borrows = team != user.quick_team and not (
        is_guaranteed and rng.random() < 0.2)
    return Job(at_s, size, run_ms,
               make_body(rng, user, team, 1, accelerators, run_ms, borrows))


def large_job(rng, user, at_s):
    """Returns a gang of 16 to 64 accelerators on whole workers of a rack."""
    team = weighted_choice(rng, user.large_teams)
    tasks = weighted_choice(rng, user.large_sizes[team])
    run_ms = rng.randint(2000, 6000)
    is_guaranteed = tasks <= user.guaranteed_tasks.get(team, 0)
    borrows = not (is_guaranteed and rng.random() < 0.2)
    return Job(at_s, "large", run_ms,
               make_body(rng, user, team, tasks, 8, run_ms, borrows))


def owner_jobs(rng, user):
    """Returns the jobs of a team that only submits guaranteed shapes."""
    jobs = []
    for tasks, accelerators, _, period_s in user.owner_shapes:
        at_s = period_s * rng.random()
        while at_s < WINDOW_S:
            run_ms = rng.randint(1500, 3000)
            jobs.append(Job(at_s, "owner", run_ms,
                            make_body(rng, user, user.owner, tasks,
                                      accelerators, run_ms, False)))
            at_s += period_s * rng.uniform(0.7, 1.3)
    return jobs


def impossible_job(rng, user, at_s):
    """Returns a job that no worker, rack or quota can ever hold."""
    team = weighted_choice(rng, user.large_teams)
    tasks, accelerators = rng.choice([(1, 9), (9, 8), (50, 8)])
    return Job(at_s, "impossible", 1000,
               make_body(rng, user, team, tasks, accelerators, 1000, True))


def work(job):
    """Returns the accelerator seconds that a job holds."""
    return job.accelerators * (job.run_ms / 1000 + OVERHEAD_S)


def add_jobs(jobs, make_job, work_limit):
    """Adds jobs until their work reaches work_limit."""
    while work_limit > 0:
        job = make_job()
        jobs.append(job)
        work_limit -= max(work(job), 0.1)


def capacity():
    """Returns the accelerator seconds of the day that no fault takes."""
    lost = 64 * (LOST_UNTIL_S - LOST_FROM_S)
    failing = 8 * len(FAILING_WORKERS) * (WINDOW_S - FAILING_FROM_S)
    return ACCELERATORS * WINDOW_S - lost - failing


def make_day(user_name, seed):
    """Returns all submissions of the day in the order of their times."""
    user = USERS[user_name]
    rng = random.Random(f"{user_name}/{seed}")
    jobs = owner_jobs(rng, user)
    remaining = TARGET_LOAD * capacity() - sum(work(job) for job in jobs)
    add_jobs(jobs,
             lambda: small_job(rng, user,
                               weighted_choice(rng, user.small_teams),
                               arrival_s(rng, SMALL_BURSTS_S)),
             remaining * SMALL_SHARE)
    add_jobs(jobs,
             lambda: large_job(rng, user, arrival_s(rng, LARGE_BURSTS_S)),
             remaining * (1 - SMALL_SHARE))
    for _ in range(int(len(jobs) * IMPOSSIBLE_SHARE)):
        jobs.append(impossible_job(rng, user, rng.random() * WINDOW_S))
    for _ in range(WAVE_JOBS):
        at_s = WAVE_SUBMIT_S + rng.random()
        jobs.append(small_job(rng, user, user.wave_team, at_s, "wave"))
    jobs.sort(key=lambda job: job.at_s)
    for number, job in enumerate(jobs):
        job.body["key"] = f"day-{number}"
    return jobs
