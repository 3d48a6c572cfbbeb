"""The seeded day of one user: jobs with their times, and faults.

Times are in seconds from the start of the day.  The same user and seed give
the same day, whatever the policy.
"""

import dataclasses
import random

WINDOW_S = 42.0
TARGET_LOAD = 0.9
# What a job holds its accelerators for besides its run time: leases, the
# records of its start and its end.
OVERHEAD_S = 0.15
ACCELERATORS = 400
IMPOSSIBLE_SHARE = 0.02
SMALL_SHARE = 0.3
DECLARED_FACTOR_MAX = 10.0
WAVE_JOBS = 300
WAVE_SUBMIT_S = 24.0
WAVE_CANCEL_S = 25.5
BAD_WORKERS = ("w05", "w30")
BAD_FROM_S = 4.0
LOST_RACK = "r03"
LOST_FROM_S = 20.0
LOST_UNTIL_S = 28.0
SMALL_BURSTS_S = (4.0, 14.0, 24.0, 34.0)
LARGE_BURSTS_S = (6.0, 17.0, 30.0)
BURST_WIDTH_S = 2.5
BURST_SHARE = 0.6


@dataclasses.dataclass
class User:
    """How one user's work is made up.  Team lists are (team, weight)."""

    small: list
    large: list
    large_sizes: dict
    owner: str
    owner_shapes: list  # (tasks, accelerators, count, period in seconds)
    cpus_milli: int  # of one accelerator's task
    memory_mb: int
    fixed_tasks: dict  # team -> most tasks of 8 accelerators in its guarantee
    fixed_accelerators: dict  # the same of one task
    quick_team: str = ""
    processor_team: str = ""
    wave_team: str = ""


USERS = {
    "addis": User(
        small=[("clinics", 6), ("routes", 3), ("accounts", 1)],
        large=[("routes", 7), ("clinics", 3)],
        large_sizes={"routes": [(2, 5), (3, 2), (4, 3), (6, 1), (8, 1)],
                     "clinics": [(2, 3), (4, 1)]},
        owner="rounds",
        owner_shapes=[(4, 8, 2, 5.0), (1, 4, 6, 1.5)],
        cpus_milli=15000, memory_mb=27500,
        fixed_tasks={"routes": 2}, fixed_accelerators={"routes": 4,
                                                       "clinics": 2},
        processor_team="accounts", wave_team="clinics"),
    "brazos": User(
        small=[("chair-side", 5), ("lone-star-frames", 4),
               ("hill-country-optical", 1)],
        large=[("hill-country-optical", 6), ("lone-star-frames", 4)],
        large_sizes={"hill-country-optical": [(2, 2), (4, 3), (6, 3), (8, 1)],
                     "lone-star-frames": [(2, 4), (3, 2), (4, 1)]},
        owner="gulf-coast-eyewear",
        owner_shapes=[(4, 8, 2, 4.0)],
        cpus_milli=7500, memory_mb=14250,
        fixed_tasks={"lone-star-frames": 2, "hill-country-optical": 6},
        fixed_accelerators={"chair-side": 1, "lone-star-frames": 4},
        quick_team="chair-side", wave_team="lone-star-frames"),
}


@dataclasses.dataclass
class Job:
    """One submission."""

    at_s: float
    size: str  # small, large, owner, wave, impossible
    run_ms: int
    body: dict

    @property
    def accelerators(self):
        """Accelerators of the whole gang."""
        return self.body["tasks"] * self.body["accelerators"]


def pick(rng, weighted):
    """One of a list of (value, weight)."""
    values, weights = zip(*weighted)
    return rng.choices(values, weights)[0]


def arrival(rng, bursts):
    """A time of arrival: within a burst, or anywhere in the window."""
    if rng.random() < BURST_SHARE:
        return rng.choice(bursts) + rng.random() * BURST_WIDTH_S
    return rng.random() * WINDOW_S


def declared(rng, run_ms):
    """A declaration that is off by up to 10 times either way."""
    factor = DECLARED_FACTOR_MAX ** rng.uniform(-1, 1)
    return max(1, int(run_ms * factor))


def body(rng, user, team, tasks, accelerators, run_ms, borrows):
    """The submission of a job."""
    each = max(accelerators, 1)
    return {
        "team": team, "kind": "gang" if tasks > 1 else "plan",
        "tasks": tasks, "accelerators": accelerators,
        "cpus_milli": user.cpus_milli * each if accelerators else 8000,
        "memory_mb": user.memory_mb * each if accelerators else 8000,
        "span": "rack" if tasks > 1 else "worker",
        "declared_run_ms": declared(rng, run_ms),
        "checkpointable": borrows, "repeatable": borrows,
        "payload": {"run_ms": run_ms, "checkpoint_ms": 50, "stop_ms": 50},
    }


def small_job(rng, user, team, at_s, size="small"):
    """A job of 1 to 4 accelerators on one worker."""
    run_ms = rng.randint(200, 2000)
    accelerators = pick(rng, [(1, 4), (2, 3), (4, 2)])
    if team == user.quick_team:
        run_ms, accelerators = rng.randint(200, 600), 1
    if team == user.processor_team:
        accelerators = 0
    fixed = accelerators <= user.fixed_accelerators.get(team, 0)
    borrows = team != user.quick_team and not (fixed and rng.random() < 0.2)
    return Job(at_s, size, run_ms,
               body(rng, user, team, 1, accelerators, run_ms, borrows))


def large_job(rng, user, at_s):
    """A gang of 16 to 64 accelerators on adjacent whole workers."""
    team = pick(rng, user.large)
    tasks = pick(rng, user.large_sizes[team])
    run_ms = rng.randint(2000, 6000)
    fixed = tasks <= user.fixed_tasks.get(team, 0)
    borrows = not (fixed and rng.random() < 0.2)
    return Job(at_s, "large", run_ms,
               body(rng, user, team, tasks, 8, run_ms, borrows))


def owner_jobs(rng, user):
    """A team that sends only shapes of its guarantee, now and then."""
    jobs = []
    for tasks, accelerators, _, period_s in user.owner_shapes:
        at_s = period_s * rng.random()
        while at_s < WINDOW_S:
            run_ms = rng.randint(1500, 3000)
            jobs.append(Job(at_s, "owner", run_ms,
                            body(rng, user, user.owner, tasks, accelerators,
                                 run_ms, False)))
            at_s += period_s * rng.uniform(0.7, 1.3)
    return jobs


def impossible_job(rng, user, at_s):
    """A job that no worker, rack or quota can ever take."""
    team = pick(rng, user.large)
    tasks, accelerators = rng.choice([(1, 9), (9, 8), (50, 8)])
    return Job(at_s, "impossible", 1000,
               body(rng, user, team, tasks, accelerators, 1000, True))


def work(job):
    """Accelerator seconds that a job holds."""
    return job.accelerators * (job.run_ms / 1000 + OVERHEAD_S)


def fill(jobs, make, amount):
    """Adds jobs until their work is AMOUNT."""
    while amount > 0:
        job = make()
        jobs.append(job)
        amount -= max(work(job), 0.1)


def capacity():
    """Accelerator seconds of the day, without what faults take away."""
    lost = 64 * (LOST_UNTIL_S - LOST_FROM_S)
    bad = 8 * len(BAD_WORKERS) * (WINDOW_S - BAD_FROM_S)
    return ACCELERATORS * WINDOW_S - lost - bad


def make_day(user_name, seed):
    """All submissions of the day in the order of their times."""
    user = USERS[user_name]
    rng = random.Random(f"{user_name}/{seed}")
    jobs = owner_jobs(rng, user)
    left = TARGET_LOAD * capacity() - sum(work(job) for job in jobs)
    fill(jobs, lambda: small_job(rng, user, pick(rng, user.small),
                                 arrival(rng, SMALL_BURSTS_S)),
         left * SMALL_SHARE)
    fill(jobs, lambda: large_job(rng, user, arrival(rng, LARGE_BURSTS_S)),
         left * (1 - SMALL_SHARE))
    for _ in range(int(len(jobs) * IMPOSSIBLE_SHARE)):
        jobs.append(impossible_job(rng, user, rng.random() * WINDOW_S))
    for _ in range(WAVE_JOBS):
        at_s = WAVE_SUBMIT_S + rng.random()
        jobs.append(small_job(rng, user, user.wave_team, at_s, "wave"))
    jobs.sort(key=lambda job: job.at_s)
    for number, job in enumerate(jobs):
        job.body["key"] = f"day-{number}"
    return jobs
