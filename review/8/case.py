"""Two minions fail all that they start, and one run of a gang counts as two
failed runs."""
import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standin-2"))
import harness  # noqa: E402

JOB = "a07be3914c6d52f8"
MINIONS = 24
FAILING = ("i-0003", "i-0014")  # a share of 0.083
MAX_ATTEMPTS = 2  # wash-plan of anla-rounds


async def case(world):
    platform = world.platform
    for number in range(MINIONS):
        harness.Minion(platform, f"i-{number:04d}", "rounds-desk",
                       rack=f"r{number // 8}")
    world.config["services"].append({"name": "rounds-desk",
                                     "enforces_capacity": True})
    world.route("wash", "rounds-desk", max_attempts=MAX_ATTEMPTS, priority=1)
    await world.start(3)
    if not await world.wait_until_served():
        return 2, "no host has become the planner"
    await asyncio.sleep(2)
    if harness.TROUBLE:
        for name in FAILING:
            platform.minions[name].fails_all = True
        world.record("trouble: " + " and ".join(FAILING)
                     + " fail all that they start from now on")
    body = {"spec": "wash-plan", "phases": [
        {"count": MINIONS, "cpu": 52000, "mem_mb": 140000, "gpu": 8,
         "estimate_ms": 3000, "gang": True}]}
    status, _ = await world.submit(world.hosts[0], "wash", JOB, body, 2.0)
    if status != 200:
        return 2, "the job was not accepted"
    until_s = time.monotonic() + 5
    while len(platform.starts) < MINIONS and time.monotonic() < until_s:
        await asyncio.sleep(0.005)
    if harness.TROUBLE:
        for name in FAILING:
            platform.minions[name].fails_all = False
        world.record("trouble: what they start from now on does not fail")
    if len(platform.starts) < MINIONS:
        return 2, "the gang has not started"
    until_s = time.monotonic() + 40
    state = None
    while state not in ("failed", "completed"):
        if time.monotonic() > until_s:
            return 2, f"the job is still {state}"
        await asyncio.sleep(0.3)
        state = await world.state(world.hosts[1], "wash", JOB)
    failed = [(task, run) for _, task, run, _, how in platform.ends
              if how == "failed"]
    gang_runs = {run for _, run in failed}
    text = (f"the job is shown as {state}; failed ends {failed}; runs of the "
            f"gang with a failed end {len(gang_runs)}, max_attempts "
            f"{MAX_ATTEMPTS}")
    return (1 if state == "failed" and len(gang_runs) < MAX_ATTEMPTS
            else 0), text


harness.main(case, CASE)
